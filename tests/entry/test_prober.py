"""Guards against choices by an outdated load of an upstream."""

import asyncio

from prometheus_client import CollectorRegistry

from crocusproxy.entry.metrics import EntryMetrics
from crocusproxy.entry.prober import Prober
from crocusproxy.platform.headers import HEADER_NAMES

from .harness import make_server, run_scenario


def make_prober(system):
    prober = Prober(
        system.pool,
        HEADER_NAMES,
        system.clock,
        system.observer,
        lambda: system.dispatcher.last_request_at,
        60,
        EntryMetrics(CollectorRegistry()),
        system.reach,
    )
    prober.apply_config(system.catalog.config)
    system.dispatcher.selector.refresh_load = prober.refresh_load
    return prober


def test_chosen_upstream_is_probed_and_replaced_if_slow():
    async def scenario(system):
        make_prober(system)
        system.servers[0].slowdown = 500
        for number in range(12):
            await system.request(f'r{number}')
            await asyncio.sleep(0.04)
        assert len(system.servers[1].runs) >= 11

    run_scenario(scenario, [make_server('i-1'), make_server('i-2')])


def test_unreachable_upstream_does_not_fail_requests():
    async def scenario(system):
        make_prober(system)
        system.servers[0].stop()
        for number in range(8):
            assert (await system.request(f'r{number}'))[0] == 200

    run_scenario(scenario, [make_server('i-1'), make_server('i-2')])


def test_no_probes_without_requests():
    async def scenario(system):
        prober = make_prober(system)
        placers = system.dispatcher.placers.values
        task = asyncio.create_task(prober.run(placers))
        await asyncio.sleep(0.3)
        task.cancel()
        assert system.servers[0].probes == 0

    run_scenario(scenario, [make_server()])


def test_late_response_of_a_busy_upstream_is_no_failure():
    async def scenario(system):
        prober = make_prober(system)
        caller = await system.connect()
        caller.send('r1')
        await asyncio.sleep(0.05)
        state = system.dispatcher.placers['s'].upstreams['i-1']
        prober.health_paths['s'] = '/silent'
        await prober._probe(state, '/silent')
        assert not state.consecutive_failures
        caller.close()

    busy_server = make_server(work=1.0)
    normal_answer = busy_server.answer

    async def silent(head, reader, writer):
        if head.startswith('GET /silent'):
            return
        await normal_answer(head, reader, writer)

    busy_server.answer = silent
    run_scenario(scenario, [busy_server])


def test_lost_upstream_is_probed_once_its_backoff_has_ended():
    """It was probed each 60 ms while requests were queued (inc-1cc3)."""

    async def scenario(system):
        prober = make_prober(system)
        placer = system.dispatcher.placer('s')
        state = placer.upstreams['i-1']
        now = placer.now()
        state.failed(now)
        prober._probe_stale(placer, '/health', now)
        assert not prober.tasks
        prober._probe_stale(placer, '/health', state.backoff_until)
        assert prober.tasks.keys() == {'i-1'}
        await asyncio.gather(*prober.tasks.values())

    run_scenario(scenario, [make_server()])
