"""Checks the invariants of evacuated and cold upstreams."""

from collections.abc import Iterator

from .propagation import is_in_force
from .records import ColdPeriod, RunRecord

#: No request reaches an evacuated failure domain after this time.
EVACUATION_SECONDS = 5.0
COLD_WINDOW_SECONDS = 1.0
COLD_FACTOR = 1.5
COLD_SLACK = 8
#: Instances limit requests within this time after an upstream became cold in
#: traffic and told so; one that starts is cold for them from the start on.
COLD_NOTICE_SECONDS = 0.5


def evacuated_arrivals(run: RunRecord) -> Iterator[str]:
    """Check that no request reaches an evacuated failure domain."""
    for evacuation in run.evacuations:
        for arrival in run.arrivals:
            domain = run.failure_domains.get(arrival.upstream)
            at = arrival.arrived_at
            if (
                domain == evacuation.failure_domain
                and at <= evacuation.end
                and is_in_force(run, evacuation.start, EVACUATION_SECONDS, at)
            ):
                yield (
                    f'sent to {arrival.upstream} {at - evacuation.start:.2f} s '
                    f'after the evacuation of {domain}: {arrival.request_id}'
                )


def cold_bursts(run: RunRecord) -> Iterator[str]:
    """Check the rate of requests, retries included, to cold upstreams."""
    for period in run.cold_periods:
        times = _counted_times(run, period)
        allowed = COLD_FACTOR * period.rate + COLD_SLACK
        for end in times:
            start = end - COLD_WINDOW_SECONDS
            count = sum(start < time <= end for time in times)
            if count > allowed:
                yield (
                    f'{count} requests in {COLD_WINDOW_SECONDS} s at cold '
                    f'{period.upstream} before {end:.2f}, {allowed:.0f} allowed'
                )
                break


def _counted_times(run: RunRecord, period: ColdPeriod) -> list[float]:
    if period.told_at is None:
        return []
    is_start = period.told_at == period.start
    notice_seconds = 0 if is_start else COLD_NOTICE_SECONDS
    return [
        arrival.arrived_at
        for arrival in run.arrivals
        if arrival.upstream == period.upstream
        and not arrival.is_misdirected
        and period.told_at + notice_seconds <= arrival.arrived_at <= period.end
    ]
