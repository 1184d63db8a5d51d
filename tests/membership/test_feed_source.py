"""Guards against a home whose feeds grow with the number of instances.

Guards as well against followers that keep a domain home that was lost.
"""

import asyncio

from crocusproxy.membership.feed_server import HEARTBEAT_INTERVAL_SECONDS
from crocusproxy.membership.feed_source import DIRECT_FOLLOWERS, feed_source
from crocusproxy.membership.member_client import FEED_TIMEOUT_SECONDS
from crocusproxy.protocol.home_feed import Member
from standins.virtual_time import VirtualLoop

from .network import Network, make_upstreams

NAMES = [f'{domain}{number}' for domain in 'ab' for number in range(8)]


def member(name):
    return Member(name, name[0], name, name, 1.0, 1)


MEMBERS = [member(name) for name in NAMES]
HOME = member('b0')
DOMAIN_HOME = member('a1')


def source_of(name, domain_home=DOMAIN_HOME):
    return feed_source(member(name), HOME, domain_home, MEMBERS).name


def test_all_follow_the_home_without_domain_homes():
    assert source_of('a7', domain_home=None) == 'b0'


def test_domain_home_and_its_possible_successors_follow_the_home():
    """The next domain home is chosen among the followers of the home."""
    assert {source_of(f'a{number}') for number in range(4)} == {'b0'}
    assert source_of('a1') == 'b0'


def test_others_follow_their_domain_home():
    assert {source_of(f'a{number}') for number in range(4, 8)} == {'a1'}


def run_site(scenario, domains='ab', upstream_domains=''):
    """Run ``scenario`` with failure domains of eight members each."""
    loop = VirtualLoop()
    network = Network(loop)
    network.upstreams = make_upstreams(upstream_domains or domains)
    names = [f'{domain}{number}' for domain in domains for number in range(8)]
    nodes = {name: network.add(name, name[0]) for name in names}
    for node in nodes.values():
        node.start()
    members = [node.elector.member_list.own for node in nodes.values()]
    for node in nodes.values():
        node.elector.member_list.merge(members)

    async def run():
        await asyncio.sleep(3)
        await scenario(network, nodes)

    loop.run_until_complete(run())
    for node in network.running():
        node.kill()
    loop.run_until_complete(asyncio.sleep(0.1))


def domain_home_of(nodes, domain):
    home = nodes['a0'].domain_homes.home_of(domain)
    return home.name


def check_all_follow(network, home):
    for node in network.running():
        assert node.home == home
        assert node.catalog.config is not None


def test_home_serves_few_feeds():
    async def scenario(network, nodes):
        check_all_follow(network, 'a0')
        assert len(nodes['a0'].elector.server.followers) == (
            2 * DIRECT_FOLLOWERS - 1
        )
        relay = nodes[domain_home_of(nodes, 'b')]
        assert relay.elector.server.followers.keys() == {
            f'b{number}' for number in range(DIRECT_FOLLOWERS, 8)
        }

    run_site(scenario)


def test_only_direct_followers_notice_a_silent_home_themselves():
    """Others would read the store too, and its calls grow with the members."""

    async def scenario(network, nodes):
        direct_followers = nodes['a0'].elector.server.followers
        for node in nodes.values():
            heard_at = node.elector.home_heard_at
            if node.name in direct_followers:
                silence = network.loop.time() - heard_at.total_seconds()
                assert silence < 2 * HEARTBEAT_INTERVAL_SECONDS
            else:
                assert heard_at is None

    run_site(scenario)


def test_followers_of_a_lost_domain_home_get_changes_again():
    async def scenario(network, nodes):
        lost = domain_home_of(nodes, 'b')
        nodes[lost].kill()
        await asyncio.sleep(2)
        network.publish()
        await asyncio.sleep(0.5)
        check_all_follow(network, 'a0')
        versions = {node.versions[-1] for node in network.running()}
        assert versions == {network.stored_version}
        assert domain_home_of(nodes, 'b') != lost

    run_site(scenario)


def test_followers_of_a_silent_domain_home_get_changes_again():
    """Its connections stay open, so only the silence shows the loss."""

    async def scenario(network, nodes):
        lost = domain_home_of(nodes, 'b')
        network.isolate(lost)
        await asyncio.sleep(4)
        network.publish()
        await asyncio.sleep(0.5)
        reached = [node for node in network.running() if node.name != lost]
        assert {node.home for node in reached} == {'a0'}
        versions = {node.versions[-1] for node in reached}
        assert versions == {network.stored_version}

    run_site(scenario)


