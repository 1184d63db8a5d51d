"""Guards against a search for upstreams that leaves out some members.

The home compared a member that was cut off with the same eight others again and
again, so no instance served requests if these were cut off too.
"""

import asyncio
import math
from collections import Counter
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from crocusproxy.membership.domain_home_planner import CHECK_INTERVAL_SECONDS
from crocusproxy.membership.domain_split import MIN_SLOTS_TO_SPLIT
from crocusproxy.membership.member_client import REQUEST_TIMEOUT_SECONDS
from crocusproxy.membership.reach_judge import ReachJudge
from crocusproxy.protocol.home_feed import Member
from standins.virtual_time import LoopClock, VirtualLoop

from .test_reach_machine import find_dispatchers, run_scenario

#: Attempts of a member that is cut off time out after this time.
CONNECT_SECONDS = 0.2
MAX_MEMBERS = 312
#: On a site with domain homes, the others follow these.
MAX_FOLLOWERS = 28
KEYS = tuple(f'i-{number}' for number in range(40))


def make_members(count):
    return [
        Member(f'm{number:03}', 'abc'[number % 3], '', '', 1.0, 1)
        for number in range(count)
    ]


def seconds_limit(count):
    return 1 if count <= 15 else 2


class Site:
    """Members of which only ``able`` ones reach upstreams, and some hang.

    Attempts that begin at ``recovers_at`` or later reach all upstreams.
    """

    def __init__(self, count, able=(), hanging=(), recovers_at=math.inf):
        self.members = make_members(count)
        self.able = able
        self.hanging = hanging
        self.recovers_at = recovers_at
        self.queries = []
        self.loop = VirtualLoop()
        self.judge = ReachJudge(
            self.ask, lambda: KEYS, LoopClock(self.loop), Random(count)
        )

    async def ask(self, member, keys):
        self.queries.append((self.loop.time(), member.name))
        is_able = member.name in self.able
        if is_able or self.loop.time() >= self.recovers_at:
            await asyncio.sleep(0.01)
            return frozenset(keys)
        if member.name in self.hanging:
            await asyncio.sleep(REQUEST_TIMEOUT_SECONDS)
            return None
        await asyncio.sleep(CONNECT_SECONDS)
        return frozenset()

    def run(self, seconds, suspects=1):
        """Check the first members as the planner does, until all are marked."""
        suspected = self.members[:suspects]

        async def check_repeatedly():
            while self.loop.time() < seconds:
                await asyncio.sleep(CHECK_INTERVAL_SECONDS)
                await self.judge.compare_all(
                    dict.fromkeys(suspected, KEYS),
                    self.members[:MAX_FOLLOWERS],
                    self.members,
                )
                if all(one.name in self.judge.cut_off for one in suspected):
                    return True
            return False

        try:
            return self.loop.run_until_complete(check_repeatedly())
        finally:
            self.loop.run_until_complete(asyncio.sleep(1))
            self.loop.close()


@given(
    count=st.one_of(st.integers(3, 15), st.integers(16, MAX_MEMBERS)),
    seed=st.integers(0, 99),
    able_count=st.integers(1, 3),
    hang_share=st.sampled_from((0, 0.1, 0.9)),
)
@settings(max_examples=60)
def test_member_that_reaches_upstreams_is_found_in_time(
    count, seed, able_count, hang_share
):
    names = [member.name for member in make_members(count)][1:]
    random = Random(seed)
    able = set(random.sample(names, min(able_count, len(names))))
    hanging = {name for name in names if random.random() < hang_share}
    site = Site(count, able, hanging - able)
    assert site.run(seconds_limit(count))
    assert site.loop.time() - 1 <= seconds_limit(count)
    assert able & site.judge.proven()


@given(count=st.integers(3, MAX_MEMBERS), recovers_at=st.floats(0, 2))
@settings(max_examples=60)
def test_upstreams_that_recover_during_a_search_show_nobody_as_cut_off(
    count, recovers_at
):
    """Later attempts of others were compared with an earlier one."""
    site = Site(count, recovers_at=recovers_at)
    site.run(2.5)
    assert not site.judge.cut_off


