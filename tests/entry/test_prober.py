"""Guards against choices by what an upstream was like some time ago."""

import asyncio

from prometheus_client import CollectorRegistry

from crocusproxy.entry.metrics import EntryMetrics
from crocusproxy.entry.prober import Prober
from crocusproxy.platform.headers import HEADER_NAMES

from .harness import play, server


def probing(system):
    prober = Prober(
        system.pool,
        HEADER_NAMES,
        system.clock,
        system.on_load,
        lambda: system.dispatcher.last_request_at,
        60,
        EntryMetrics(CollectorRegistry()),
    )
    prober.apply_config(system.catalog.config)
    system.dispatcher.refresh_load = prober.refresh
    return prober


def test_upstream_is_asked_at_the_choice_and_left_if_it_is_slow():
    async def scenario(system):
        probing(system)
        system.servers[0].slowdown = 500
        for number in range(12):
            await system.ask(f'r{number}')
            await asyncio.sleep(0.04)
        assert len(system.servers[1].runs) >= 11

    play(scenario, [server('i-1'), server('i-2')])


def test_upstream_that_is_down_is_not_chosen_again_and_again():
    async def scenario(system):
        probing(system)
        system.servers[0].stop()
        for number in range(8):
            assert (await system.ask(f'r{number}'))[0] == 200

    play(scenario, [server('i-1'), server('i-2')])


def test_nobody_is_asked_without_requests():
    async def scenario(system):
        prober = probing(system)
        placers = system.dispatcher.placers.values
        task = asyncio.create_task(prober.run(placers))
        await asyncio.sleep(0.3)
        task.cancel()
        assert system.servers[0].probes == 0

    play(scenario, [server()])


def test_busy_upstream_that_answers_late_has_not_failed():
    async def scenario(system):
        prober = probing(system)
        caller = await system.connect()
        caller.send('r1')
        await asyncio.sleep(0.05)
        state = system.dispatcher.placers['s'].upstreams['i-1']
        prober.health_paths['s'] = '/silent'
        await prober._probe(state, '/silent')
        assert not state.failures_in_row
        caller.close()

    one = server(work=1.0)
    answer = one.answer

    async def silent(head, reader, writer):
        if head.startswith('GET /silent'):
            return
        await answer(head, reader, writer)

    one.answer = silent
    play(scenario, [one])
