"""Changes of the settings that take effect without a restart."""

from dataclasses import dataclass, replace
from pathlib import Path

from ..documents import read_document
from ..errors import InvalidDocumentError
from ..logs import log
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


def reload_from_file(current: EntrySettings, path: str) -> EntrySettings:
    """Return the settings in force after the file at ``path`` is read again.

    These are the current ones if the file is invalid.
    """
    try:
        loaded = read_document(EntrySettings, Path(path))
    except InvalidDocumentError as error:
        faults = '; '.join(str(fault) for fault in error.faults)
        log('settings_rejected', path=path, faults=faults)
        return current
    reload = reload_settings(current, loaded)
    log('settings_reloaded', needs_restart=reload.needs_restart)
    return reload.settings
