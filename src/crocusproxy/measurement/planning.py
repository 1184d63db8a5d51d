"""Choice of the upstreams that are worth a probe."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class KnownLoad:
    """Load of one upstream as known to a process; times are monotonic.

    ``reported_at`` is the arrival of the last load report, from a response or
    a probe. ``in_flight`` counts the process's own requests.
    """

    upstream: str
    slots: int
    in_flight: int
    reported_at: timedelta | None = None
    probed_at: timedelta | None = None
    can_be_chosen: bool = True


@dataclass(frozen=True, slots=True)
class ProbeSettings:
    """Conditions under which an upstream is probed.

    ``fresh_for`` is how long a report makes a probe unnecessary.
    ``active_for`` is how long after its last request a service counts as
    active; an idle service is not probed. ``depth`` is the number of requests
    that may be sent to an upstream beyond its slots.
    """

    fresh_for: timedelta = timedelta(milliseconds=500)
    active_for: timedelta = timedelta(seconds=2)
    depth: int = 2


def plan_probes(
    known: Iterable[KnownLoad],
    last_request_at: timedelta | None,
    now: timedelta,
    settings: ProbeSettings,
) -> tuple[str, ...]:
    """Return the upstreams to probe, oldest information first.

    Skips upstreams whose last report or probe is fresh and those that cannot
    be chosen because they are leaving or ejected. Also skips upstreams whose
    slots and queue the process's own requests fill, because their responses
    will carry reports.
    """
    if last_request_at is None or now - last_request_at > settings.active_for:
        return ()
    useful = [load for load in known if _is_useful(load, now, settings)]
    useful.sort(key=lambda load: (_latest_update(load), load.upstream))
    return tuple(load.upstream for load in useful)


def _is_useful(
    load: KnownLoad, now: timedelta, settings: ProbeSettings
) -> bool:
    if not load.can_be_chosen:
        return False
    if load.in_flight >= load.slots + settings.depth:
        return False
    times = (load.reported_at, load.probed_at)
    return all(
        time is None or now - time >= settings.fresh_for for time in times
    )


def _latest_update(load: KnownLoad) -> timedelta:
    never = timedelta.min
    return max(load.reported_at or never, load.probed_at or never)
