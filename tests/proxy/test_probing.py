"""Guards against probes that are useless or not permitted by a right."""

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
        self.has_new_budgets = True


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def controller(clock):
    listen = Listen('127.0.0.1', 0)
    settings = ProxySettings(InstanceIdentity('i1', 'fd1'), listen, listen, ())
    metrics = ProxyMetrics(clock, 'i1', CollectorRegistry())
    core = ProxyCore(settings, clock, Random(1), metrics)
    holder = RightsHolder('i1-a', RightsSettings(), Random(1))
    controller = ProbeController(core, holder, Renewer(), clock)
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
    controller.apply_document(document)
    return controller


def start_request(controller, number=0):
    """Assign a request to an upstream; it stays in flight."""
    scheduler = controller.core.dispatcher.schedulers['s']
    return Assignment(
        scheduler, scheduler.upstreams[number], scheduler.clock.monotonic()
    )


def planned_keys(controller):
    return {upstream.key for upstream in controller.plan()}


def test_an_idle_service_needs_no_probes_and_no_rights(controller):
    assert planned_keys(controller) == set()
    assert not controller.holder.target_counts


def test_an_active_service_needs_rights_only_while_reports_are_missing(
    controller, clock
):
    start_request(controller)
    assert planned_keys(controller) == KEYS
    assert controller.holder.target_counts == {'s': 1}
    for _ in range(60):
        clock.advance(timedelta(milliseconds=200))
        start_request(controller)
        for upstream in controller.core.dispatcher.schedulers['s'].upstreams:
            controller.report(
                upstream, ReportedLoad(0, 2, 0), clock.monotonic()
            )
        assert planned_keys(controller) == set()
    assert not controller.holder.target_counts


def test_a_leaving_or_full_upstream_is_not_probed(controller, clock):
    controller.core.apply_view(
        InstanceView(1, leaving_upstreams=frozenset(('s/u1',)))
    )
    for _ in range(4):
        start_request(controller, 2)
    assert planned_keys(controller) == {'s/u0'}


def test_a_draining_upstream_is_not_probed(controller):
    start_request(controller)
    scheduler = controller.core.dispatcher.schedulers['s']
    scheduler.balancer.drain(scheduler.upstreams[1])
    assert planned_keys(controller) == {'s/u0', 's/u2'}


def test_an_instance_that_is_no_home_does_not_probe(controller):
    address = '127.0.0.1:9'
    home = Instance('i2', 'fd1', 'live', address, address, address, address)
    controller.core.apply_view(InstanceView(1, (home,)))
    start_request(controller)
    assert planned_keys(controller) == set()


def test_a_service_is_not_probed_without_a_right(controller, clock):
    start_request(controller)
    planned_keys(controller)
    assert not controller.prober.spend_probe('s')
