"""Guards against attempts that go on at an upstream after they have lost."""

import asyncio

from crocusproxy.entry.settings import Hedging
from crocusproxy.placement.hedging import RouteDurations

from .harness import make_server, run_scenario


def prepare(system):
    """Make hedges due after 50 ms."""
    system.allow_retries()
    hedged_calls = system.dispatcher.hedged_calls
    hedged_calls.apply_settings(Hedging(0.2))
    hedged_calls.durations['/safe/'] = durations = RouteDurations(0)
    now = hedged_calls.now()
    for _ in range(100):
        durations.record(0.05, now)
        hedged_calls.limit('s').count_request(now)


async def hedge_one(system):
    """Send a request that takes long at its first upstream only."""
    prepare(system)
    task = asyncio.create_task(system.request('r1'))
    while not any(server.runs for server in system.servers):
        await asyncio.sleep(0)
    loser, winner = sorted(
        system.servers, key=lambda server: server.runs, reverse=True
    )
    winner.work = 0
    assert (await task)[0] == 200
    assert winner.runs == loser.runs == ['r1']
    return loser, winner


def test_connection_of_the_loser_is_closed_at_once():
    """The upstream would go on with a request that nobody waits for."""

    async def scenario(system):
        loser, winner = await hedge_one(system)
        peers = system.pool.peers
        assert not peers[loser.address].open_connections
        assert len(peers[winner.address].idle_connections) == 1

    run_scenario(scenario, [make_server(f'i-{n}', work=0.4) for n in '12'])


def test_connection_closed_on_purpose_makes_no_crash_suspect():
    """The request would be refused if the upstream then went away."""

    async def scenario(system):
        loser, _ = await hedge_one(system)
        loser.stop()
        await asyncio.sleep(0.2)
        assert not system.pool.crash_checks
        assert not system.crash_watch.tracker.suspects
        assert not system.reach.failures
        state = system.dispatcher.placers['s'].upstreams[loser.key]
        assert not state.consecutive_failures
        outcomes = {fields.get('outcome') for _, fields in system.log_lines}
        assert {'cancelled', 'answered'} <= outcomes

    run_scenario(scenario, [make_server(f'i-{n}', work=0.4) for n in '12'])
