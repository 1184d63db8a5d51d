"""Guards against rate limits that are misread or never end."""

import asyncio

import pytest

from .harness import make_server, run_scenario
from .test_prober import make_prober


def state_of(system, key='i-1'):
    return system.dispatcher.placers['s'].upstreams[key]


def limits_logged(system):
    return [
        fields['limit']
        for event, fields in system.log_lines
        if event == 'upstream_limit_changed'
    ]


def test_limit_holds_until_a_response_states_none():
    async def scenario(system):
        (server,) = system.servers
        for number, terms in enumerate(
            (('Server-Limit: 2.5',), ('Server-Limit: 2.5',), ())
        ):
            server.terms = terms
            await system.request(f'r{number}')
            await asyncio.sleep(1)
        assert limits_logged(system) == [2.5, None]
        assert state_of(system).rate_limit is None

    run_scenario(scenario, [make_server()])


@pytest.mark.parametrize('text', ['-1', 'nan', 'inf', 'fast', ''])
def test_malformed_limit_does_not_end_the_one_before(text):
    async def scenario(system):
        (server,) = system.servers
        server.terms = ('Server-Limit: 2',)
        await system.request('r1')
        server.terms = (f'Server-Limit: {text}',)
        await asyncio.sleep(1)
        await system.request('r2')
        assert state_of(system).rate_limit == 2
        events = [event for event, _ in system.log_lines]
        assert events.count('upstream_header_malformed') == 1

    run_scenario(scenario, [make_server()])


def test_probe_states_a_limit_but_does_not_end_one():
    """A health endpoint may not state limits at all."""

    async def scenario(system):
        prober = make_prober(system)
        (server,) = system.servers
        server.terms = ('Server-Limit: 2',)
        await prober._probe(state_of(system), '/health')
        server.terms = ()
        await prober._probe(state_of(system), '/health')
        assert state_of(system).rate_limit == 2

    run_scenario(scenario, [make_server()])


def test_refusal_by_another_server_at_the_address_does_not_end_a_limit():
    async def scenario(system):
        (server,) = system.servers
        server.terms = ('Server-Limit: 2',)
        await system.request('r1')
        server.key, server.terms = 'i-other', ()
        await asyncio.sleep(1)
        assert (await system.request('r2'))[0] == 503
        assert state_of(system).rate_limit == 2

    run_scenario(scenario, [make_server()])


def test_limit_that_changes_with_each_response_is_not_logged_each_time():
    async def scenario(system):
        (server,) = system.servers
        for number in range(6):
            server.terms = (f'Server-Limit: {100 + number}',)
            await system.request(f'r{number}')
            await asyncio.sleep(0.03)
        assert state_of(system).rate_limit == 105
        assert limits_logged(system) == [100]

    run_scenario(scenario, [make_server()])
