"""Guards against requests that wait while another domain home has free slots.

Also guards against requests that are passed on more than once or run twice.
"""

import asyncio
from random import Random

from crocusproxy.entry.home_forwarder import HomeForwarder
from crocusproxy.entry.overflow import DECLINE_BACKOFF_SECONDS, OverflowTargets
from crocusproxy.protocol.home_feed import Member

from .harness import GatewaySystem, make_config, make_server, run_scenario


def member(address):
    return Member(address, 'b', '', address, 1.0, 1)


def use_domain_homes(system, *addresses):
    """Let the gateway of ``system`` ask the gateways at ``addresses``."""
    system.gateway.request_server.forwarder = HomeForwarder(
        system.pool, system.messages, system.clock, lambda _: ''
    )
    system.gateway.request_server.overflow_targets = OverflowTargets(
        lambda: [member(address) for address in addresses], Random(1)
    )


def with_neighbor(scenario, work=0.3, neighbor_work=0.0, **config):
    """Run ``scenario`` with two domain homes of one upstream each."""

    async def run(system):
        neighbor = await GatewaySystem().start(
            [make_server('i-2', work=neighbor_work, slots=4)],
            make_config(**config),
        )
        queue_task = asyncio.create_task(neighbor.dispatcher.run_queues())
        use_domain_homes(system, neighbor.address)
        use_domain_homes(neighbor, system.address)
        try:
            await scenario(system, neighbor)
        finally:
            queue_task.cancel()
            await neighbor.stop()

    run_scenario(run, [make_server('i-1', work=work, slots=1)])


async def send_many(system, count, path='/safe/x', method='GET', **options):
    body = b'x' if method == 'POST' else b''
    tasks = []
    for number in range(count):
        tasks.append(
            asyncio.create_task(
                system.request(f'r{number}', path, method, body, **options)
            )
        )
        # The requests arrive in this order.
        await asyncio.sleep(0.02)
    return await asyncio.gather(*tasks)


def test_requests_beyond_the_own_slots_are_served_by_another_domain_home():
    async def scenario(system, neighbor):
        responses = await send_many(system, 4)
        assert [status for status, _, _ in responses] == [200] * 4
        assert system.servers[0].runs == ['r0', 'r1']
        assert neighbor.servers[0].runs == ['r2', 'r3']
        head, _ = neighbor.servers[0].heads[0]
        assert 'Crocus-Overflow' not in head
        events = [event for event, _ in system.log_lines]
        assert events.count('request_overflowed') == 2

    with_neighbor(scenario)


def test_unsafe_request_runs_once_when_it_overflows():
    async def scenario(system, neighbor):
        await send_many(system, 3, '/once/x', 'POST')
        runs = system.servers[0].runs + neighbor.servers[0].runs
        assert sorted(runs) == ['r0', 'r1', 'r2']

    with_neighbor(scenario, work=0.1)


def test_full_domain_home_declines_and_the_request_waits_at_its_own():
    """A request sent back and forth would never run."""

    async def scenario(system, neighbor):
        busy = asyncio.create_task(send_many(neighbor, 4))
        await asyncio.sleep(0.1)
        responses = await send_many(system, 3)
        assert [status for status, _, _ in responses] == [200] * 3
        assert sorted(system.servers[0].runs) == ['r0', 'r1', 'r2']
        await busy

    with_neighbor(scenario, work=0.1, neighbor_work=0.5)


def test_domain_home_with_an_older_configuration_gets_no_request():
    async def scenario(system, neighbor):
        system.catalog.apply_config(make_config(version=2))
        await send_many(system, 3)
        assert not neighbor.servers[0].runs

    with_neighbor(scenario, work=0.1)


def test_unreachable_domain_home_costs_no_request():
    async def scenario(system):
        use_domain_homes(system, '127.0.0.1:1')
        responses = await send_many(system, 3)
        assert [status for status, _, _ in responses] == [200] * 3

    run_scenario(scenario, [make_server('i-1', work=0.1, slots=1)])


def test_domain_home_that_declined_is_not_asked_again_at_once():
    """Under a load beyond all slots, each request would ask in vain."""
    targets = OverflowTargets(lambda: [member('n1'), member('n2')], Random(1))
    targets.decline('n1', 's', 10)
    assert {targets.choose('s', 10) for _ in range(20)} == {'n2'}
    targets.decline('n2', 's', 10)
    assert targets.choose('s', 10) == ''
    assert targets.choose('t', 10) != ''
    assert targets.choose('s', 10 + DECLINE_BACKOFF_SECONDS) != ''
