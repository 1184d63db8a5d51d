"""Guards against unseen load and against stale or wrong reports."""

from crocusproxy.routing.external_load import ExternalLoad


def reported(total_load, own_load):
    external = ExternalLoad()
    for _ in range(50):
        external.report(total_load, own_load, 1.0)
    return external


def test_external_load_is_the_reported_minus_the_own_load():
    assert 2.9 < reported(total_load=5, own_load=2).load(1.0) <= 3
    assert not reported(total_load=2, own_load=2).load(1.0)


def test_weight_of_a_report_decays():
    assert reported(5, 2).load(1.5) < 0.01


def test_trust_falls_if_a_busy_upstream_responds_fast():
    external = reported(total_load=100, own_load=1)
    for _ in range(60):
        external.compare(latency_ratio=1.0, slots=2)
    assert external.load(1.0) < 1
    for _ in range(60):
        external.compare(latency_ratio=40, slots=2)
    assert external.load(1.0) > 90
