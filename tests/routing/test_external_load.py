"""Guards against unseen load, stale reports and reports that lie."""

from crocusproxy.routing.external_load import ExternalLoad


def reported(total, own):
    external = ExternalLoad()
    for _ in range(50):
        external.report(total, own, 1.0)
    return external


def test_the_load_of_others_is_the_report_minus_the_own_part():
    assert 2.9 < reported(total=5, own=2).load(1.0) <= 3
    assert not reported(total=2, own=2).load(1.0)


def test_an_old_report_loses_its_weight():
    assert reported(5, 2).load(1.5) < 0.01


def test_an_idle_upstream_that_claims_to_be_busy_loses_trust():
    external = reported(total=100, own=1)
    for _ in range(60):
        external.compare(latency_ratio=1.0, slots=2)
    assert external.load(1.0) < 1
    for _ in range(60):
        external.compare(latency_ratio=40, slots=2)
    assert external.load(1.0) > 90
