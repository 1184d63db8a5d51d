"""Guards against updates of unchanged services on each configuration change."""

from random import Random

from prometheus_client import CollectorRegistry

from crocusproxy.clock import ManualClock
from crocusproxy.config.change import Put, apply_edits
from crocusproxy.config.model import Document, Service, Upstream
from crocusproxy.proxy.core import ProxyCore
from crocusproxy.proxy.metrics import ProxyMetrics
from crocusproxy.proxy.service import ServiceScheduler
from crocusproxy.proxy.settings import ProxySettings
from crocusproxy.settings import InstanceIdentity, Listen


def new_upstream(service, slots=2):
    return Upstream('u1', service, '127.0.0.1:1', 'fd1', slots)


def new_core():
    listen = Listen('127.0.0.1', 0)
    settings = ProxySettings(InstanceIdentity('i1', 'fd1'), listen, listen, ())
    clock = ManualClock()
    metrics = ProxyMetrics(clock, 'i1', CollectorRegistry())
    return ProxyCore(settings, clock, Random(1), metrics)


def test_a_change_updates_only_the_edited_services(monkeypatch):
    updated = []
    original = ServiceScheduler.update

    def update(scheduler, service, upstreams):
        updated.append((service.name, [one.slots for one in upstreams]))
        original(scheduler, service, upstreams)

    monkeypatch.setattr(ServiceScheduler, 'update', update)
    services = {name: Service(name) for name in ('a', 'b', 'c')}
    upstreams = {f'{name}/u1': new_upstream(name) for name in services}
    first = Document(1, services, upstreams)
    edits = (
        Put('upstream', 'a/u1', new_upstream('a', slots=5)),
        Put('service', 'c', Service('c', homes=3)),
    )
    core = new_core()
    core.apply_document(first)
    updated.clear()
    core.apply_document(apply_edits(first, edits, 2))
    assert sorted(updated) == [('a', [5]), ('c', [2])]
