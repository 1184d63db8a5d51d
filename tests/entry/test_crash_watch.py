"""Guards against suspicions of a crash that outlive their period."""

from datetime import timedelta
from types import SimpleNamespace

from crocusproxy.clock import ManualClock
from crocusproxy.entry.crash_watch import CrashWatch, fingerprint
from crocusproxy.placement.upstream_reach import UpstreamReach
from crocusproxy.protocol.home_feed import CrashReport
from crocusproxy.routing.crash import CONFIRMATION_PERIOD, SUSPICION_PERIOD

MESSAGE = SimpleNamespace(method='GET', headers={}, path='/')
REQUEST = SimpleNamespace(message=MESSAGE, body=b'')


def crash(watch, upstream):
    watch.apply_report(CrashReport(upstream, (fingerprint(REQUEST),)))


def test_expired_suspect_is_hedged_again_and_reported_to_nobody():
    """It was a suspect until another upstream crashed, days later."""
    clock = ManualClock()
    watch = CrashWatch(clock, UpstreamReach(clock))
    reports = []
    watch.send_report = reports.append
    for period, upstreams in (
        (SUSPICION_PERIOD, ('i-1',)),
        (CONFIRMATION_PERIOD, ('i-1', 'i-2')),
    ):
        for upstream in upstreams:
            crash(watch, upstream)
        assert watch.is_suspect(REQUEST)
        clock.advance(period + timedelta(seconds=1))
        assert not watch.is_suspect(REQUEST)
        watch.record_response(REQUEST)
    assert not reports
