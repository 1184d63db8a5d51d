"""Checks a run against what the system promises.

Each check returns a line for every broken promise.
"""

from collections import Counter, defaultdict
from collections.abc import Iterator

from .records import Disturbance, RunRecord, Sent

#: Statuses that promise that the request has not run and never will.
PROMISES_NOT_RUN = frozenset((408, 421, 429, 503))
BUDGET_RATIO = 0.2
BUDGET_SLACK = 5
BUDGET_WINDOW = 10.0  # seconds
REVERT_SLACK = 0.25  # seconds
#: Without a fault for so long, nothing excuses a request that is cut off.
CALM_SECONDS = 3.0
#: Half a second after its time, a request must have its response.
HOLD_SLACK = 0.5


def faults(run: RunRecord) -> list[str]:
    """Return a line for each promise that the run has broken."""
    checks = (
        _duplicated,
        _untrue_refusals,
        _unasked,
        _mixed,
        _misrouted,
        _held,
        _cut_off,
        _over_budget,
        _reverted,
    )
    return [*run.broken, *(line for check in checks for line in check(run))]


def _duplicated(run: RunRecord) -> Iterator[str]:
    runs = Counter(one.request_id for one in run.arrivals if one.ran)
    for one in run.sent:
        if not one.idempotent and runs[one.request_id] > 1:
            count = runs[one.request_id]
            yield f'duplicated: {one.request_id} ran {count} times'


def _untrue_refusals(run: RunRecord) -> Iterator[str]:
    ran = {one.request_id for one in run.arrivals if one.ran}
    for one in run.sent:
        refused = one.end == 'answered' and one.status in PROMISES_NOT_RUN
        if refused and not one.idempotent and one.request_id in ran:
            yield f'refused though it ran: {one.request_id}, {one.status}'


def _unasked(run: RunRecord) -> Iterator[str]:
    paths = {one.request_id: one.path for one in run.sent}
    for one in run.arrivals:
        if paths.get(one.request_id) != one.path:
            yield f'nobody sent: {one.request_id} {one.path}'


def _mixed(run: RunRecord) -> Iterator[str]:
    for one in run.sent:
        if one.end != 'answered' or one.status != 200:
            continue
        if not one.signed or one.body != one.request_id:
            yield f'response of another request: {one.request_id}: {one.body!r}'


def _misrouted(run: RunRecord) -> Iterator[str]:
    for one in run.arrivals:
        allowed = run.allowed.get(one.path, set())
        if one.ran and one.service not in allowed:
            yield f'ran at {one.service}: {one.request_id} {one.path}'


def _held(run: RunRecord) -> Iterator[str]:
    for one in run.sent:
        if one.end == 'late' and not _was_disturbed(run, one):
            yield f'no response in time: {one.request_id}'


def _was_disturbed(run: RunRecord, one: Sent) -> bool:
    # The request may have been passed on to any other instance.
    return any(
        time.start <= one.ended and time.end >= one.sent
        for time in _unplanned(run)
    )


def _cut_off(run: RunRecord) -> Iterator[str]:
    """Check that a planned end of an instance cuts off no running request."""
    ran = {one.request_id for one in run.arrivals if one.ran}
    for one in run.sent:
        if one.end != 'cut' or one.request_id not in ran:
            continue
        start = one.sent - CALM_SECONDS
        upset = any(
            time.start <= one.ended and time.end >= start
            for time in (*run.upsets, *_unplanned(run))
        )
        if not upset:
            yield f'cut off while it ran: {one.request_id}'


def _unplanned(run: RunRecord) -> list[Disturbance]:
    return [time for time in run.disturbances if not time.planned]


def _over_budget(run: RunRecord) -> Iterator[str]:
    seen: set[str] = set()
    repeats: dict[str, list[float]] = defaultdict(list)
    for one in sorted(run.arrivals, key=lambda arrival: arrival.at):
        if one.request_id in seen:
            repeats[one.service].append(one.at)
        seen.add(one.request_id)
    for service, times in repeats.items():
        for end in times:
            spent = sum(end - BUDGET_WINDOW < time <= end for time in times)
            allowed = BUDGET_RATIO * _requests(run, service, end)
            if spent > allowed + BUDGET_SLACK:
                yield f'{spent} repeats at {service} before second {end:.2f}'
                break


def _requests(run: RunRecord, service: str, end: float) -> int:
    """Return the requests of the window, or of one shortly before it."""
    times = [
        one.sent for one in run.sent if service in run.allowed.get(one.path, ())
    ]
    return max(
        sum(end - shift - BUDGET_WINDOW < time <= end - shift for time in times)
        for shift in (0, BUDGET_WINDOW / 2, BUDGET_WINDOW)
    )


def _reverted(run: RunRecord) -> Iterator[str]:
    """Check that no process goes back to an older configuration.

    Paths such as ``/only7/`` exist in one version each.
    """
    newest: dict[tuple[int, int], tuple[int, float]] = {}
    answered = [
        one
        for one in run.sent
        if one.path.startswith('/only')
        and one.end == 'answered'
        and one.status == 200
    ]
    for one in sorted(answered, key=lambda sent: sent.ended):
        version = int(one.path.strip('/').removeprefix('only'))
        key = (one.instance, _starts_before(run, one))
        known, since = newest.get(key, (0, 0.0))
        if version < known and one.sent > since + REVERT_SLACK:
            yield f'version {version} after {known}: {one.request_id}'
        if version > known:
            newest[key] = (version, one.ended)


def _starts_before(run: RunRecord, one: Sent) -> int:
    return sum(
        time.instance == one.instance and time.start <= one.ended
        for time in run.disturbances
    )
