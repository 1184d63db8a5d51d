"""Guards against a request that crashes upstreams of each domain home."""

import asyncio
from unittest.mock import Mock

from aiohttp import ClientSession, web
from aiohttp.test_utils import TestServer

from crocusproxy.clock import ManualClock
from crocusproxy.entry.crash_watch import CrashWatch
from crocusproxy.membership.catalog import Catalog
from crocusproxy.membership.crash_exchange import CrashExchange
from crocusproxy.membership.domain_homes import DomainHomeTable
from crocusproxy.membership.home_elector import HomeElector
from crocusproxy.membership.member_client import MemberClient
from crocusproxy.membership.member_list import MemberList
from crocusproxy.placement.upstream_reach import UpstreamReach
from crocusproxy.protocol.home_feed import (
    CrashReport,
    DomainHome,
    DomainHomes,
    FeedMessage,
    Member,
)

FINGERPRINT = 'f' * 64


class DomainHomeMember:
    """A member whose feed messages are delivered by the test."""

    def __init__(self, name, session):
        own = Member(name, name, '', name, 1.0, 1)
        client = MemberClient(session)
        table = DomainHomeTable()
        table.apply(DomainHomes((DomainHome(name, own),)))
        clock = ManualClock()
        self.watch = CrashWatch(clock, UpstreamReach(clock))
        self.elector = HomeElector(
            client,
            Catalog(),
            MemberList(own),
            ManualClock(),
            lambda: None,
            lambda: None,
            table,
        )
        self.exchange = CrashExchange(
            client, self.elector, self.watch.apply_report
        )
        self.watch.send_report = self.exchange.send

    def is_refused(self):
        return FINGERPRINT in self.watch.tracker.confirmed_until


def run_with_home(scenario):
    """Run ``scenario`` with a home and two domain homes that follow it."""

    async def run():
        async with ClientSession() as session:
            home, *followers = (
                DomainHomeMember(name, session) for name in 'abc'
            )
            application = web.Application()
            application.add_routes(home.exchange.routes())
            server = TestServer(application)
            await server.start_server()
            internal = f'{server.host}:{server.port}'
            home.elector.is_home = True
            for follower in followers:
                follower.elector.home = Member('a', 'a', internal, '', 1.0, 1)

            def deliver(message):
                for follower in followers:
                    follower.elector._apply_message(message)

            home.elector.server.publish = deliver
            await scenario(home, *followers)
            await server.close()

    asyncio.run(run())


async def report(member, upstream):
    crash = CrashReport(upstream, (FINGERPRINT,))
    member.watch.apply_report(crash)
    member.exchange.send(crash)
    await asyncio.gather(*member.exchange.tasks)


def test_crashes_at_two_domain_homes_confirm_a_request_everywhere():
    async def scenario(home, first, second):
        await report(first, '10.0.0.1:80')
        assert not second.is_refused()
        await report(second, '10.0.0.2:80')
        assert all(member.is_refused() for member in (home, first, second))

    run_with_home(scenario)


def test_report_that_comes_back_confirms_nothing():
    """The feed delivers a report to its sender too."""

    async def scenario(home, first, second):
        await report(first, '10.0.0.1:80')
        assert not first.is_refused()

    run_with_home(scenario)


def test_answered_request_is_cleared_everywhere():
    """Other domain homes would refuse a popular request that is harmless."""

    async def scenario(home, first, second):
        await report(home, '10.0.0.1:80')
        await report(first, '10.0.0.2:80')
        cleared = CrashReport('', (FINGERPRINT,), cleared=True)
        second.exchange.send(cleared)
        await asyncio.gather(*second.exchange.tasks)
        assert not home.is_refused()
        assert not first.is_refused()

    run_with_home(scenario)


def test_unreachable_home_costs_no_report_of_its_own():
    async def scenario(home, first, second):
        first.elector.home = Member('a', 'a', '127.0.0.1:1', '', 1.0, 1)
        await report(first, '10.0.0.1:80')
        await report(first, '10.0.0.2:80')
        assert first.is_refused()

    run_with_home(scenario)


def test_site_with_one_home_sends_no_reports():
    async def scenario(home, first, second):
        first.elector.domain_homes.apply(DomainHomes())
        first.exchange.client.report_crash = Mock()
        await report(first, '10.0.0.1:80')
        assert not first.exchange.client.report_crash.called

    run_with_home(scenario)


def test_feed_message_carries_the_reports():
    message = FeedMessage(crash_reports=(CrashReport('x', (FINGERPRINT,)),))

    async def scenario(home, first, second):
        second.elector._apply_message(message)
        assert second.watch.tracker.is_suspect(
            FINGERPRINT, second.watch.clock.monotonic()
        )

    run_with_home(scenario)


def test_crash_at_the_only_home_is_known_to_its_successor():
    """It would lose two more upstreams to the same request."""

    async def scenario(home, first, second):
        for member in (home, first, second):
            member.elector.domain_homes.apply(DomainHomes())
        await report(home, '10.0.0.1:80')
        await report(home, '10.0.0.2:80')
        assert first.is_refused()
        assert second.is_refused()

    run_with_home(scenario)
