"""Checks the invariants of the system on the record of a run.

Each check yields one line per violation.
"""

from collections import Counter, defaultdict
from collections.abc import Iterator
from math import inf

from .account_invariants import (
    exceeded_quotas,
    unauthorized_runs,
    wrong_accounts,
    wrong_rejections,
)
from .delivery_invariants import lost_by_log, lost_responses, lost_unread
from .own_pauses import with_instance_pause, with_own_pause
from .placement_invariants import cold_bursts, evacuated_arrivals
from .propagation import is_excused, unplanned_disturbances
from .records import RunRecord, SentRequest
from .terms_invariants import (
    exceeded_limits,
    requests_after_leaving,
    requests_in_backoff,
)

#: Statuses that guarantee that the request has not run and will not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))
UNAUTHORIZED = 401
BUDGET_RATIO = 0.2
BUDGET_SLACK = 5
BUDGET_WINDOW_SECONDS = 10.0
REVERT_SLACK_SECONDS = 0.25
#: A response may arrive this long after the timeout of its request.
RESPONSE_SLACK_SECONDS = 0.5
#: Callers of an instance without upstreams are served from this time on.
HANDOVER_SECONDS = 3.0
#: They are served at least this share as often as in the rest of the run.
MIN_SERVED_RATIO = 2 / 3
#: Failures that are allowed, and the share of requests allowed besides.
ALLOWED_FAILURES = 10
ALLOWED_FAILURE_SHARE = 1 / 50


def find_violations(run: RunRecord) -> list[str]:
    """Return one line for each violation in the run."""
    checks = (
        _duplicate_runs,
        _false_refusals,
        _unknown_arrivals,
        _mismatched_responses,
        _misrouted_requests,
        _late_responses,
        _excess_retries,
        _config_rollbacks,
        exceeded_limits,
        requests_after_leaving,
        _unserved_in_cuts,
        requests_in_backoff,
        unauthorized_runs,
        wrong_accounts,
        wrong_rejections,
        exceeded_quotas,
        evacuated_arrivals,
        cold_bursts,
        lost_responses,
        lost_unread,
        lost_by_log,
    )
    lines = [
        *run.violations,
        *(line for check in checks for line in check(run)),
    ]
    return [
        with_instance_pause(run, with_own_pause(run, line)) for line in lines
    ]


def _duplicate_runs(run: RunRecord) -> Iterator[str]:
    run_counts = Counter(
        arrival.request_id for arrival in run.arrivals if arrival.has_run
    )
    for request in run.requests:
        if not request.idempotent and run_counts[request.request_id] > 1:
            count = run_counts[request.request_id]
            yield f'duplicated: {request.request_id} ran {count} times'


def _false_refusals(run: RunRecord) -> Iterator[str]:
    executed_ids = {
        arrival.request_id for arrival in run.arrivals if arrival.has_run
    }
    for request in run.requests:
        is_refused = (
            request.outcome == 'answered' and request.status in NOT_RUN_STATUSES
        )
        if (
            is_refused
            and not request.idempotent
            and request.request_id in executed_ids
        ):
            yield (
                f'refused though it ran: {request.request_id}, {request.status}'
            )


def _unknown_arrivals(run: RunRecord) -> Iterator[str]:
    paths = {request.request_id: request.path for request in run.requests}
    for arrival in run.arrivals:
        if paths.get(arrival.request_id) != arrival.path:
            yield f'nobody sent: {arrival.request_id} {arrival.path}'


def _mismatched_responses(run: RunRecord) -> Iterator[str]:
    for request in run.requests:
        if request.outcome != 'answered' or request.status != 200:
            continue
        if not request.is_signed or request.body != request.request_id:
            yield (
                f'response of another request: {request.request_id}: '
                f'{request.body!r}'
            )


def _misrouted_requests(run: RunRecord) -> Iterator[str]:
    for arrival in run.arrivals:
        allowed_services = run.allowed_services.get(arrival.path, set())
        if arrival.has_run and arrival.service not in allowed_services:
            yield (
                f'ran at {arrival.service}: {arrival.request_id} {arrival.path}'
            )


def _late_responses(run: RunRecord) -> Iterator[str]:
    for request in run.requests:
        if request.outcome == 'late' and not _was_instance_disturbed(
            run, request
        ):
            yield f'no response in time: {request.request_id}'


def _was_instance_disturbed(run: RunRecord, request: SentRequest) -> bool:
    # The request may have been forwarded to any other instance.
    return any(
        disturbance.start <= request.ended_at
        and disturbance.end >= request.sent_at
        for disturbance in unplanned_disturbances(run)
    )


