"""Checks the invariants of client accounts on the record of a run."""

from collections import defaultdict
from collections.abc import Iterator

from .propagation import is_in_force
from .records import Quota, RunRecord, SentRequest

#: An added or removed key is in force on all instances within this time.
PROPAGATION_SECONDS = 2.5
QUOTA_WINDOW_SECONDS = 5.0
QUOTA_FACTOR = 1.1
QUOTA_SLACK = 20
UNAUTHORIZED = 401


def unauthorized_runs(run: RunRecord) -> Iterator[str]:
    """Check that no request runs whose key is unknown, removed or missing."""
    requests = {request.request_id: request for request in run.requests}
    for arrival in run.arrivals:
        request = requests.get(arrival.request_id)
        if request is None or not arrival.has_run or not run.keys:
            continue
        if _is_key_invalid(run, request):
            yield f'ran without a valid key: {request.request_id} {request.key}'


def _is_key_invalid(run: RunRecord, request: SentRequest) -> bool:
    if not request.key:
        return request.path not in run.anonymous_paths
    period = run.keys.get(request.key)
    return (
        period is None
        or max(request.sent_at, request.ended_at) < period.added_at
        or is_in_force(
            run, period.removed_at, PROPAGATION_SECONDS, request.sent_at
        )
    )


def wrong_accounts(run: RunRecord) -> Iterator[str]:
    """Check that upstreams get the name of the account and never the key."""
    keys = {request.request_id: request.key for request in run.requests}
    for arrival in run.arrivals if run.keys else ():
        period = run.keys.get(keys.get(arrival.request_id, ''))
        expected_name = '' if period is None else period.account
        if arrival.account != expected_name:
            yield (
                f'account {arrival.account!r} in place of {expected_name!r}: '
                f'{arrival.request_id}'
            )
        if arrival.leaks_key:
            yield f'key passed to {arrival.upstream}: {arrival.request_id}'


def wrong_rejections(run: RunRecord) -> Iterator[str]:
    """Check that no request with a valid key is rejected as unauthorized."""
    for request in run.requests:
        period = run.keys.get(request.key)
        is_anonymous = not request.key and (
            not run.keys or request.path in run.anonymous_paths
        )
        is_valid = is_anonymous or (
            period is not None
            and request.ended_at < period.removed_at
            and is_in_force(
                run, period.added_at, PROPAGATION_SECONDS, request.sent_at
            )
        )
        if is_valid and request.status == UNAUTHORIZED:
            yield f'401 with a valid key: {request.request_id} {request.key}'


def exceeded_quotas(run: RunRecord) -> Iterator[str]:
    """Check how many requests of an account ran, by the time of sending.

    A lowered quota is binding one window after it is in force.
    """
    executed_ids = {
        arrival.request_id for arrival in run.arrivals if arrival.has_run
    }
    times: dict[str, list[float]] = defaultdict(list)
    for request in run.requests:
        if request.key in run.keys and request.request_id in executed_ids:
            times[run.keys[request.key].account].append(request.sent_at)
    for account in run.quotas:
        for end in times[account]:
            allowed = max(map(_allowed, _valid_quotas(run, account, end)))
            start = end - QUOTA_WINDOW_SECONDS
            count = sum(start < time <= end for time in times[account])
            if count > allowed:
                yield (
                    f'{count} requests of {account} ran in '
                    f'{QUOTA_WINDOW_SECONDS} s before {end:.2f}, '
                    f'{allowed:.0f} allowed'
                )
                break


def _allowed(quota: Quota) -> float:
    """Return how many requests a quota allows in a window."""
    requests = QUOTA_WINDOW_SECONDS * quota.rate + quota.burst
    return QUOTA_FACTOR * requests + QUOTA_SLACK


def _valid_quotas(run: RunRecord, account: str, at: float) -> list[Quota]:
    """Return the quotas that may count in the window before ``at``.

    They are those written by then that no other has replaced for a window.
    """
    quotas = [run.quotas[account]]
    settling_seconds = PROPAGATION_SECONDS + QUOTA_WINDOW_SECONDS
    for change in run.quota_changes:
        if change.account != account or change.at > at:
            continue
        if is_in_force(run, change.at, settling_seconds, at):
            quotas.clear()
        quotas.append(change.quota)
    return quotas
