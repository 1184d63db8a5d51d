"""Guards against own pauses that count against other members."""

import asyncio
import time
from contextlib import aclosing

import pytest
from aiohttp import ClientSession

from crocusproxy.errors import NotReachableError
from crocusproxy.membership.feed_lines import encode_line
from crocusproxy.membership.member_client import (
    FEED_TIMEOUT_SECONDS,
    REQUEST_TIMEOUT_SECONDS,
    MemberClient,
)
from crocusproxy.protocol.codec import MalformedMessageError, encode
from crocusproxy.protocol.home_feed import FeedMessage, Member, MemberView
from tests.event_loop.observed_loop import run
from tests.event_loop.remote_peer import remote_peer

LATE_SECONDS = 0.3
FEED_HEAD = b'HTTP/1.1 200 OK\r\n\r\n'


def make_member(address=''):
    return Member('n0', 'a', address, address, 1, 1)


def with_client(address, scenario):
    async def connected():
        async with ClientSession() as session:
            return await scenario(MemberClient(session), make_member(address))

    return run(connected)


async def follow(client, member, pause_after=0.0):
    """Return the epochs of a feed until it ends or is lost."""
    epochs = []
    if pause_after:
        loop = asyncio.get_running_loop()
        loop.call_later(pause_after, time.sleep, FEED_TIMEOUT_SECONDS + 0.1)
    async with aclosing(client.feed(member, make_member())) as messages:
        async for message in messages:
            epochs.append(message.epoch)
    return epochs


def test_member_that_answers_in_time_is_reachable():
    """Its silence had it taken for lost in an election."""
    view = MemberView(make_member(), 'home', 7, None)
    body = encode(view)

    def respond(connection):
        time.sleep(0.06)
        length = f'Content-Length: {len(body)}\r\n\r\n'.encode()
        connection.sendall(b'HTTP/1.1 200 OK\r\n' + length + body)

    async def scenario(client, member):
        call = client.view(member.internal, make_member())
        task = asyncio.create_task(call)
        await asyncio.sleep(0)
        time.sleep(REQUEST_TIMEOUT_SECONDS + 0.1)
        return await task

    with remote_peer(respond) as address:
        assert with_client(address, scenario) == view


def test_feed_whose_heartbeats_arrive_in_an_own_pause_is_not_silent():
    def respond(connection):
        connection.sendall(FEED_HEAD)
        for epoch in range(1, 8):
            connection.sendall(encode_line(FeedMessage(epoch=epoch)))
            time.sleep(0.2)

    with remote_peer(respond) as address:
        epochs = with_client(
            address, lambda client, member: follow(client, member, 0.1)
        )
    assert epochs == list(range(1, 8))


def test_feed_of_a_home_that_paused_at_the_same_time_is_not_silent():
    """A busy host delays both; the home was given up, and one elected."""

    def respond(connection):
        connection.sendall(FEED_HEAD + encode_line(FeedMessage(epoch=1)))
        # This member pauses from 0.1 s on for 0.8 s.
        time.sleep(1.2)
        connection.sendall(encode_line(FeedMessage(epoch=2)))

    with remote_peer(respond) as address:
        epochs = with_client(
            address, lambda client, member: follow(client, member, 0.1)
        )
    assert epochs == [1, 2]


def test_feed_that_begins_after_an_own_pause_is_followed():
    def respond(connection):
        time.sleep(0.1)
        connection.sendall(FEED_HEAD + encode_line(FeedMessage(epoch=1)))

    async def scenario(client, member):
        task = asyncio.create_task(follow(client, member))
        await asyncio.sleep(0)
        time.sleep(FEED_TIMEOUT_SECONDS + 0.1)
        return await task

    with remote_peer(respond) as address:
        assert with_client(address, scenario) == [1]


@pytest.mark.parametrize('head', [b'', FEED_HEAD])
def test_silent_feed_is_lost_in_time(head):
    """A stopped home accepts connections, and sends nothing."""

    def respond(connection):
        connection.sendall(head)
        time.sleep(FEED_TIMEOUT_SECONDS + 2 * LATE_SECONDS)

    async def scenario(client, member):
        started_at = time.monotonic()
        with pytest.raises(NotReachableError):
            await follow(client, member)
        return time.monotonic() - started_at

    with remote_peer(respond) as address:
        seconds = with_client(address, scenario)
    assert FEED_TIMEOUT_SECONDS - 0.01 < seconds
    assert seconds < FEED_TIMEOUT_SECONDS + LATE_SECONDS


def test_feed_whose_lines_arrive_in_parts_is_read():
    """A long line takes longer than the time for silence."""
    line = encode_line(FeedMessage(epoch=3))

    def respond(connection):
        connection.sendall(FEED_HEAD)
        for position in range(len(line)):
            connection.sendall(line[position : position + 1])
            time.sleep(0.09)
        connection.sendall(line + line)

    with remote_peer(respond) as address:
        assert with_client(address, follow) == [3, 3, 3]


def test_line_that_is_cut_off_is_malformed():
    line = encode_line(FeedMessage(epoch=3))

    def respond(connection):
        connection.sendall(FEED_HEAD + line + line[:5])

    async def scenario(client, member):
        with pytest.raises(MalformedMessageError):
            await follow(client, member)

    with remote_peer(respond) as address:
        with_client(address, scenario)
