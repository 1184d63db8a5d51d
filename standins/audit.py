"""Compares what callers saw with what upstreams did."""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from .caller import CallRecord


@dataclass(frozen=True)
class Audit:
    """Breaches of the guarantees; each is 0 in a correct run.

    ``duplicated``: surplus runs of keyed requests, over all upstreams, and
    keyed calls to which more than one upstream response was returned.
    ``cut_short``: responses that passed as complete but were not whole, or that
    no upstream recorded as sent. ``foreign``: responses to another request.
    ``false_not_run``: keyed calls reported as not run that an upstream ran.
    """

    duplicated: int
    cut_short: int
    foreign: int
    false_not_run: int

    @property
    def is_clean(self) -> bool:
        return not (
            self.duplicated
            or self.cut_short
            or self.foreign
            or self.false_not_run
        )


def audit(records: Sequence[CallRecord], upstreams: Iterable[dict]) -> Audit:
    """Compare ``records`` with the counters of all upstreams."""
    runs: Counter[str] = Counter()
    sent: set[tuple[str, str]] = set()
    for counters in upstreams:
        runs.update(counters['runs_by_key'])
        for request_id, marks in counters['sent'].items():
            sent.update((request_id, mark) for mark in marks)
    return Audit(
        duplicated=_duplicated(records, runs),
        cut_short=sum(_cut_short(record, sent) for record in records),
        foreign=sum(not record.matches_request for record in records),
        false_not_run=sum(
            record.outcome == 'not-run' and runs[record.key] > 0
            for record in records
            if record.key
        ),
    )


def quantile(values: Sequence[float], share: float) -> float:
    """Return the nearest-rank quantile; 0 without values."""
    if not values:
        return 0
    ordered = sorted(values)
    return ordered[min(len(ordered) - 1, int(share * len(ordered)))]


def _duplicated(records: Sequence[CallRecord], runs: Counter) -> int:
    surplus = sum(count - 1 for count in runs.values())
    seen = sum(
        runs[record.key] <= 1
        for record in records
        if record.key and record.upstream_responses > 1
    )
    return surplus + seen


def _cut_short(record: CallRecord, sent: set[tuple[str, str]]) -> bool:
    if not record.response_mark:
        return False
    recorded = (record.request_id, record.response_mark) in sent
    # A foreign response is whole, but was sent for another request.
    return not record.is_complete or (record.matches_request and not recorded)
