"""Compares the records of callers with the counters of upstreams."""

from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from .caller import CallRecord


@dataclass(frozen=True)
class Audit:
    """Numbers of guarantee violations; all are 0 in a correct run.

    ``duplicated``: repeated runs of keyed requests, over all upstreams, and
    keyed calls that received more than one upstream response.
    ``cut_short``: responses that appeared complete but were truncated, or that
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
    sent_marks: set[tuple[str, str]] = set()
    for counters in upstreams:
        runs.update(counters['runs_by_key'])
        for request_id, marks in counters['sent'].items():
            sent_marks.update((request_id, mark) for mark in marks)
    return Audit(
        duplicated=_duplicated(records, runs),
        cut_short=sum(_cut_short(record, sent_marks) for record in records),
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
    repeated_runs = sum(count - 1 for count in runs.values())
    repeated_responses = sum(
        runs[record.key] <= 1
        for record in records
        if record.key and record.upstream_responses > 1
    )
    return repeated_runs + repeated_responses


def _cut_short(record: CallRecord, sent_marks: set[tuple[str, str]]) -> bool:
    if not record.response_mark:
        return False
    recorded = (record.request_id, record.response_mark) in sent_marks
    # A foreign response is complete, but was sent for another request.
    return not record.is_complete or (record.matches_request and not recorded)
