"""Guards against domain homes that don't learn of each other's tokens."""

import asyncio
from random import Random

from aiohttp import ClientSession, web
from aiohttp.test_utils import TestServer

from crocusproxy.clock import SystemClock
from crocusproxy.limits.account_quota import (
    AccountQuotas,
    QuotaBounds,
)
from crocusproxy.limits.quota_division import (
    PartOfQuota,
    SharedQuota,
    SplitQuota,
    WholeQuota,
)
from crocusproxy.membership.member_client import MemberClient
from crocusproxy.membership.member_list import MemberList
from crocusproxy.membership.quota_exchange import QuotaExchange
from crocusproxy.protocol.home_feed import Member
from crocusproxy.routes.model import ClientAccount

ACCOUNT = ClientAccount('a', (), None, rate=0.001, burst=10)


class ExchangingMember:
    """A member with the route of the exchange on its internal port.

    Without ``has_route``, it is of a build before quotas.
    """

    async def start(self, name, session, has_route):
        application = web.Application()
        self.server = TestServer(application)
        # With this slack, a home starts with the whole burst.
        self.quotas = AccountQuotas(QuotaBounds(5, 0.1, 100), Random(1))
        self.quotas.apply_accounts([ACCOUNT], 0)
        member_list = MemberList(Member(name, name, '', '', 1.0, 1))
        self.exchange = QuotaExchange(
            MemberClient(session), member_list, self.quotas, SystemClock()
        )
        if has_route:
            application.add_routes(self.exchange.routes())
        await self.server.start_server()
        address = f'{self.server.host}:{self.server.port}'
        self.member = Member(name, name, address, '', 1.0, 1)
        return self

    def take(self, count):
        now = self.exchange.clock.monotonic().total_seconds()
        for _ in range(count):
            self.quotas.charge(ACCOUNT, now)

    def tokens(self):
        return round(self.quotas.buckets['a'].tokens)


def run_with_members(scenario, *, has_route=True):
    """Run ``scenario`` with two members, the second one with ``has_route``."""

    async def run():
        async with ClientSession() as session:
            members = [
                await ExchangingMember().start('a', session, True),
                await ExchangingMember().start('b', session, has_route),
            ]
            tasks = [asyncio.create_task(one.exchange.run()) for one in members]
            for one in members:
                others = tuple(
                    other.member for other in members if other is not one
                )
                one.exchange.set_role(is_dispatcher=True, others=others)
            await scenario(*members)
            for task in tasks:
                task.cancel()
            for one in members:
                await one.server.close()

    asyncio.run(run())


def test_domain_homes_subtract_the_tokens_of_each_other():
    async def scenario(first, second):
        first.take(3)
        second.take(4)
        await asyncio.sleep(0.4)
        assert first.tokens() == second.tokens() == 3
        assert first.exchange.reports.unreported('a') == 0
        assert first.quotas.division == SharedQuota(2)

    run_with_members(scenario)


def test_quotas_are_split_while_a_domain_home_is_silent():
    async def scenario(first, second):
        await second.server.close()
        await asyncio.sleep(0.8)
        assert first.quotas.division == SplitQuota(2)

    run_with_members(scenario)


def test_domain_home_of_a_build_without_quotas_does_not_split_them():
    """Requests within a quota would be rejected during an upgrade."""

    async def scenario(first, second):
        first.take(3)
        await asyncio.sleep(0.8)
        assert first.quotas.division == WholeQuota()
        assert first.exchange.reports.unreported('a') == 0
        assert not first.exchange.reports.has_lost_peer(1e9)
        # It is replaced by a build that reports.
        second.exchange.reports.update_peers((first.member,), 0)
        report = second.exchange.reports.report_to('a', 0)
        now = first.exchange.clock.monotonic().total_seconds()
        first.exchange.reports.receive(report, now)
        first.exchange.update_division()
        assert first.quotas.division == SharedQuota(2)

    run_with_members(scenario, has_route=False)


def test_only_home_has_the_whole_quota_and_other_instances_a_part():
    async def scenario(first, second):
        first.exchange.set_role(is_dispatcher=True, others=())
        assert first.quotas.division == WholeQuota()
        first.exchange.member_list.merge([second.member])
        first.exchange.set_role(is_dispatcher=False, others=())
        assert first.quotas.division == PartOfQuota(2)

    run_with_members(scenario)


def test_instances_get_new_parts_after_the_loss_of_another_home():
    """Parts that grew while there was a home came on top of its requests."""

    async def scenario(first, second):
        homes = ['h1']
        exchange = first.exchange
        exchange.find_homes = lambda: homes[0]
        exchange.set_role(is_dispatcher=False, others=())
        generation = first.quotas.division.generation
        exchange.update_division()
        assert first.quotas.division.generation == generation
        homes[0] = 'h2'
        await asyncio.sleep(0.3)
        assert first.quotas.division.generation == generation + 1

    run_with_members(scenario)


def test_malformed_report_is_refused():
    async def scenario(first, second):
        client = first.exchange.client
        address = second.member.internal
        body = await client._call('POST', address, '/members/quota', b'{}')
        assert b'sender' in body

    run_with_members(scenario)


def test_nothing_is_reported_while_no_account_has_a_quota():
    """Reports took more bytes between failure domains than all requests."""

    async def scenario(first, second):
        for one in (first, second):
            one.quotas.apply_accounts([], 0)
        sequence = first.exchange.reports.peers['b'].sequence
        await asyncio.sleep(0.8)
        assert first.exchange.reports.peers['b'].sequence == sequence
        for one in (first, second):
            one.quotas.apply_accounts([ACCOUNT], 0)
            one.exchange.update_division()
        assert first.quotas.division == SharedQuota(2)
        await asyncio.sleep(0.4)
        assert first.exchange.reports.peers['b'].sequence > sequence

    run_with_members(scenario)
