"""Guards against probes that bring nothing or that no right permits."""

from datetime import timedelta
from random import Random

import pytest
from prometheus_client import CollectorRegistry

from crocusproxy.clock import ManualClock
from crocusproxy.config.model import Document, Service, Upstream
from crocusproxy.measurement.load_report import ReportedLoad
from crocusproxy.measurement.rights import RightsHolder, RightsSettings
from crocusproxy.membership.view import Instance, InstanceView
from crocusproxy.proxy.core import ProxyCore
from crocusproxy.proxy.metrics import ProxyMetrics
from crocusproxy.proxy.probing import ProbeController
from crocusproxy.proxy.service import Assignment
from crocusproxy.proxy.settings import ProxySettings
from crocusproxy.settings import InstanceIdentity, Listen

KEYS = {'s/u0', 's/u1', 's/u2'}


class Renewer:
    def budgets_changed(self):
        self.told = True


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def probing(clock):
    listen = Listen('127.0.0.1', 0)
    settings = ProxySettings(InstanceIdentity('i1', 'fd1'), listen, listen, ())
    metrics = ProxyMetrics(clock, 'i1', CollectorRegistry())
    core = ProxyCore(settings, clock, Random(1), metrics)
    holder = RightsHolder('i1-a', RightsSettings(), Random(1))
    made = ProbeController(core, holder, Renewer(), clock)
    upstreams = [
        Upstream(f'u{number}', 's', f'127.0.0.1:{number + 1}', 'fd1', 2)
        for number in range(3)
    ]
    document = Document(
        1,
        {'s': Service('s'), 'idle': Service('idle')},
        {one.key: one for one in upstreams},
    )
    core.apply_document(document)
    made.apply_document(document)
    return made


def use(probing, number=0):
    """Send a request and let it end."""
    scheduler = probing.core.dispatcher.schedulers['s']
    return Assignment(
        scheduler, scheduler.upstreams[number], scheduler.clock.monotonic()
    )


def planned(probing):
    return {upstream.key for upstream in probing.plan()}


def test_an_idle_service_is_not_probed_and_wants_no_rights(probing):
    assert planned(probing) == set()
    assert not probing.holder.wanted


def test_a_service_in_use_wants_rights_only_while_reports_are_missing(
    probing, clock
):
    use(probing)
    assert planned(probing) == KEYS
    assert probing.holder.wanted == {'s': 1}
    for _ in range(60):
        clock.advance(timedelta(milliseconds=200))
        use(probing)
        for upstream in probing.core.dispatcher.schedulers['s'].upstreams:
            probing.report(upstream, ReportedLoad(0, 2, 0), clock.monotonic())
        assert planned(probing) == set()
    assert not probing.holder.wanted


def test_a_leaving_or_full_upstream_is_not_probed(probing, clock):
    probing.core.apply_view(
        InstanceView(1, leaving_upstreams=frozenset(('s/u1',)))
    )
    for _ in range(4):
        use(probing, 2)
    assert planned(probing) == {'s/u0'}


def test_an_upstream_that_announced_its_drain_is_not_probed(probing):
    use(probing)
    scheduler = probing.core.dispatcher.schedulers['s']
    scheduler.balancer.drain(scheduler.upstreams[1])
    assert planned(probing) == {'s/u0', 's/u2'}


def test_an_instance_that_is_no_home_leaves_the_probes_to_the_homes(probing):
    address = '127.0.0.1:9'
    home = Instance('i2', 'fd1', 'live', address, address, address, address)
    probing.core.apply_view(InstanceView(1, (home,)))
    use(probing)
    assert planned(probing) == set()


def test_nothing_may_be_probed_without_a_right(probing, clock):
    use(probing)
    planned(probing)
    assert not probing.prober.may_probe('s')
