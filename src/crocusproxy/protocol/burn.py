"""Response to ``GET /v1/burn`` and the records of stream ``burn``.

Burn is the use of the error budget of a service's objective.
"""

from collections.abc import Iterable, Mapping
from dataclasses import dataclass
from datetime import datetime

from ..burn.windows import WindowCounts, merge


@dataclass(frozen=True, slots=True)
class BurnReport:
    """Request counts of one process, per service and window.

    ``started`` is the start time of the process, which distinguishes it from
    earlier ones of the same instance. A response holds all stored windows; a
    record of the stream holds the windows that ended since the previous record.
    """

    instance: str
    started: datetime
    services: Mapping[str, tuple[WindowCounts, ...]]


def merge_reports(
    replies: Iterable[BurnReport],
    records: Iterable[BurnReport] = (),
) -> dict[str, tuple[WindowCounts, ...]]:
    """Add up the counts per service.

    Records of a process that replied are ignored, because its reply counts the
    same requests.
    """
    received = tuple(replies)
    processes = {(report.instance, report.started) for report in received}
    others = tuple(
        report
        for report in records
        if (report.instance, report.started) not in processes
    )
    return _merged_by_service((*received, *others))


def _merged_by_service(
    reports: tuple[BurnReport, ...],
) -> dict[str, tuple[WindowCounts, ...]]:
    names = sorted({name for report in reports for name in report.services})
    return {
        name: merge(
            counts
            for report in reports
            for counts in report.services.get(name, ())
        )
        for name in names
    }
