"""Guards against wrong answers to whether an instance reaches upstreams."""

from prometheus_client import CollectorRegistry

from crocusproxy.entry.metrics import EntryMetrics
from crocusproxy.entry.reach_check import ReachCheck
from crocusproxy.platform.headers import HEADER_NAMES

from .harness import make_server, run_scenario


def make_check(system):
    return ReachCheck(
        system.pool,
        system.catalog,
        HEADER_NAMES,
        system.clock,
        EntryMetrics(CollectorRegistry()),
        system.reach,
    )


def test_upstreams_that_refuse_or_reset_connections_are_not_reached():
    async def scenario(system):
        closed, resetting, _ = system.servers
        closed.stop()
        await closed.server.wait_closed()
        resetting.cut_off('127.0.0.1')
        check = make_check(system)
        keys = ('closed', 'resetting', 'well', 'unknown')
        assert await check.reached(keys) == {'well'}
        assert set(system.reach.unreached()) == {'closed', 'resetting'}

    keys = ('closed', 'resetting', 'well')
    run_scenario(scenario, [make_server(key) for key in keys])


def test_failing_upstream_is_reached():
    """Its response shows that the way to it is open."""

    async def scenario(system):
        system.servers[0].health_status = '503 Service Unavailable'
        assert await make_check(system).reached(['i-1']) == {'i-1'}

    run_scenario(scenario, [make_server()])


def test_old_connection_that_works_does_not_count():
    async def scenario(system):
        await system.request('r1')
        system.servers[0].cut_off('127.0.0.1', keeps_open=True)
        assert not await make_check(system).reached(['i-1'])
        assert (await system.request('r2'))[0] == 200

    run_scenario(scenario, [make_server()])


def test_upstream_that_limits_its_rate_is_not_tried():
    async def scenario(system):
        (server,) = system.servers
        server.terms = ('Server-Limit: 2',)
        await system.request('r1')
        assert not await make_check(system).reached(['i-1'])
        assert not server.probes

    run_scenario(scenario, [make_server()])
