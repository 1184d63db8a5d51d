"""Changes of the settings that take effect without a restart."""

from dataclasses import dataclass, replace

from .settings import EntrySettings


@dataclass(frozen=True, slots=True)
class Reload:
    """Settings in force after a reload; the others need a restart."""

    settings: EntrySettings
    needs_restart: bool


def reload_settings(current: EntrySettings, loaded: EntrySettings) -> Reload:
    """Apply the settings that can change in a running process.

    These are the store, the validity of addresses and its limit, and hedging
    within the budget in force. The seeds are used at a start only, so the next
    one uses those of the file.
    """
    hedging = loaded.hedging
    if hedging.max_extra_share > current.bounds.budget_ratio:
        # The budget of the file allows it, but needs a restart.
        hedging = current.hedging
    bounds = replace(current.bounds, max_validity=loaded.bounds.max_validity)
    settings = replace(
        current,
        store=loaded.store,
        seeds=loaded.seeds,
        validity=loaded.validity,
        bounds=bounds,
        hedging=hedging,
    )
    return Reload(settings, needs_restart=settings != loaded)