@pytest.mark.parametrize('count', [3, 15, 100, MAX_MEMBERS])
def test_each_other_member_is_asked_once_before_any_is_asked_again(count):
    """The suspect itself tries again in each round, for the comparison."""
    site = Site(count)
    site.run(2)
    suspect, *others = (member.name for member in site.members)
    asked = [name for _, name in site.queries if name != suspect]
    assert Counter(asked[: len(others)]) == Counter(others)
    rounds = {time for time, _ in site.queries}
    assert Counter(
        time for time, name in site.queries if name == suspect
    ) == Counter(rounds)


def test_queries_of_a_round_are_few_and_start_with_few():
    """A home that sends hundreds of queries at once responds to nobody."""
    site = Site(MAX_MEMBERS)
    site.run(2)
    rounds = Counter(time for time, _ in site.queries)
    assert next(iter(rounds.values())) <= 9
    assert max(rounds.values()) <= 97


def test_several_suspects_share_what_was_found_and_the_queries_of_a_round():
    able = {f'm{number:03}' for number in (300, 301, 302)}
    site = Site(MAX_MEMBERS, able)
    assert site.run(2.5, suspects=7)
    assert max(Counter(time for time, _ in site.queries).values()) <= 7 * 9 + 96


@pytest.mark.parametrize('slots', [2, MIN_SLOTS_TO_SPLIT])
@pytest.mark.parametrize('able', ['m07', 'm12', 'm14'])
def test_one_of_fifteen_dispatches_within_a_second(slots, able):
    domains = {f'm{number:02}': 'ab'[number % 2] for number in range(15)}

    async def scenario(network):
        network.connect_seconds = CONNECT_SECONDS
        for name in domains.keys() - {able}:
            network.lose_upstreams(name)
        await asyncio.sleep(1)
        assert find_dispatchers(network) == {able}

    run_scenario(scenario, slots, domains)


@pytest.mark.parametrize('slots', [2, MIN_SLOTS_TO_SPLIT])
def test_one_of_312_dispatches_within_two_seconds(slots):
    """With domain homes, most members follow these and not the home."""
    domains = {f'm{n:03}': 'ab'[n % 2] for n in range(MAX_MEMBERS)}

    async def scenario(network):
        network.connect_seconds = CONNECT_SECONDS
        for name in domains.keys() - {'m301'}:
            network.lose_upstreams(name)
        await asyncio.sleep(2)
        assert find_dispatchers(network) == {'m301'}

    run_scenario(scenario, slots, domains)


@pytest.mark.parametrize('slots', [2, MIN_SLOTS_TO_SPLIT])
def test_frozen_members_of_best_rank_do_not_keep_others_from_dispatching(slots):
    """The same four were queried in each check, and the planner failed."""
    domains = {f'm{number:02}': 'ab'[number % 2] for number in range(15)}

    async def scenario(network):
        before = find_dispatchers(network)
        network.frozen.update(domains.keys() - {'m00', 'm14'} - before)
        network.connect_seconds = CONNECT_SECONDS
        for name in {'m00', *before}:
            network.lose_upstreams(name)
        await asyncio.sleep(2)
        assert find_dispatchers(network) == {'m14'}

    run_scenario(scenario, slots, domains)


def test_no_able_candidate_is_left_out_while_the_best_ones_are_frozen():
    """The planner failed in each check, as no member was left to appoint."""
    domains = {f'm{number:02}': 'a' for number in range(15)}

    async def scenario(network):
        network.lose_upstreams('m00')
        await asyncio.sleep(1)
        (successor,) = find_dispatchers(network)
        network.frozen.update(domains.keys() - {'m00', 'm14'})
        await asyncio.sleep(5)
        assert successor != 'm14'
        assert find_dispatchers(network) == {'m14'}

    run_scenario(scenario, failure_domains=domains)
