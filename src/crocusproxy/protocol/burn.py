"""Answer to ``GET /v1/burn`` and the records of stream ``burn``."""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import datetime

from ..burn.windows import WindowCounts, merge


@dataclass(frozen=True, slots=True)
class BurnReport:
    """Counts per service of one process.

    ``started`` is the start of the process and tells it from an earlier one of
    the same instance. An answer holds all kept windows; a record of the stream
    holds the windows that ended since the record before it.
    """

    instance: str
    started: datetime
    services: Mapping[str, tuple[WindowCounts, ...]]


def merge_reports(
    answers: Iterable[BurnReport],
    records: Iterable[BurnReport] = (),
) -> dict[str, tuple[WindowCounts, ...]]:
    """Add up counts per service.

    Records of a process that answered are left out, because its answer holds
    the same requests.
    """
    answered = tuple(answers)
    processes = {(report.instance, report.started) for report in answered}
    others = tuple(
        report
        for report in records
        if (report.instance, report.started) not in processes
    )
    return _merged_by_service((*answered, *others))


def _merged_by_service(
    reports: tuple[BurnReport, ...],
) -> dict[str, tuple[WindowCounts, ...]]:
    names = sorted({name for report in reports for name in report.services})
    return {
        name: merge(
            entry
            for report in reports
            for entry in report.services.get(name, ())
        )
        for name in names
    }
