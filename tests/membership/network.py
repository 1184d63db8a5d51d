"""Members in one process and virtual time on a network with partitions."""

import asyncio
from contextlib import aclosing
from dataclasses import replace
from random import Random

from crocusproxy.entry.dispatch_role import DispatchRole
from crocusproxy.errors import NotReachableError
from crocusproxy.membership.catalog import Catalog
from crocusproxy.membership.domain_home_planner import DomainHomePlanner
from crocusproxy.membership.domain_homes import DomainHomeTable
from crocusproxy.membership.domain_split import MIN_SLOTS_TO_SPLIT
from crocusproxy.membership.home_elector import HomeElector
from crocusproxy.membership.member_client import (
    FEED_TIMEOUT_SECONDS,
    REQUEST_TIMEOUT_SECONDS,
)
from crocusproxy.membership.member_list import MemberList
from crocusproxy.membership.reach_judge import ReachJudge
from crocusproxy.membership.seeds import HomeSearch
from crocusproxy.protocol.home_feed import Member
from crocusproxy.routes.model import RegisteredUpstream, RouteConfig
from standins.virtual_time import LoopClock

DELAY_SECONDS = 0.001


def make_upstreams(domains, slots=MIN_SLOTS_TO_SPLIT):
    """Return an upstream in each domain, with enough slots for homes there."""
    return tuple(
        RegisteredUpstream(f'i-{domain}', 's', '', domain, slots, False, 1, 1)
        for domain in domains
    )


def play(network, scenario):
    """Run a scenario once the members have settled, and kill them after it."""
    loop = network.loop

    async def run():
        await asyncio.sleep(3)
        await scenario(network)

    loop.run_until_complete(run())
    for node in network.running():
        node.kill()
    loop.run_until_complete(asyncio.sleep(0.1))
    loop.run_until_complete(loop.shutdown_asyncgens())
    loop.close()


class Network:
    """Carries calls between nodes unless their link is cut or a node is down.

    A killed process resets its connections; one behind a cut link is silent.
    Frozen nodes respond to no calls, while feeds stay open. Nodes without power
    are silent, and others notice only by timeouts. While the store is
    unavailable, a home that starts to lead reads nothing from it.
    """

    def __init__(self, loop):
        self.loop = loop
        self.nodes = {}
        self.cuts = set()
        self.frozen = set()
        self.powerless = set()
        self.store_is_available = True
        self.lost_upstreams = {}
        self.connect_seconds = 0
        self.generation = 0
        self.query_seconds = 0
        self.upstreams = make_upstreams('ab')
        self.stored_version = 0

    def publish(self):
        """Store a new configuration, which every home reads at once."""
        self.stored_version += 1
        for node in self.running():
            if node.elector.is_home:
                node.read_store()

    def isolate(self, name):
        self.cuts.update(
            frozenset((name, other)) for other in self.nodes if other != name
        )

    def stop(self, name):
        """Stop a process: it accepts connections and sends nothing on any."""
        self.isolate(name)
        self.frozen.add(name)

    def cut_power(self, name):
        """Silence a node for good; its task stays, but calls nobody."""
        self.isolate(name)
        self.powerless.add(name)

    def replace_upstreams(self):
        """Start all upstreams under new keys."""
        self.generation += 1
        self.upstreams = tuple(
            replace(entry, key=f'i-{entry.failure_domain}-{self.generation}')
            for entry in self.upstreams
        )
        for node in self.running():
            if node.elector.is_home:
                node.read_store()

    def lose_upstreams(self, name, keys=None):
        """Cut a node off from upstreams, from all without ``keys``."""
        self.lost_upstreams[name] = keys

    def add(self, name, failure_domain='a', capacity=1.0):
        node = Node(self, name, failure_domain, capacity)
        self.nodes[name] = node
        return node

    def running(self):
        return [node for node in self.nodes.values() if node.task is not None]

    def is_cut(self, one, other):
        return frozenset((one, other)) in self.cuts

    async def connect(self, source, name, timeout_seconds):
        """Return the node ``name`` if ``source`` can reach it."""
        await asyncio.sleep(DELAY_SECONDS)
        if source in self.powerless:
            await asyncio.Event().wait()
        if self.is_cut(source, name) or name in self.frozen:
            await asyncio.sleep(timeout_seconds)
            raise NotReachableError(f'{name}: no response')
        node = self.nodes[name]
        if node.task is None:
            raise NotReachableError(f'{name}: connection refused')
        await self.wait_for_processor(node, timeout_seconds)
        return node

    async def wait_for_processor(self, node, timeout_seconds):
        """Let ``node`` process its queries one after the other."""
        if not self.query_seconds:
            return
        now = self.loop.time()
        node.busy_until = max(node.busy_until, now) + self.query_seconds
        waiting_seconds = node.busy_until - now
        await asyncio.sleep(min(waiting_seconds, timeout_seconds))
        if waiting_seconds > timeout_seconds:
            raise NotReachableError(f'{node.name}: no response')


