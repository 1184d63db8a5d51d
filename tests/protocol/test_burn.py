"""Guards against requests counted from both a reply and a record."""

from datetime import datetime, timedelta, timezone

from crocusproxy.burn.windows import WINDOW, WindowCounts
from crocusproxy.protocol.burn import BurnReport, merge_reports
from crocusproxy.protocol.codec import decode, encode

NINE = datetime(2026, 1, 1, 9, tzinfo=timezone.utc)


def report(instance, good, started=NINE):
    counts = (WindowCounts(NINE, WINDOW, good, 0),)
    return BurnReport(instance, started, {'redaccion': counts})


def test_a_report_is_unchanged_by_encoding_and_decoding():
    assert decode(BurnReport, encode(report('i1', 3))) == report('i1', 3)


def test_records_count_only_for_processes_without_a_reply():
    earlier = NINE - timedelta(hours=1)
    merged = merge_reports(
        replies=(report('i1', 10),),
        records=(
            report('i1', 10),
            report('i1', 3, started=earlier),
            report('i2', 2),
        ),
    )
    assert merged['redaccion'] == (WindowCounts(NINE, WINDOW, 15, 0),)
