"""Guards against instances without a home or with different homes."""

import asyncio
from dataclasses import replace
from unittest.mock import AsyncMock, Mock

from aiohttp import ClientSession, StreamReader, TCPConnector, web
from aiohttp.client_exceptions import ClientConnectionResetError
from aiohttp.test_utils import make_mocked_request

from crocusproxy.clock import SystemClock
from crocusproxy.membership.catalog import Catalog
from crocusproxy.membership.feed_server import (
    FEED_PATH,
    HEARTBEAT_INTERVAL_SECONDS,
)
from crocusproxy.membership.home_elector import HomeElector
from crocusproxy.membership.member_client import MemberClient
from crocusproxy.membership.member_list import MemberList
from crocusproxy.protocol.codec import encode
from crocusproxy.protocol.home_feed import Member, UpstreamChange
from crocusproxy.routes.model import RegisteredUpstream, RouteConfig

ENTRY = RegisteredUpstream('i-1', 's', '10.0.0.1:80', 'a', 2, False, 1, 1)


class Node:
    """One member with its internal port."""

    def __init__(self, name):
        self.name = name
        self.catalog = Catalog()
        self.lead_count = 0

    async def start(self):
        self.session = ClientSession(connector=TCPConnector(limit=0))
        application = web.Application()
        self.runner = web.AppRunner(application, shutdown_timeout=0.05)
        self.elector = HomeElector(
            MemberClient(self.session),
            self.catalog,
            MemberList(Member(self.name, 'a', '', self.name, 1.0, 1)),
            SystemClock(),
            self.lead,
            lambda: None,
        )
        application.add_routes(self.elector.server.routes())
        await self.runner.setup()
        site = web.TCPSite(self.runner, '127.0.0.1', 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        own = Member(self.name, 'a', f'127.0.0.1:{port}', self.name, 1.0, 1)
        self.elector.member_list.own = own
        self.elector.member_list.members[self.name] = own
        return self

    def lead(self):
        self.lead_count += 1

    def run(self):
        self.task = asyncio.create_task(self.elector.run())

    async def kill(self):
        self.task.cancel()
        await self.runner.cleanup()
        await self.session.close()

    @property
    def home(self):
        home = self.elector.home
        return home.name if home else ''


async def wait_until(condition, seconds=6.0):
    async with asyncio.timeout(seconds):
        while not condition():
            await asyncio.sleep(0.02)


def run_scenario(scenario, names='abc'):
    async def run():
        nodes = [await Node(name).start() for name in names]
        members = [node.elector.member_list.own for node in nodes]
        for node in nodes:
            node.elector.member_list.merge(members)
            node.run()
        try:
            await wait_until(lambda: all(node.home for node in nodes))
            await scenario(nodes)
        finally:
            for node in nodes:
                if not node.runner.server:
                    continue
                await node.kill()

    asyncio.run(run())


def test_all_follow_one_home():
    async def scenario(nodes):
        assert {node.home for node in nodes} == {'a'}
        assert [node.lead_count for node in nodes] == [1, 0, 0]

    run_scenario(scenario)


def test_state_of_the_home_reaches_all_members():
    async def scenario(nodes):
        nodes[0].catalog.apply_config(RouteConfig(3, (), ()))
        nodes[0].catalog.apply_list((ENTRY,))
        await wait_until(
            lambda: all(node.catalog.is_complete for node in nodes)
        )
        assert all(node.catalog.config.version == 3 for node in nodes)
        nodes[0].catalog.apply_change(UpstreamChange('i-1'))
        await wait_until(
            lambda: not any(node.catalog.upstreams for node in nodes)
        )

    run_scenario(scenario)


def test_evacuations_reach_followers_and_their_ends_too():
    async def scenario(nodes):
        for evacuated in (('d1', 'd2'), ()):
            nodes[0].catalog.apply_evacuated(evacuated)
            await wait_until(
                lambda expected=set(evacuated): all(
                    node.catalog.evacuated == expected for node in nodes
                )
            )

    run_scenario(scenario)


def test_next_member_takes_over_from_a_lost_home():
    async def scenario(nodes):
        await nodes[0].kill()
        await wait_until(lambda: {node.home for node in nodes[1:]} == {'b'})
        assert nodes[2].elector.epoch == 2

    run_scenario(scenario)


def test_leaving_home_hands_over_while_it_still_serves():
    async def scenario(nodes):
        nodes[0].elector.leave()
        await wait_until(lambda: {node.home for node in nodes} == {'b'}, 8)

    run_scenario(scenario)


def test_two_homes_become_one():
    """Members that start without the store do not know each other."""

    async def scenario(nodes):
        other = await Node('0').start()
        other.run()
        await wait_until(lambda: other.home == '0')
        other.elector.member_list.merge(
            [node.elector.member_list.own for node in nodes]
        )
        all_nodes = [*nodes, other]
        await wait_until(
            lambda: len({node.home for node in all_nodes}) == 1, 10
        )
        await other.kill()

    run_scenario(scenario)


def test_lost_follower_logs_no_traceback(caplog):
    """Otherwise each killed instance leaves a traceback in the log."""

    async def scenario(nodes):
        nodes[2].task.cancel()
        await nodes[2].session.close()
        await asyncio.sleep(2 * HEARTBEAT_INTERVAL_SECONDS)
        assert nodes[2].name not in nodes[0].elector.server.followers

    run_scenario(scenario)
    assert not [record for record in caplog.records if record.exc_info]


def test_follower_lost_before_its_feed_starts_raises_no_error():
    """A paused instance resumes with many such requests (soak seed 28)."""
    write_error = AsyncMock(side_effect=ClientConnectionResetError('closing'))
    writer = Mock(
        write_headers=write_error, send_headers=Mock(side_effect=write_error)
    )

    async def scenario(nodes):
        server = nodes[0].elector.server
        payload = StreamReader(Mock(), 2**16)
        payload.feed_data(encode(Member('z', 'a', '127.0.0.1:1', '', 1.0, 1)))
        payload.feed_eof()
        request = make_mocked_request(
            'POST', FEED_PATH, payload=payload, writer=writer
        )
        (feed,) = (
            route.handler
            for route in server.routes()
            if route.path == FEED_PATH
        )
        await feed(request)
        assert write_error.await_count == 1
        assert 'z' not in server.followers

    run_scenario(scenario, names='a')


def test_changes_of_one_read_are_sent_in_one_message():
    """A message for each would keep a home of hundreds of followers busy."""
    entries = tuple(replace(ENTRY, key=f'i-{number}') for number in range(100))

    async def scenario(nodes):
        nodes[0].catalog.mark_complete()
        server = nodes[0].elector.server
        sent = []
        publish = server.publish
        server.publish = lambda message: (
            sent.append(message),
            publish(message),
        )
        nodes[0].catalog.apply_list(entries)
        await wait_until(
            lambda: all(len(node.catalog.upstreams) == 100 for node in nodes)
        )
        assert len(sent) == 1

    run_scenario(scenario)


def test_members_that_join_at_once_are_sent_in_one_message():
    """After a loss of all instances, each would be sent to all others."""

    async def scenario(nodes):
        server = nodes[0].elector.server
        sent = []
        server.publish = sent.append
        for number in range(50):
            server._register(Member(f'm{number}', 'a', '', '', 1.0, 1))
        await wait_until(lambda: sent)
        (message,) = sent
        assert len(message.members) == 50

    run_scenario(scenario)


def test_state_is_encoded_once_for_all_that_start_at_a_moment():
    """Encoding it for each of hundreds kept the home busy for seconds."""

    async def scenario(nodes):
        server = nodes[0].elector.server
        nodes[0].catalog.apply_list((ENTRY,))
        state = server.full_state()
        assert server.full_state() is state
        assert server.encoder.encode(state) is server.encoder.encode(state)
        nodes[0].catalog.apply_change(UpstreamChange('i-1'))
        assert not server.full_state().changes

    run_scenario(scenario)