class Node:
    """One member whose process can be killed and restarted."""

    def __init__(self, network, name, failure_domain, capacity):
        self.network = network
        self.name = name
        self.capacity = capacity
        self.failure_domain = failure_domain
        self.task = None
        self.planner_task = None
        self.busy_until = 0
        self.start_count = 0
        self.versions = []

    @property
    def home(self):
        home = self.elector.home
        return home.name if home else ''

    def start(self, known_members=(), seeds=()):
        """Start the process.

        If no seed has a home, it uses the list ``known_members``.
        """
        self.start_count += 1
        own = Member(
            self.name,
            self.failure_domain,
            self.name,
            self.name,
            self.capacity,
            self.start_count,
        )
        self.catalog = Catalog()
        self.domain_homes = DomainHomeTable()
        self.versions = []
        self.catalog.on_config.append(
            lambda config: self.versions.append(config.version)
        )
        self.elector = HomeElector(
            NetworkClient(self.network, self.name),
            self.catalog,
            MemberList(own),
            LoopClock(self.network.loop),
            self.lead,
            self.stop_leading,
            self.domain_homes,
            self.find_unreached,
        )
        self.task = self.network.loop.create_task(
            self.join(known_members, seeds)
        )

    async def join(self, known_members, seeds):
        if await self.elector.seeds.find_home(seeds) is not HomeSearch.FOUND:
            self.elector.member_list.merge(known_members)
        await self.elector.run()

    def lead(self):
        self.read_store()
        clock = LoopClock(self.network.loop)
        judge = ReachJudge(
            self.ask_reach,
            lambda: [entry.key for entry in self.network.upstreams],
            clock,
            Random(self.start_count),
        )
        planner = DomainHomePlanner(
            self.elector, self.catalog, self.domain_homes, judge
        )
        self.planner_task = self.network.loop.create_task(planner.run())

    @property
    def reached(self):
        """The keys of the upstreams that this node can connect to."""
        lost = self.network.lost_upstreams.get(self.name, frozenset())
        keys = {entry.key for entry in self.network.upstreams}
        return set() if lost is None else keys - lost

    def find_unreached(self):
        """Return what a dispatcher with requests would have noticed."""
        keys = {entry.key for entry in self.network.upstreams}
        return tuple(sorted(keys - self.reached))

    async def ask_reach(self, member, keys):
        """Ask a member as over its internal port, this one included.

        One that reaches none responds after its attempts have timed out.
        """
        try:
            node = await self.network.connect(
                self.name, member.name, REQUEST_TIMEOUT_SECONDS
            )
        except NotReachableError:
            return None
        if not node.reached:
            await asyncio.sleep(self.network.connect_seconds)
        return frozenset(node.reached.intersection(keys))

    def stop_leading(self):
        self.planner_task.cancel()

    def read_store(self):
        if not self.network.store_is_available:
            return
        config = RouteConfig(self.network.stored_version, (), ())
        self.catalog.apply_config(config)
        self.catalog.apply_list(self.network.upstreams)

    def resolve(self, failure_domain):
        """Return the member that the directory names to callers."""
        role = DispatchRole(
            self.domain_homes,
            lambda: self.elector.home,
            lambda: self.elector.member_list.own,
        )
        return role.dispatcher_of(failure_domain)

    def kill(self):
        self.task.cancel()
        self.task = None
        self.elector.server.end_feeds()


class NetworkClient:
    """The calls of one node to the others."""

    def __init__(self, network, name):
        self.network = network
        self.name = name
        self.is_overloaded = False

    async def view(self, address, own, *, may_wait=False):
        if self.is_overloaded:
            await asyncio.sleep(REQUEST_TIMEOUT_SECONDS)
            raise NotReachableError(f'{address}: no response')
        node = await self.network.connect(
            self.name, address, REQUEST_TIMEOUT_SECONDS
        )
        node.elector.member_list.merge((own,))
        if may_wait:
            await node.elector.wait_for_home(0.25)
        return node.elector.view()

    async def members(self, address):
        node = await self.network.connect(
            self.name, address, REQUEST_TIMEOUT_SECONDS
        )
        return node.elector.member_list.all()

    async def feed(self, member, own):
        is_frozen = member.name in self.network.frozen
        node = await self.network.connect(
            self.name,
            member.internal,
            FEED_TIMEOUT_SECONDS if is_frozen else REQUEST_TIMEOUT_SECONDS,
        )
        server = node.elector.server
        if not server.accepts(own):
            return
        async with aclosing(server.messages(own)) as messages:
            async for message in messages:
                if self.name in self.network.powerless:
                    # The sender goes on writing for as long as TCP retries.
                    await asyncio.Event().wait()
                if self.network.is_cut(self.name, member.name):
                    await asyncio.sleep(FEED_TIMEOUT_SECONDS)
                    raise NotReachableError(f'{member.name}: silent')
                yield message
