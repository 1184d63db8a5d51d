"""Checks the invariants of terms that upstreams state in their responses."""

from collections.abc import Iterator

from .propagation import is_excused
from .records import RunRecord, Statement

#: Instances apply stated terms within this time after a response with them.
TERMS_SLACK_SECONDS = 0.5
LIMIT_WINDOW_SECONDS = 4.0
LIMIT_FACTOR = 1.5
LIMIT_SLACK = 5
DRAIN_SECONDS = 2.0
#: Requests of each instance that may cross the refusal with the backoff.
BACKOFF_SLACK = 2


def exceeded_limits(run: RunRecord) -> Iterator[str]:
    """Check that no upstream gets more than the rate limit that it states."""
    for statement, binds_at in _told_statements(run, 'limit'):
        allowed = (
            LIMIT_FACTOR * LIMIT_WINDOW_SECONDS * statement.figure + LIMIT_SLACK
        )
        times = [
            time
            for time in _arrival_times(run, statement.upstream)
            if binds_at <= time <= statement.ended_at
        ]
        for end in times:
            start = end - LIMIT_WINDOW_SECONDS
            count = sum(start < time <= end for time in times)
            if count > allowed and not is_excused(run, start, end):
                yield (
                    f'{count} requests in 4 s at {statement.upstream} '
                    f'with limit {statement.figure} before {end:.2f}'
                )
                break


def requests_after_leaving(run: RunRecord) -> Iterator[str]:
    """Check that an upstream that says it leaves gets no later requests."""
    sent_at = {request.request_id: request.sent_at for request in run.requests}
    for statement, binds_at in _told_statements(run, 'leave'):
        latest_start = binds_at - TERMS_SLACK_SECONDS + DRAIN_SECONDS
        for arrival in run.arrivals:
            if (
                arrival.upstream == statement.upstream
                and arrival.arrived_at <= statement.ended_at
                and sent_at.get(arrival.request_id, 0) > latest_start
                and not is_excused(run, binds_at, arrival.arrived_at)
            ):
                yield (
                    f'sent to {statement.upstream}, which leaves: '
                    f'{arrival.request_id}'
                )


def requests_in_backoff(run: RunRecord) -> Iterator[str]:
    """Check that an upstream that asks for a backoff gets few requests."""
    instances = {request.instance for request in run.requests}
    for statement, binds_at in _told_statements(run, 'backoff'):
        end = binds_at - TERMS_SLACK_SECONDS + statement.figure
        count = sum(
            binds_at <= time <= min(end, statement.ended_at)
            for time in _arrival_times(run, statement.upstream)
        )
        was_disturbed = is_excused(run, binds_at, end) or any(
            fault.start <= binds_at and fault.end >= statement.set_at
            for fault in run.upstream_disturbances
        )
        if count > BACKOFF_SLACK * len(instances) and not was_disturbed:
            yield f'{count} requests in the backoff of {statement.upstream}'


def _told_statements(
    run: RunRecord, terms: str
) -> Iterator[tuple[Statement, float]]:
    """Yield the statements of a kind and when they bind the instances."""
    for statement in run.statements:
        if statement.terms == terms and statement.told_at is not None:
            yield statement, statement.told_at + TERMS_SLACK_SECONDS


def _arrival_times(run: RunRecord, upstream: str) -> list[float]:
    """Return when requests and probes arrived at a server."""
    requests = [
        arrival.arrived_at
        for arrival in run.arrivals
        if arrival.upstream == upstream
    ]
    return sorted((*requests, *run.probe_times.get(upstream, ())))
