"""Drives homes and followers through faults and changes in any order.

Guards against members that stay without a home, two homes that never become
one, a return to an older configuration within one process, and domain homes
that are lost or on which the members do not agree.
"""

import asyncio

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    precondition,
    rule,
)

from crocusproxy.membership.seeds import HomeSearch
from standins.virtual_time import VirtualLoop

from .network import Network, play

NAMES = ('a', 'b', 'c', 'd')
FAILURE_DOMAINS = {'a': 'a', 'b': 'a', 'c': 'b', 'd': 'b'}
#: Time in which the members agree on a home once no link is cut.
SETTLE_SECONDS = 8
names = st.sampled_from(NAMES)


class HomeElectorMachine(RuleBasedStateMachine):
    """Four members whose processes and links fail and recover."""

    def __init__(self):
        super().__init__()
        self.loop = VirtualLoop()
        self.network = Network(self.loop)

    @initialize()
    def start_all(self):
        nodes = [
            self.network.add(name, FAILURE_DOMAINS[name]) for name in NAMES
        ]
        for node in nodes:
            node.start()
        # Each member is registered in the store.
        members = [node.elector.member_list.own for node in nodes]
        for node in nodes:
            node.elector.member_list.merge(members)
        self.run(3)

    def run(self, seconds):
        self.loop.run_until_complete(asyncio.sleep(seconds))

    @rule(seconds=st.sampled_from((0.01, 0.2, 0.5, 1, 3)))
    def pass_time(self, seconds):
        self.run(seconds)

    @precondition(lambda self: len(self.network.running()) > 1)
    @rule(name=names)
    def kill(self, name):
        node = self.network.nodes[name]
        if node.task is not None:
            node.kill()
            self.run(0)

    @rule(name=names, seeds=st.lists(names, max_size=3, unique=True))
    def restart(self, name, seeds):
        node = self.network.nodes[name]
        if node.task is None:
            known_members = [
                other.elector.member_list.own
                for other in self.network.nodes.values()
            ]
            node.start(known_members, [seed for seed in seeds if seed != name])

    @rule(name=names)
    def leave(self, name):
        node = self.network.nodes[name]
        if node.task is not None and len(self.network.running()) > 1:
            node.elector.leave()
            self.run(1)
            node.kill()

    @rule(one=names, other=names)
    def cut(self, one, other):
        if one != other:
            self.network.cuts.add(frozenset((one, other)))

    @rule(name=names)
    def isolate(self, name):
        self.network.isolate(name)

    @rule()
    def heal(self):
        self.network.cuts.clear()

    @rule()
    def publish(self):
        self.network.publish()

    @invariant()
    def versions_increase(self):
        for node in self.network.nodes.values():
            assert node.versions == sorted(set(node.versions))

    def teardown(self):
        try:
            self.network.cuts.clear()
            self.run(SETTLE_SECONDS)
            self.check_one_home()
            self.check_domain_homes()
        finally:
            for node in self.network.running():
                node.kill()
            self.run(1)
            self.loop.run_until_complete(self.loop.shutdown_asyncgens())
            self.loop.close()

    def check_one_home(self):
        running = self.network.running()
        if not running:
            return
        leading = [node.name for node in running if node.elector.is_home]
        assert len(leading) == 1
        assert {node.home for node in running} == set(leading)
        newest = [node.versions[-1:] for node in running]
        assert all(version == newest[0] for version in newest)

    def check_domain_homes(self):
        """Check that all agree on running homes that stay."""
        running = {node.name: node for node in self.network.running()}
        leaving = {
            name for name, node in running.items() if node.elector.leaving
        }
        domains = {FAILURE_DOMAINS[name] for name in running.keys() - leaving}
        expected_count = len(domains) if len(domains) > 1 else 0
        for node in running.values():
            homes = node.domain_homes.assignment.homes
            assert homes == self.home_assignment(running)
            assert len(homes) == expected_count
            for home in homes:
                assert home.member.name in running.keys() - leaving
                domain = FAILURE_DOMAINS[home.member.name]
                assert domain == home.failure_domain

    def home_assignment(self, running):
        (home,) = (node for node in running.values() if node.elector.is_home)
        return home.domain_homes.assignment.homes


HomeElectorMachine.TestCase.settings = settings(
    max_examples=200, stateful_step_count=25, deadline=None
)
TestHomeElectorMachine = HomeElectorMachine.TestCase


def run_scenario(scenario):
    """Run a scenario on a network whose members follow ``a``."""
    loop = VirtualLoop()
    network = Network(loop)
    nodes = [network.add(name) for name in NAMES]
    for node in nodes:
        node.start()
    members = [node.elector.member_list.own for node in nodes]
    for node in nodes:
        node.elector.member_list.merge(members)

    play(network, scenario)


def test_successor_takes_over_within_a_second_of_a_killed_home():
    async def scenario(network):
        network.nodes['a'].kill()
        await asyncio.sleep(1)
        assert {node.home for node in network.running()} == {'b'}

    run_scenario(scenario)


def test_restarted_member_finds_the_home_through_a_seed():
    """The store may be slow or unavailable at that time."""

    async def scenario(network):
        network.nodes['d'].kill()
        network.nodes['d'].start(seeds=('c',))
        await asyncio.sleep(0.05)
        assert network.nodes['d'].home == 'a'

    run_scenario(scenario)


def test_seed_without_a_home_does_not_suffice():
    """Members that know only each other would elect the wrong home."""

    async def scenario(network):
        for node in network.running():
            node.kill()
        first, second = network.nodes['c'], network.nodes['d']
        first.start()
        first.task.cancel()
        second.start()
        search = await second.elector.seeds.find_home(('c',))
        assert search is HomeSearch.SEARCHING

    run_scenario(scenario)


def test_seed_responds_once_it_has_a_home():
    """A start that polls its seeds would lose up to the poll interval."""

    async def scenario(network):
        for node in network.running():
            node.kill()
        seed, follower = network.nodes['c'], network.nodes['d']
        seed.start()
        follower.start()
        follower.task.cancel()
        search = await follower.elector.seeds.find_home(('c',), may_wait=True)
        assert search is HomeSearch.FOUND
        assert seed.home == 'c'

    run_scenario(scenario)


def test_seeds_do_not_wait_for_members_that_wait_for_them():
    """Both waited until the time for seeds was up, at each loss of all."""

    async def scenario(network):
        for node in network.running():
            node.kill()
        started = network.loop.time()
        # The member 'a' ranks first and asks the seed, which elects.
        joining, seed = network.nodes['a'], network.nodes['c']
        joining.start()
        joining.task.cancel()
        seed.start([joining.elector.member_list.own])
        search = await joining.elector.seeds.find_home(('c',), may_wait=True)
        assert search is HomeSearch.FOUND
        assert network.loop.time() - started < 0.1

    run_scenario(scenario)


def test_indirect_follower_switches_to_the_new_home():
    """The follower must not keep reporting a home that stepped down."""

    async def scenario(network):
        network.cuts.add(frozenset('ab'))
        network.isolate('c')
        await asyncio.sleep(3)
        network.cuts.clear()
        await asyncio.sleep(SETTLE_SECONDS)
        assert {node.home for node in network.running()} == {'c'}

    run_scenario(scenario)
