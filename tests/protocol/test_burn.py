"""Guards against requests counted from an answer and a record at once."""

from datetime import datetime, timedelta, timezone

from crocusproxy.burn.windows import WINDOW, WindowCounts
from crocusproxy.protocol.burn import BurnReport, merge_reports
from crocusproxy.protocol.codec import decode, encode

NINE = datetime(2026, 1, 1, 9, tzinfo=timezone.utc)


def report(instance, good, started=NINE):
    counts = (WindowCounts(NINE, WINDOW, good, 0),)
    return BurnReport(instance, started, {'redaccion': counts})


def test_a_report_survives_the_codec():
    assert decode(BurnReport, encode(report('i1', 3))) == report('i1', 3)


def test_records_count_only_for_processes_that_did_not_answer():
    earlier = NINE - timedelta(hours=1)
    merged = merge_reports(
        answers=(report('i1', 10),),
        records=(
            report('i1', 10),
            report('i1', 3, started=earlier),
            report('i2', 2),
        ),
    )
    assert merged['redaccion'] == (WindowCounts(NINE, WINDOW, 15, 0),)