def _excess_retries(run: RunRecord) -> Iterator[str]:
    seen_ids: set[str] = set()
    retry_times: dict[str, list[float]] = defaultdict(list)
    for arrival in sorted(run.arrivals, key=lambda each: each.arrived_at):
        if arrival.request_id in seen_ids:
            retry_times[arrival.service].append(arrival.arrived_at)
        seen_ids.add(arrival.request_id)
    for service, times in retry_times.items():
        for end in times:
            retry_count = sum(
                end - BUDGET_WINDOW_SECONDS < time <= end for time in times
            )
            allowed_retries = BUDGET_RATIO * _max_request_count(
                run, service, end
            )
            if retry_count > allowed_retries + BUDGET_SLACK:
                yield (
                    f'{retry_count} repeats at {service} '
                    f'before second {end:.2f}'
                )
                break


def _max_request_count(run: RunRecord, service: str, end: float) -> int:
    """Return the highest request count of three windows.

    They end at ``end``, and half a window and a whole window before it.
    """
    times = [
        request.sent_at
        for request in run.requests
        if service in run.allowed_services.get(request.path, ())
        and request.status != UNAUTHORIZED
    ]
    return max(
        sum(
            end - shift - BUDGET_WINDOW_SECONDS < time <= end - shift
            for time in times
        )
        for shift in (0, BUDGET_WINDOW_SECONDS / 2, BUDGET_WINDOW_SECONDS)
    )


def _config_rollbacks(run: RunRecord) -> Iterator[str]:
    """Check that no process returns to an older configuration.

    A path such as ``/only7/`` exists in one version only.
    """
    newest: dict[tuple[int, int], tuple[int, float]] = {}
    successes = [
        request
        for request in run.requests
        if request.path.startswith('/only')
        and request.outcome == 'answered'
        and request.status == 200
    ]
    for request in sorted(successes, key=lambda each: each.ended_at):
        version = int(request.path.strip('/').removeprefix('only'))
        key = (request.instance, _count_disturbances(run, request))
        newest_version, newest_at = newest.get(key, (0, 0.0))
        if (
            version < newest_version
            and request.sent_at > newest_at + REVERT_SLACK_SECONDS
        ):
            yield (
                f'version {version} after {newest_version}: '
                f'{request.request_id}'
            )
        if version > newest_version:
            newest[key] = (version, request.ended_at)


def _count_disturbances(run: RunRecord, request: SentRequest) -> int:
    return sum(
        disturbance.instance == request.instance
        and disturbance.start <= request.ended_at
        for disturbance in run.instance_disturbances
    )


def _unserved_in_cuts(run: RunRecord) -> Iterator[str]:
    """Check that callers of instances without upstreams are served.

    Cuts and planned shutdowns may overlap; only requests while some instance
    could have served them count.
    """
    requests = [
        request
        for request in run.requests
        if request.outcome != 'left'
        and _may_expect_service(run, request)
        and not is_excused(
            run, request.sent_at - HANDOVER_SECONDS, request.ended_at
        )
        and _has_able_instance(run, request)
    ]
    in_cuts = [request for request in requests if _is_in_cut(run, request)]
    others = [request for request in requests if not _is_in_cut(run, request)]
    failed_count = len(in_cuts) - _count_served(in_cuts)
    allowed = ALLOWED_FAILURES + ALLOWED_FAILURE_SHARE * len(requests)
    if not in_cuts or not others or failed_count <= allowed:
        return
    share = _count_served(in_cuts) / len(in_cuts)
    other_share = _count_served(others) / len(others)
    if share < MIN_SERVED_RATIO * other_share:
        yield (
            f'{failed_count} of {len(in_cuts)} requests not served at '
            f'instances without upstreams; share elsewhere {other_share:.2f}'
        )


def _may_expect_service(run: RunRecord, request: SentRequest) -> bool:
    """Return whether the request has a key that stays valid and no quota."""
    period = run.keys.get(request.key)
    is_limited = period is not None and period.account in run.quotas
    is_permanent = period is not None and period.added_at == -inf
    return not run.keys or (is_permanent and not is_limited)


def _has_able_instance(run: RunRecord, request: SentRequest) -> bool:
    """Return whether an instance had upstreams and was not being stopped."""
    unable_instances = {
        period.instance
        for period in (*run.upstream_cuts, *run.instance_disturbances)
        if period.start <= request.ended_at
        and period.end >= request.sent_at - HANDOVER_SECONDS
    }
    return len(unable_instances) < run.instance_count


def _is_in_cut(run: RunRecord, request: SentRequest) -> bool:
    return any(
        cut.instance == request.instance
        and cut.start + HANDOVER_SECONDS <= request.sent_at <= cut.end
        for cut in run.upstream_cuts
    )


def _count_served(requests: list[SentRequest]) -> int:
    return sum(
        request.outcome == 'answered' and request.status in {200, 404}
        for request in requests
    )
