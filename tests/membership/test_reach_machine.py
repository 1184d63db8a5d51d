"""Drives members that lose and regain their upstreams, in any order.

Guards against a dispatcher without upstreams while another member has them,
members that disagree on who dispatches, and dispatchers that change although
nothing else does.
"""

import asyncio

import pytest
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    precondition,
    rule,
)

from crocusproxy.membership.domain_split import MIN_SLOTS_TO_SPLIT
from crocusproxy.protocol.home_feed import DomainHome
from standins.virtual_time import VirtualLoop

from .network import Network, make_upstreams, play

FAILURE_DOMAINS = {'a': 'a', 'b': 'a', 'c': 'a', 'd': 'b', 'e': 'b', 'f': 'b'}
#: Time in which a dispatcher without upstreams is replaced, also after a
#: change of the home.
SETTLE_SECONDS = 8
names = st.sampled_from(tuple(FAILURE_DOMAINS))


def start_members(network, failure_domains=FAILURE_DOMAINS):
    nodes = [
        network.add(name, failure_domain)
        for name, failure_domain in failure_domains.items()
    ]
    for node in nodes:
        node.start()
    members = [node.elector.member_list.own for node in nodes]
    for node in nodes:
        node.elector.member_list.merge(members)


def find_dispatchers(network):
    """Return the names of the members that dispatch, as the home sees it."""
    (home,) = [node for node in network.running() if node.elector.is_home]
    homes = home.domain_homes.assignment.homes
    return {one.member.name for one in homes} or {home.name}


class ReachMachine(RuleBasedStateMachine):
    """Six members in two failure domains."""

    def __init__(self):
        super().__init__()
        self.loop = VirtualLoop()
        self.network = Network(self.loop)

    @initialize(slots=st.sampled_from((2, MIN_SLOTS_TO_SPLIT)))
    def start_all(self, slots):
        self.network.upstreams = make_upstreams('ab', slots)
        start_members(self.network)
        self.run(3)

    def run(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))

    @rule(seconds=st.sampled_from((0.01, 0.2, 0.5, 1, 3)))
    def pass_time(self, seconds):
        self.run(seconds)

    @rule(lost_names=st.sets(names, min_size=1))
    def lose_upstreams(self, lost_names):
        for name in lost_names:
            self.network.lose_upstreams(name)

    @rule(failure_domain=st.sampled_from('ab'))
    def lose_upstreams_of_a_domain(self, failure_domain):
        for name, domain in FAILURE_DOMAINS.items():
            if domain == failure_domain:
                self.network.lose_upstreams(name)

    @rule(name=names)
    def regain_upstreams(self, name):
        self.network.lost_upstreams.pop(name, None)

    @rule()
    def replace_upstreams(self):
        async def replace():
            self.network.replace_upstreams()

        self.loop.run_until_complete(replace())

    @precondition(lambda self: len(self.network.running()) > 1)
    @rule(name=names)
    def kill(self, name):
        node = self.network.nodes[name]
        if node.task is not None:
            node.kill()
            self.run(0)

    @rule(name=names)
    def restart(self, name):
        node = self.network.nodes[name]
        if node.task is None:
            node.start(
                [
                    other.elector.member_list.own
                    for other in self.network.nodes.values()
                ]
            )

    @rule(one=names, other=names)
    def cut(self, one, other):
        if one != other:
            self.network.cuts.add(frozenset((one, other)))

    @rule()
    def heal(self):
        self.network.cuts.clear()

    def teardown(self):
        try:
            self.network.cuts.clear()
            self.run(SETTLE_SECONDS)
            self.check_dispatchers()
        finally:
            for node in self.network.running():
                node.kill()
            self.run(1)
            self.loop.run_until_complete(self.loop.shutdown_asyncgens())
            self.loop.close()

    def check_dispatchers(self):
        running = self.network.running()
        if not running:
            return
        dispatchers = find_dispatchers(self.network)
        able = {node.name for node in running if node.reached}
        if able:
            assert dispatchers <= able
        assignments = {node.domain_homes.assignment for node in running}
        assert len(assignments) == 1
        self.run(3)
        assert find_dispatchers(self.network) == dispatchers


ReachMachine.TestCase.settings = settings(
    max_examples=150, stateful_step_count=20, deadline=None
)
TestReachMachine = ReachMachine.TestCase


def run_scenario(scenario, slots=2, failure_domains=FAILURE_DOMAINS):
    loop = VirtualLoop()
    network = Network(loop)
    network.upstreams = make_upstreams('ab', slots)
    start_members(network, failure_domains)

    play(network, scenario)


def test_another_member_dispatches_for_a_home_without_upstreams():
    async def scenario(network):
        for name in 'abd':
            network.lose_upstreams(name)
        await asyncio.sleep(1)
        assert find_dispatchers(network) == {'c'}

    run_scenario(scenario)


