"""Guards against requests of shared services that circulate, wait or run twice.

One domain home dispatches a shared service for all failure domains.
"""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import replace
from random import Random

import pytest

from crocusproxy.entry.dispatch_role import DispatchRole
from crocusproxy.entry.home_forwarder import HomeForwarder
from crocusproxy.entry.overflow import OverflowTargets
from crocusproxy.membership.domain_homes import DomainHomeTable
from crocusproxy.protocol.home_feed import (
    DomainHome,
    DomainHomes,
    Member,
    UpstreamChange,
)
from crocusproxy.routes.model import RegisteredUpstream, WeightedService

from .harness import (
    GatewaySystem,
    make_config,
    make_route,
    make_server,
    run_scenario,
)

CONFIG = replace(
    make_config(),
    routes=(
        *make_config().routes,
        replace(make_route('/split/', True), parts=(WeightedService('t', 1),)),
        replace(
            make_route('/both/', True),
            parts=(WeightedService('s', 1), WeightedService('t', 1)),
        ),
    ),
)


class Instance:
    """A gateway with the role of a member and two upstreams of its own.

    One is of service ``s``, which is shared, the other one of service ``t``.
    """

    def __init__(self, domain, slots=4, work=0.0):
        self.system = GatewaySystem()
        self.servers = {
            service: make_server(f'{service}-{domain}', work=work, slots=slots)
            for service in 'st'
        }
        self.domain = domain
        self.table = DomainHomeTable()

    async def start(self):
        await self.system.start(configuration=CONFIG)
        for server in self.servers.values():
            await server.start()
        self.own = Member(
            self.domain, self.domain, '', self.system.address, 1.0, 1
        )
        role = DispatchRole(self.table, lambda: None, lambda: self.own)
        self.role = role
        gateway = self.system.gateway
        gateway.request_server.forwarder = HomeForwarder(
            self.system.pool,
            self.system.messages,
            self.system.clock,
            role.forwarding_address,
        )
        gateway.request_server.overflow_targets = OverflowTargets(
            role.other_domain_homes, Random(1), role.is_shared
        )
        self.system.dispatcher.has_successor = lambda service: bool(
            role.forwarding_address(service)
        )
        self.table.on_change.append(lambda _: self.update_role())
        self.queue_task = asyncio.create_task(
            self.system.dispatcher.run_queues()
        )

    def update_role(self):
        self.system.dispatcher.assign_role(
            self.role, is_exclusive=self.role.is_dispatcher()
        )
        self.system.dispatcher.hand_over()

    def add_upstreams_of(self, instance):
        for service, server in instance.servers.items():
            entry = RegisteredUpstream(
                server.key,
                service,
                server.address,
                instance.domain,
                server.slots,
                False,
                1,
                1,
            )
            self.system.catalog.apply_change(UpstreamChange(server.key, entry))

    def runs(self, service):
        return self.servers[service].runs

    def dispatched_services(self):
        """Return the services of which this instance has sent requests.

        A forwarded request grants no tokens for immediate retries.
        """
        return {
            service
            for service, budget in self.system.dispatcher.retry_budgets.items()
            if budget.immediate.grants
        }

    async def request(self, *args):
        status, _, body = await self.system.request(*args)
        return status, body

    async def stop(self):
        self.queue_task.cancel()
        await self.system.stop()
        for server in self.servers.values():
            server.stop()


def homes_of(*instances, shared=('s',)):
    """Let each instance be a domain home, the first with shared services."""
    return DomainHomes(
        tuple(DomainHome(one.domain, one.own) for one in instances), shared
    )


@asynccontextmanager
async def running(*instances):
    for one in instances:
        await one.start()
    for one in instances:
        for other in instances:
            one.add_upstreams_of(other)
        one.table.apply(homes_of(*instances))
    try:
        yield instances
    finally:
        for one in instances:
            await one.stop()


def play(scenario, *instances):
    async def run(_):
        async with running(*instances):
            await scenario(*instances)

    run_scenario(run)


def all_runs(service, *instances):
    return sorted(run for one in instances for run in one.runs(service))