def test_overloaded_home_replaces_no_domain_home():
    """Its queries time out although the domain homes work.

    Seen on a played day of 312 instances (trouble-1 of
    ondasur-boletines-large): the home replaced all domain homes three times.
    """

    async def scenario(network, nodes):
        homes = nodes['a0'].domain_homes.assignment
        client = nodes['a0'].elector.client
        client.is_overloaded = True
        await asyncio.sleep(1.5)
        client.is_overloaded = False
        await asyncio.sleep(1)
        assert nodes['a0'].domain_homes.assignment == homes

    run_site(scenario, 'abc')


def test_lost_domain_homes_are_replaced_although_most_are_lost():
    """Most queries fail then too."""

    async def scenario(network, nodes):
        for domain in 'bc':
            nodes[domain_home_of(nodes, domain)].kill()
        await asyncio.sleep(5)
        running = {node.name for node in network.running()}
        assert domain_home_of(nodes, 'b') in running
        assert domain_home_of(nodes, 'c') in running

    run_site(scenario, 'abc')


def test_followers_of_domain_homes_find_the_next_home():
    async def scenario(network, nodes):
        nodes['a0'].kill()
        await asyncio.sleep(4)
        (home,) = {node.home for node in network.running()}
        network.publish()
        await asyncio.sleep(0.5)
        check_all_follow(network, home)
        versions = {node.versions[-1] for node in network.running()}
        assert versions == {network.stored_version}

    run_site(scenario)


def test_all_notice_a_silent_home_when_its_direct_followers_do():
    """Followers of domain homes would wait for the feed of the stopped home.

    They then name it as their home, so that nobody leads meanwhile.
    """

    async def scenario(network, nodes):
        others = [node for node in network.running() if node.name != 'a0']
        network.stop('a0')
        lost_at = {}
        while len(lost_at) < len(others):
            await asyncio.sleep(0.01)
            for node in others:
                if node.home != 'a0':
                    lost_at.setdefault(node.name, network.loop.time())
        direct = [f'{one}{number}' for one in 'ab' for number in range(4)]
        direct.remove('a0')
        latest = max(lost_at[name] for name in direct)
        assert max(lost_at.values()) - latest < 0.05

    run_site(scenario)


def test_followers_leave_a_domain_home_that_alone_has_lost_the_home():
    """They must not elect another home, nor wait for the domain home."""

    async def scenario(network, nodes):
        lost = domain_home_of(nodes, 'b')
        network.cuts.add(frozenset(('a0', lost)))
        await asyncio.sleep(FEED_TIMEOUT_SECONDS + 0.6)
        network.publish()
        await asyncio.sleep(0.1)
        tier = [f'b{number}' for number in range(DIRECT_FOLLOWERS, 8)]
        for name in tier:
            assert nodes[name].home == 'a0'
            assert nodes[name].versions[-1] == network.stored_version
        assert nodes['a0'].elector.epoch == 1

    run_site(scenario)


async def stop_domain_of_home(network, nodes):
    """Stop the home's failure domain, in which domain c has its home."""
    assert domain_home_of(nodes, 'c') == 'a1'
    for number in range(8):
        network.stop(f'a{number}')
    return network.loop.time()


def test_election_does_not_wait_for_members_without_a_feed():
    """They would name the stopped home until the timeout of its feed.

    Their domain home was stopped too, and could not tell them.
    """

    async def scenario(network, nodes):
        await stop_domain_of_home(network, nodes)
        await wait_until_led(nodes, 'b0')
        assert {nodes[f'c{number}'].home for number in range(4, 8)} == {'a0'}

    run_site(scenario, 'abc', 'ab')


async def wait_until_led(nodes, name):
    while not nodes[name].elector.is_home:
        await asyncio.sleep(0.01)


def test_all_find_the_next_home_soon_after_the_loss_of_a_domain():
    """Members beyond the candidates queried the lost ones in turn: 3.3 s."""

    async def scenario(network, nodes):
        stopped_at = await stop_domain_of_home(network, nodes)
        network.publish()
        remaining = [
            node for node in network.running() if node.failure_domain != 'a'
        ]
        while any(
            node.versions[-1] != network.stored_version for node in remaining
        ):
            await asyncio.sleep(0.01)
        assert network.loop.time() - stopped_at < 2

    run_site(scenario, 'abc', 'ab')
