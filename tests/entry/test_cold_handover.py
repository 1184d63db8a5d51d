"""Guards against two homes that together overload a cold upstream.

The limiter of a new home starts while the former one still dispatches: it ends
its feeds at once and notices only later that it no longer leads.
"""

import asyncio

from aiohttp import ClientSession, web
from aiohttp.test_utils import TestServer

from crocusproxy.entry.dispatch_role import DispatchRole
from crocusproxy.entry.home_forwarder import HomeForwarder
from crocusproxy.entry.settings import Bounds
from crocusproxy.membership.home_elector import HomeElector
from crocusproxy.membership.member_client import MemberClient
from crocusproxy.membership.member_list import MemberList
from crocusproxy.membership.terms_exchange import TermsExchange
from crocusproxy.protocol.home_feed import Member

from .harness import GatewaySystem, make_server
from .test_upstream_terms import send_load, start_probes
from .test_warm_up import config_with_rate, state_of

#: High compared with the slack, which would hide the rate of a second home.
RATE = 20.0
LOAD_PER_SECOND = 60
BOUNDS = Bounds(warm_up_overage=1.5, warm_up_slack=8)
COLD = 'X-Crocusproxy-Warmup-Remaining: 60000'
TURNS = 4
#: Time after a change of home in which the new one uses its limit.
TURN_SECONDS = 1.5


class DispatchingMember:
    """An instance with its ports that dispatches while it is home."""

    async def start(self, name, session, upstream):
        self.system = await GatewaySystem(BOUNDS).start(
            [], config_with_rate(RATE)
        )
        self.system.register(upstream)
        application = web.Application()
        self.internal = TestServer(application)
        own = Member(name, 'a', '', self.system.address, 1, 1)
        self.elector = HomeElector(
            MemberClient(session),
            self.system.catalog,
            MemberList(own),
            self.system.clock,
            self.update_role,
            self.update_role,
        )
        exchange = TermsExchange(
            self.elector.client, self.elector, self.system.catalog.terms
        )
        application.add_routes(self.elector.server.routes())
        application.add_routes(exchange.routes())
        await self.internal.start_server()
        address = f'{self.internal.host}:{self.internal.port}'
        self.own = Member(name, 'a', address, self.system.address, 1, 1)
        self.elector.member_list.own = self.own
        self.elector.member_list.members[name] = self.own
        self.connect_role()
        return self

    def connect_role(self):
        self.role = DispatchRole(
            self.elector.domain_homes,
            lambda: self.elector.home,
            lambda: self.own,
        )
        system = self.system
        system.gateway.request_server.forwarder = HomeForwarder(
            system.pool,
            system.messages,
            system.clock,
            self.role.forwarding_address,
            system.observer.observe_relayed,
        )
        system.dispatcher.has_successor = lambda service: bool(
            self.role.forwarding_address(service)
        )
        system.dispatcher.set_exclusive(is_exclusive=False)

    def update_role(self):
        self.system.dispatcher.assign_role(
            self.role, is_exclusive=self.role.is_dispatcher()
        )
        self.system.dispatcher.hand_over()


def most_in_a_second(times):
    return max(sum(end - 1 < time <= end for time in times) for end in times)


async def take_turns(members):
    """Let the home leave and the other one take over, several times."""
    for _ in range(TURNS):
        (home,) = (one for one in members if one.elector.is_home)
        (other,) = (one for one in members if one is not home)
        home.elector.leave()
        while not other.elector.is_home or home.elector.is_home:
            await asyncio.sleep(0.01)
        home.elector.leaving = False
        await asyncio.sleep(TURN_SECONDS)


def test_homes_that_take_turns_keep_the_rate_of_a_cold_upstream():
    times = []

    async def scenario(session):
        loop = asyncio.get_running_loop()
        upstream = await make_server(slots=50, work=0.01).start()
        upstream.terms = (COLD,)
        upstream.response_script = lambda _: times.append(loop.time())
        members = [
            await DispatchingMember().start(name, session, upstream)
            for name in ('n1', 'n2')
        ]
        tasks = [start_probes(member.system) for member in members]
        for member in members:
            member.elector.member_list.merge(one.own for one in members)
            tasks.append(asyncio.create_task(member.elector.run()))
            tasks.append(
                asyncio.create_task(member.system.dispatcher.run_queues())
            )
        while not (
            any(member.elector.is_home for member in members)
            and all(state_of(member.system).is_cold for member in members)
        ):
            await members[0].system.request('first')
            await asyncio.sleep(0.1)
        times.clear()
        load = [
            asyncio.create_task(send_load(member.system, 9, LOAD_PER_SECOND))
            for member in members
        ]
        await take_turns(members)
        statuses = [status for part in load for status in await part]
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        for member in members:
            await member.internal.close()
            await member.system.stop()
        upstream.stop()
        return statuses

    async def run():
        async with asyncio.timeout(30), ClientSession() as session:
            return await scenario(session)

    statuses = asyncio.run(run())
    allowed = BOUNDS.warm_up_overage * RATE + BOUNDS.warm_up_slack
    assert most_in_a_second(times) <= allowed
    # Each home has used the upstream during its turn.
    assert len(times) > TURNS * RATE
    assert set(statuses) == {200, 503}
