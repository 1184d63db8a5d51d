"""Guards against unnecessary probes."""

from datetime import timedelta

from crocusproxy.measurement.planning import (
    KnownLoad,
    ProbeSettings,
    plan_probes,
)

NOW = timedelta(seconds=100)


def ago(seconds):
    return NOW - timedelta(seconds=seconds)


def planned(*known, last_request_at=NOW):
    return plan_probes(known, last_request_at, NOW, ProbeSettings())


def test_upstreams_without_fresh_information_are_probed_oldest_first():
    known = (
        KnownLoad('fresh', 2, 0, reported_at=ago(0.1)),
        KnownLoad('just probed', 2, 0, probed_at=ago(0.1)),
        KnownLoad('old', 2, 0, reported_at=ago(5)),
        KnownLoad('older', 2, 0, reported_at=ago(9), probed_at=ago(6)),
        KnownLoad('never', 2, 0),
    )
    assert planned(*known) == ('never', 'older', 'old')


def test_upstream_that_cannot_be_chosen_is_not_probed():
    assert not planned(
        KnownLoad('leaving', 2, 0, can_be_chosen=False),
        KnownLoad('full', 2, 4),
    )


def test_idle_service_is_not_probed():
    known = KnownLoad('never', 2, 0)
    assert not planned(known, last_request_at=None)
    assert not planned(known, last_request_at=ago(3))
