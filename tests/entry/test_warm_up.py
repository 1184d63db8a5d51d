"""Guards against load on upstreams that tell that they are cold."""

import asyncio
from dataclasses import replace
from datetime import timedelta

import pytest

from crocusproxy.routes.model import ServiceSettings

from .harness import make_config, make_server, run_scenario
from .test_prober import make_prober
from .test_upstream_terms import send_load, start_probes

RATE = 4.0
COLD = 'X-Crocusproxy-Warmup-Remaining: 1500'
WARM = 'X-Crocusproxy-Warmup-Remaining: 0'


def config_with_rate(rate=RATE):
    settings = ServiceSettings('s', '/health', 10, timedelta(seconds=30), rate)
    return replace(make_config(), services=(settings,))


def run_with_rate(scenario, *servers):
    run_scenario(scenario, servers, config_with_rate())


def state_of(system, key='i-1'):
    return system.dispatcher.placers['s'].upstreams[key]


def test_upstream_that_turns_cold_under_load_gets_the_rate_until_it_is_warm():
    """Its responses show a load only, so it must be probed as well."""

    async def scenario(system):
        probe_task = start_probes(system)
        cold, other = system.servers
        statuses = await send_load(system, 0.6)
        cold.terms = (COLD,)
        statuses += await send_load(system, 0.6)
        assert state_of(system).is_cold
        runs_before = len(cold.runs)
        probes_before = cold.probes
        statuses += await send_load(system, 1)
        assert len(cold.runs) - runs_before <= 1.5 * RATE + 1
        assert cold.probes - probes_before <= 5
        cold.terms = (WARM,)
        await asyncio.sleep(1.6)
        assert not state_of(system).is_cold
        statuses += await send_load(system, 0.5)
        assert set(statuses) == {200}
        probe_task.cancel()

    run_with_rate(
        scenario,
        make_server('i-1', slots=9, work=0.01),
        make_server('i-2', slots=9, work=0.01),
    )


@pytest.mark.parametrize('text', ['-1', 'nan', 'soon', ''])
def test_malformed_remaining_time_changes_nothing(text):
    async def scenario(system):
        (server,) = system.servers
        server.terms = (f'X-Crocusproxy-Warmup-Remaining: {text}',)
        await system.request('r1')
        assert not state_of(system).is_cold
        events = [event for event, _ in system.log_lines]
        assert events.count('upstream_header_malformed') == 1

    run_with_rate(scenario, make_server())


def test_cold_upstream_is_told_to_others_and_logged_once():
    async def scenario(system):
        prober = make_prober(system)
        told = []
        system.catalog.terms.on_change.append(
            lambda stated, is_own: told.append((stated.warm_up, is_own))
        )
        system.servers[0].terms = (COLD,)
        for _ in range(3):
            await prober._probe(state_of(system), '/health')
        assert len(told) == 1
        assert 1 < told[0][0].total_seconds() <= 1.5
        assert told[0][1]
        events = [event for event, _ in system.log_lines]
        assert events.count('upstream_cold') == 1

    run_with_rate(scenario, make_server())


def test_health_response_ends_the_assumption_that_an_upstream_is_cold():
    async def scenario(system):
        prober = make_prober(system)
        state = state_of(system)
        state.failed(system.dispatcher.placers['s'].now())
        assert state.is_cold
        await prober._probe(state, '/health')
        assert not state.is_cold

    run_with_rate(scenario, make_server())


def test_request_is_placed_again_if_the_probe_before_it_tells_a_warm_up():
    async def scenario(system):
        make_prober(system)
        cold, warm = system.servers
        cold.terms = (COLD,)
        for number in range(6):
            await asyncio.sleep(0.05)
            assert (await system.request(f'r{number}'))[0] == 200
        assert len(cold.runs) <= 2

    run_with_rate(scenario, make_server('i-1'), make_server('i-2'))


def test_upstreams_that_all_are_cold_refuse_what_they_can_not_take():
    async def scenario(system):
        for server in system.servers:
            server.terms = (COLD,)
            state = state_of(system, server.key)
            await make_prober(system)._probe(state, '/health')
        statuses = await send_load(system, 1)
        assert statuses.count(200) <= 2 * (1.5 * RATE + 8)
        assert statuses.count(200) >= RATE
        assert set(statuses) == {200, 503}

    run_with_rate(scenario, make_server('i-1'), make_server('i-2'))
