"""Guards against members that left and stay candidates of elections."""

import asyncio
from datetime import timedelta
from math import ceil

import pytest

from crocusproxy.clock import ManualClock
from crocusproxy.membership.departures import (
    ABSENCE_LIMIT,
    MAX_QUERIED,
    SECOND_QUERY_DELAY,
    DepartureWatch,
)
from crocusproxy.membership.election_pace import lead_delay
from crocusproxy.membership.member_list import MemberList
from crocusproxy.protocol.home_feed import Departure, Member, MemberView

from .test_home_elector import run_scenario, wait_until

CHECK_INTERVAL = timedelta(seconds=1)


def make_member(name, capacity=1.0):
    return Member(name, 'd', '', '', capacity, 1)


class Home:
    """A watch whose checks follow one another each second."""

    def __init__(self, *members):
        self.clock = ManualClock()
        self.members = MemberList(make_member('home'))
        self.members.merge(members)
        self.alive = {member.name for member in members}
        self.queries = 0
        self.most_queries = 0
        self.published = []
        self.watch = DepartureWatch(
            self.members, self.clock, self.query, self.published.append
        )

    async def query(self, member):
        self.queries += 1
        if member.name not in self.alive:
            return None
        return MemberView(member, 'attached')

    def run(self, seconds, followers=()):
        for _ in range(seconds):
            self.clock.advance(CHECK_INTERVAL)
            before = self.queries
            asyncio.run(self.watch.check(followers))
            self.most_queries = max(self.most_queries, self.queries - before)

    def names(self):
        return {member.name for member in self.members.others()}


@pytest.mark.parametrize('count', [30, 300, 3000])
def test_departed_members_are_forgotten_in_a_bounded_time(count):
    """An election waited 3 s for those with a better rank."""
    departed = [make_member(f'm{number}', 2.0) for number in range(count)]
    last = make_member('last')
    home = Home(*departed, last)
    home.alive = {'last'}
    own = home.members.own
    assert lead_delay(own, home.members.others()) >= timedelta(seconds=3)
    waits = ABSENCE_LIMIT + SECOND_QUERY_DELAY
    rounds = ceil(2 * count / MAX_QUERIED)
    home.run(waits // CHECK_INTERVAL + rounds + 2, followers={'last'})
    assert home.names() == {'last'}
    assert home.most_queries <= MAX_QUERIED
    assert not lead_delay(own, home.members.others())
    told = {one.name for message in home.published for one in message.departed}
    assert told == {member.name for member in departed}
    queries = home.queries
    home.run(60, followers={'last'})
    assert home.queries == queries


def test_followers_of_domain_homes_are_kept():
    """The home has no feed to them."""
    members = [make_member(f'm{number}') for number in range(40)]
    home = Home(*members)
    home.run(100, followers={'m1'})
    assert home.names() == {member.name for member in members}
    assert home.queries <= 40 * 100 / 30


def test_one_lost_query_does_not_end_a_membership():
    home = Home(make_member('a'))
    home.alive = set()
    home.run(31)
    assert home.queries == 1
    home.alive = {'a'}
    home.run(120)
    assert home.names() == {'a'}


def test_absence_begins_anew_after_a_member_was_followed_again():
    home = Home(make_member('a'))
    home.alive = set()
    home.run(25)
    home.run(1, followers={'a'})
    home.run(25)
    assert home.names() == {'a'}
    home.run(15)
    assert not home.names()


def test_leaving_member_is_forgotten_by_all_at_once():
    """Elections waited for it until its process was found to be gone."""

    async def scenario(nodes):
        await wait_until(lambda: all(one.home == 'a' for one in nodes))
        leaving = nodes[2]
        leaving.elector.leave()
        await leaving.elector.announce_departure()
        await wait_until(
            lambda: all(
                'c' not in one.elector.member_list.members for one in nodes[:2]
            ),
            seconds=2,
        )
        assert 'c' in leaving.elector.member_list.members
        departed = nodes[1].elector.member_list.departures()
        assert departed == (Departure('c', 1, is_final=True),)

    run_scenario(scenario)


def test_home_that_leaves_is_forgotten_by_its_successor():
    async def scenario(nodes):
        await wait_until(lambda: all(one.home == 'a' for one in nodes))
        nodes[0].elector.leave()
        await nodes[0].elector.announce_departure()
        await wait_until(
            lambda: all(
                'a' not in one.elector.member_list.members for one in nodes[1:]
            )
        )
        assert {one.home for one in nodes[1:]} == {'b'}

    run_scenario(scenario)


def test_home_finds_a_rival_that_it_had_forgotten():
    """After a long partition, both homes would have stayed."""

    async def scenario(nodes):
        await wait_until(lambda: all(one.home == 'a' for one in nodes))
        home, rival = nodes[0].elector, nodes[2].elector
        nodes[2].task.cancel()
        await wait_until(lambda: 'c' not in home.server.followers)
        home.departures.depart([Departure('c', 1)])
        rival.is_home = True
        rival.epoch = home.epoch + 1
        rival.home = rival.member_list.own
        await wait_until(lambda: not home.is_home)

    run_scenario(scenario)
