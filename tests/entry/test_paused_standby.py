"""Guards against reads of the operators' topic that only a pause causes."""

import asyncio
import time
from contextlib import aclosing, suppress
from types import SimpleNamespace

import pytest
from aiohttp import ClientSession

from crocusproxy.clock import SystemClock
from crocusproxy.entry.standby_reader import MAX_FEED_SILENCE, StandbyReader
from crocusproxy.errors import NotReachableError
from crocusproxy.event_loop.peer_timeout import own_paused_seconds
from crocusproxy.membership.feed_lines import encode_line
from crocusproxy.membership.feed_server import HEARTBEAT_INTERVAL_SECONDS
from crocusproxy.membership.member_client import MemberClient
from crocusproxy.protocol.home_feed import FeedMessage, Member
from tests.event_loop.observed_loop import run
from tests.event_loop.remote_peer import remote_peer

PAUSE_SECONDS = MAX_FEED_SILENCE.total_seconds() + 0.2
HEARTBEATS = 8


def send_heartbeats(connection):
    connection.sendall(b'HTTP/1.1 200 OK\r\n\r\n')
    for epoch in range(1, HEARTBEATS):
        connection.sendall(encode_line(FeedMessage(epoch=epoch)))
        time.sleep(HEARTBEAT_INTERVAL_SECONDS)


def send_one_heartbeat(connection):
    connection.sendall(b'HTTP/1.1 200 OK\r\n\r\n')
    connection.sendall(encode_line(FeedMessage(epoch=1)))
    time.sleep(HEARTBEATS * HEARTBEAT_INTERVAL_SECONDS)


async def count_reads(address, pause_after):
    """Follow a feed, pause meanwhile, and return how often it was silent."""
    clock = SystemClock()
    elector = SimpleNamespace(
        home_heard_at=None,
        is_home=False,
        leaving=False,
        home=None,
        lost_home_name='',
    )
    reads = []

    async def read():
        reads.append(clock.monotonic())

    reader = StandbyReader(elector, clock, read, own_paused_seconds)
    task = asyncio.create_task(reader.run())
    asyncio.get_running_loop().call_later(
        pause_after, time.sleep, PAUSE_SECONDS
    )
    home = Member('n0', 'a', address, address, 1, 1)
    async with ClientSession() as session:
        feed = MemberClient(session).feed(home, home)
        with suppress(TimeoutError, NotReachableError):
            async with asyncio.timeout(1.2), aclosing(feed) as messages:
                async for _ in messages:
                    elector.home_heard_at = clock.monotonic()
    task.cancel()
    return len(reads)


@pytest.mark.parametrize('pause_after', [0.11, 0.15, 0.2, 0.23, 0.27, 0.3])
def test_heartbeats_that_arrive_in_an_own_pause_are_no_silence(pause_after):
    with remote_peer(send_heartbeats) as address:
        assert not run(lambda: count_reads(address, pause_after))


def test_silent_home_is_noticed():
    with remote_peer(send_one_heartbeat) as address:
        assert run(lambda: count_reads(address, 10))