def test_domain_home_forwards_shared_services_and_serves_the_others():
    async def scenario(first, second):
        responses = await asyncio.gather(
            *(second.request(f's{number}') for number in range(4)),
            *(second.request(f't{number}', '/split/x') for number in range(2)),
        )
        assert [status for status, _ in responses] == [200] * 6
        assert len(all_runs('s', first, second)) == 4
        assert second.runs('t') == ['t0', 't1']
        # The dispatching home uses the upstreams of all failure domains.
        assert first.runs('s') and second.runs('s')
        placers = second.system.dispatcher.placers
        assert second.dispatched_services() == {'t'}
        assert not placers['s'].upstream_set.is_exclusive
        assert placers['t'].upstream_set.is_exclusive

    play(scenario, Instance('a', 2, 0.1), Instance('b', 2, 0.1))


def test_service_that_was_chosen_by_the_traffic_split_is_kept():
    """A second choice would change the shares of the services."""

    async def scenario(first, second):
        names = iter('ststst')
        second.system.gateway.table.service_for = lambda _: next(names)
        first.system.gateway.table.service_for = lambda _: 't'
        for number in range(6):
            assert (await second.request(f'r{number}', '/both/x'))[0] == 200
        assert all_runs('s', first, second) == ['r0', 'r2', 'r4']
        assert second.runs('t') == ['r1', 'r3', 'r5']
        head, _ = (first.servers['s'].heads or second.servers['s'].heads)[0]
        assert 'Crocus-Service' not in head

    play(scenario, Instance('a'), Instance('b'))


@pytest.mark.parametrize('path', ['/safe/x', '/once/x'])
def test_homes_that_disagree_on_who_dispatches_send_no_request_in_circles(path):
    """The feed reaches one before the other."""

    async def scenario(first, second):
        first.table.apply(homes_of(second, first))
        assert (await first.request('r1', path, 'POST'))[0] == 200
        assert (await second.request('r2', path, 'POST'))[0] == 200
        assert all_runs('s', first, second) == ['r1', 'r2']

    play(scenario, Instance('a'), Instance('b'))


def test_older_build_forwards_to_a_home_that_does_not_dispatch_the_service():
    """It knows no shared services."""

    async def scenario(first, second, older):
        older.table.apply(homes_of(first, second, shared=()))
        older.own = replace(older.own, failure_domain='b')
        assert older.role.forwarding_address('s') == second.own.callers
        assert (await older.request('r1', '/once/x', 'POST'))[0] == 200
        assert all_runs('s', first, second, older) == ['r1']

    play(scenario, Instance('a'), Instance('b'), Instance('c'))


def test_domain_home_dispatches_if_the_one_with_the_service_is_lost():
    async def scenario(first, second, third):
        first.system.listener.close()
        assert (await second.request('r1', '/once/x', 'POST'))[0] == 200
        assert all_runs('s', first, second, third) == ['r1']
        second.table.apply(homes_of(third, second))
        third.table.apply(homes_of(third, second))
        assert second.role.forwarding_address('s') == third.own.callers
        assert (await second.request('r2', '/once/x', 'POST'))[0] == 200
        assert all_runs('s', first, second, third) == ['r1', 'r2']
        assert third.dispatched_services() == {'s'}

    play(scenario, Instance('a'), Instance('b'), Instance('c'))


def test_requests_that_wait_move_to_the_home_that_dispatches_from_now_on():
    async def scenario(first, second):
        tasks = []
        for number in range(4):
            tasks.append(
                asyncio.create_task(
                    first.request(f'r{number}', '/once/x', 'POST')
                )
            )
            await asyncio.sleep(0.02)
        assert first.system.dispatcher.placers['s'].queue
        # The successor does not know which slots are taken.
        for one in (first, second):
            key = one.servers['s'].key
            second.system.catalog.apply_change(UpstreamChange(key))
        free = make_server('s-free')
        await second.system.add(free)
        for one in (second, first):
            one.table.apply(homes_of(second, first))
        assert [(await task)[0] for task in tasks] == [200] * 4
        assert all_runs('s', first, second) == ['r0', 'r1']
        assert sorted(free.runs) == ['r2', 'r3']

    play(scenario, Instance('a', 1, 0.3), Instance('b', 1, 0.3))


def test_shared_services_do_not_overflow():
    """The other homes have no upstreams that this one does not use itself."""

    async def scenario(first, second):
        tasks = [
            asyncio.create_task(first.request(f'r{number}'))
            for number in range(4)
        ]
        assert [(await task)[0] for task in tasks] == [200] * 4
        assert not second.dispatched_services()
        events = [event for event, _ in first.system.log_lines]
        assert 'request_overflowed' not in events

    play(scenario, Instance('a', 1, 0.2), Instance('b', 1, 0.2))
