"""Guards against a new home that ignores what upstreams have stated."""

import asyncio
from datetime import timedelta

from aiohttp import ClientSession, web
from aiohttp.test_utils import TestServer

from crocusproxy.clock import ManualClock
from crocusproxy.membership.catalog import Catalog
from crocusproxy.membership.home_elector import HomeElector
from crocusproxy.membership.member_client import MemberClient
from crocusproxy.membership.member_list import MemberList
from crocusproxy.membership.terms_exchange import TermsExchange
from crocusproxy.protocol.codec import decode, encode
from crocusproxy.protocol.home_feed import FeedMessage, Member, StatedTerms


class TermsMember:
    """A member whose feed messages are delivered by the test."""

    def __init__(self, name, session):
        own = Member(name, name, '', name, 1.0, 1)
        client = MemberClient(session)
        catalog = Catalog()
        self.table = catalog.terms
        self.elector = HomeElector(
            client,
            catalog,
            MemberList(own),
            ManualClock(),
            lambda: None,
            lambda: None,
        )
        self.exchange = TermsExchange(client, self.elector, self.table)

    def state(self, key='i-1', started_at=1, rate=None, leaving=False):
        """Record terms as if an upstream had stated them to this member."""
        terms = self.table.terms_of(key, started_at)
        terms.apply_rate_limit(rate, 0)
        terms.is_leaving = terms.is_leaving or leaving
        self.table.report_change(key)

    def known(self, key='i-1', started_at=1):
        terms = self.table.terms_of(key, started_at)
        return terms.rate_limit, terms.is_leaving


def run_with_home(scenario):
    async def run():
        async with ClientSession() as session:
            home, *followers = (TermsMember(name, session) for name in 'abc')
            application = web.Application()
            application.add_routes(home.exchange.routes())
            server = TestServer(application)
            await server.start_server()
            internal = f'{server.host}:{server.port}'
            home.elector.is_home = True
            for follower in followers:
                follower.elector.home = Member('a', 'a', internal, '', 1.0, 1)
            published = []

            def deliver(message):
                published.append(message)
                for follower in followers:
                    follower.elector._apply_message(message)

            home.elector.server.publish = deliver
            await scenario(home, *followers, published)
            await server.close()

    asyncio.run(run())


def test_terms_that_the_home_was_told_reach_all_followers():
    async def scenario(home, first, second, published):
        home.state(rate=2)
        home.state(leaving=True, key='i-2')
        await asyncio.sleep(0.2)
        assert len(published) == 1
        assert first.known() == second.known() == (2, False)
        assert first.known('i-2') == (None, True)

    run_with_home(scenario)


def test_terms_that_a_domain_home_was_told_reach_the_others():
    async def scenario(home, first, second, published):
        first.state(rate=2)
        await asyncio.sleep(0.4)
        assert home.known() == second.known() == (2, False)
        # The feed's copy is no change for the first member.
        assert len(published) == 1

    run_with_home(scenario)


def test_end_of_a_limit_is_distributed_but_a_leaving_does_not_end():
    async def scenario(home, first, second, published):
        home.state(rate=2, leaving=True)
        await asyncio.sleep(0.2)
        home.state(rate=None)
        await asyncio.sleep(0.2)
        assert second.known() == (None, True)
        second.table.apply((StatedTerms('i-1', 1),), 0)
        assert second.known() == (None, True)

    run_with_home(scenario)


def test_terms_of_an_earlier_start_do_not_bind_the_present_one():
    """The upstream would never be used again."""

    async def scenario(home, first, second, published):
        first.known(started_at=2)
        first.table.apply((StatedTerms('i-1', 1, 2, leaving=True),), 0)
        assert first.known(started_at=2) == (None, False)

    run_with_home(scenario)


def test_new_follower_gets_the_terms_with_the_full_state():
    """After a restart, an instance used an upstream that had left."""

    async def scenario(home, first, second, published):
        before = home.elector.server.full_state()
        assert not before.terms
        home.state(leaving=True)
        assert home.elector.server.full_state().terms == (
            StatedTerms('i-1', 1, None, leaving=True),
        )

    run_with_home(scenario)


def test_warm_up_that_a_domain_home_was_told_reaches_the_others():
    """The next domain home would begin at the full rate."""

    async def scenario(home, first, second, published):
        for member in (home, first, second):
            member.table.terms_of('i-1', 1).warm_up.rate = 2
        assert first.table.terms_of('i-1', 1).warm_up.apply_stated(9, 0)
        first.table.report_change('i-1', 0)
        await asyncio.sleep(0.4)
        for member in (home, second):
            warm_up = member.table.terms_of('i-1', 1).warm_up
            assert 8 < warm_up.stated_until <= 9
        assert len(published) == 1

    run_with_home(scenario)


def test_terms_without_the_warm_up_are_those_of_an_older_build():
    """Instances of both builds run side by side during a replacement."""
    stated = StatedTerms('i-1', 1, 2, warm_up=timedelta(seconds=9))
    older = encode(stated).replace(b'"warm_up"', b'"of_a_later_build"')
    assert decode(StatedTerms, older) == StatedTerms('i-1', 1, 2)
    assert decode(StatedTerms, b'{"key":"i-1","started_at":1}') == StatedTerms(
        'i-1', 1
    )


def test_malformed_terms_are_refused():
    async def scenario(home, first, second, published):
        message = FeedMessage(terms=(StatedTerms('i-1', 1, 2),))
        address = first.elector.home.internal
        await first.exchange.client.report_terms(address, message)
        assert home.known() == (2, False)
        await first.exchange.client._call(
            'POST', address, '/members/terms', b'{"terms": 1}'
        )
        assert home.known() == (2, False)

    run_with_home(scenario)