def test_nobody_takes_over_if_all_have_lost_the_upstreams():
    """A loss of all upstreams is no reason to move callers."""

    async def scenario(network):
        for name in FAILURE_DOMAINS:
            network.lose_upstreams(name)
        await asyncio.sleep(3)
        assert find_dispatchers(network) == {'a'}

    run_scenario(scenario)


def test_home_that_regains_its_upstreams_does_not_move_callers_again():
    async def scenario(network):
        network.lose_upstreams('a')
        await asyncio.sleep(1)
        (successor,) = find_dispatchers(network)
        network.lost_upstreams.clear()
        await asyncio.sleep(6)
        assert find_dispatchers(network) == {successor}

    run_scenario(scenario)


def test_home_dispatches_again_if_its_successor_loses_the_upstreams():
    async def scenario(network):
        network.lose_upstreams('a')
        await asyncio.sleep(1)
        (successor,) = find_dispatchers(network)
        network.lost_upstreams.clear()
        await asyncio.sleep(3)
        for name in FAILURE_DOMAINS.keys() - {'a'}:
            network.lose_upstreams(name)
        await asyncio.sleep(1)
        assert successor != 'a'
        assert find_dispatchers(network) == {'a'}

    run_scenario(scenario)


@pytest.mark.parametrize('lost', ['d', 'de'])
def test_domain_home_without_upstreams_is_replaced_in_its_domain(lost):
    async def scenario(network):
        for name in lost:
            network.lose_upstreams(name)
        await asyncio.sleep(1)
        dispatchers = find_dispatchers(network)
        assert not dispatchers.intersection(lost)
        assert dispatchers.intersection('def')

    run_scenario(scenario, MIN_SLOTS_TO_SPLIT)


def test_domain_homes_that_lose_the_upstreams_at_once_are_replaced_at_once():
    """One comparison after the other would take longer than callers wait."""

    async def scenario(network):
        for name in 'abde':
            network.lose_upstreams(name)
        await asyncio.sleep(0.5)
        assert find_dispatchers(network) == {'c', 'f'}

    run_scenario(scenario, MIN_SLOTS_TO_SPLIT)


def test_member_without_upstreams_is_not_appointed_among_many():
    """After some attempts, the next one by rank was appointed untried."""
    failure_domains = {'a0': 'a', 'a1': 'a'} | {
        f'b{number:02}': 'b' for number in range(30)
    }
    lost = {name for name in failure_domains if 'b00' <= name < 'b25'}

    async def scenario(network):
        appointed = set()
        for node in network.running():
            node.domain_homes.on_change.append(
                lambda assignment: appointed.update(
                    home.member.name for home in assignment.homes
                )
            )
        for name in lost:
            network.lose_upstreams(name)
        await asyncio.sleep(3)
        assert not appointed & lost
        assert find_dispatchers(network).isdisjoint(lost)

    run_scenario(scenario, MIN_SLOTS_TO_SPLIT, failure_domains)


def test_domain_without_upstreams_is_served_by_another_one_until_it_heals():
    async def scenario(network):
        for name in 'def':
            network.lose_upstreams(name)
        await asyncio.sleep(1.5)
        assert not find_dispatchers(network).intersection('def')
        network.lost_upstreams.clear()
        await asyncio.sleep(6)
        assert find_dispatchers(network).intersection('def')

    run_scenario(scenario, MIN_SLOTS_TO_SPLIT)


def test_member_that_lost_a_part_of_the_upstreams_is_replaced():
    """The others reach that part, and would leave its slots unused."""

    async def scenario(network):
        network.lose_upstreams('a', {'i-a'})
        await asyncio.sleep(1)
        assert 'a' not in find_dispatchers(network)

    run_scenario(scenario)


def test_member_that_reaches_the_successors_of_lost_upstreams_may_dispatch():
    """The upstreams that it could not reach can't be tried any more."""

    async def scenario(network):
        network.lose_upstreams('a')
        network.lose_upstreams('b')
        await asyncio.sleep(1)
        network.replace_upstreams()
        network.lost_upstreams.clear()
        await asyncio.sleep(2)
        for name in FAILURE_DOMAINS.keys() - {'b'}:
            network.lose_upstreams(name)
        await asyncio.sleep(1)
        assert find_dispatchers(network) == {'b'}

    run_scenario(scenario)


def test_successor_in_one_domain_serves_callers_of_all_domains():
    async def scenario(network):
        for name in FAILURE_DOMAINS.keys() - {'e'}:
            network.lose_upstreams(name)
        await asyncio.sleep(2)
        (home,) = [node for node in network.running() if node.elector.is_home]
        member = network.nodes['e'].elector.member_list.own
        assert home.domain_homes.assignment.homes == (
            DomainHome('a', member),
            DomainHome('b', member),
        )

    run_scenario(scenario)
