"""Guards against programs that send bytes without end as a response.

They filled the memory of an instance until the timeout of the call.
"""

import asyncio
from contextlib import asynccontextmanager
from datetime import timedelta

import pytest
from aiohttp import ClientSession, web
from aiohttp.test_utils import TestServer

from crocusproxy.bounded_read import MAX_RESPONSE_BYTES
from crocusproxy.errors import NotReachableError, PlatformUnavailableError
from crocusproxy.membership.feed_lines import MAX_LINE_BYTES
from crocusproxy.membership.member_client import MemberClient
from crocusproxy.platform.relay import StoreRelay
from crocusproxy.platform.store import StoreClient
from crocusproxy.platform.store_records import StorePosition
from crocusproxy.protocol.home_feed import Member

#: What the kernel and the buffers of the streams hold besides.
MAX_HELD_ELSEWHERE = 8 * 1024 * 1024
BLOCK = b'x' * 65536
OK = b'HTTP/1.1 200 OK\r\n'
FORMS = {
    'no length': (OK + b'\r\n', BLOCK),
    'chunks': (
        OK + b'Transfer-Encoding: chunked\r\n\r\n',
        b'10000\r\n' + BLOCK + b'\r\n',
    ),
    'false length': (OK + b'Content-Length: 99999999999\r\n\r\n', BLOCK),
}
TIMEOUT = timedelta(seconds=5)


class EndlessPeer:
    """Sends the bytes of a form without end to each call."""

    def __init__(self, form):
        self.first, self.block = FORMS[form]
        self.sent_bytes = 0

    async def serve(self, reader, writer):
        try:
            await reader.readuntil(b'\r\n\r\n')
            writer.write(self.first)
            while True:
                writer.write(self.block)
                await writer.drain()
                self.sent_bytes += len(self.block)
                await asyncio.sleep(0)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()


@asynccontextmanager
async def running_peer(form):
    peer = EndlessPeer(form)
    server = await asyncio.start_server(peer.serve, '127.0.0.1', 0)
    port = server.sockets[0].getsockname()[1]
    async with ClientSession() as session:
        yield peer, session, f'127.0.0.1:{port}'
    server.close()


def run(form, call, expected_error, max_bytes=MAX_RESPONSE_BYTES):
    async def scenario():
        async with running_peer(form) as (peer, session, address):
            with pytest.raises(expected_error, match='response_too_large'):
                await call(session, address)
            assert peer.sent_bytes <= max_bytes + MAX_HELD_ELSEWHERE

    asyncio.run(scenario())


@pytest.mark.parametrize('form', FORMS)
def test_endless_response_of_the_store_is_given_up(form):
    async def read(session, address):
        client = StoreClient(session, address, TIMEOUT)
        await client.read('keyed.op', StorePosition(1, 0))

    run(form, read, PlatformUnavailableError)


@pytest.mark.parametrize('form', FORMS)
def test_endless_listing_of_the_store_is_given_up(form):
    async def read(session, address):
        await StoreClient(session, address, TIMEOUT).newest('keyed.op')

    run(form, read, PlatformUnavailableError)


@pytest.mark.parametrize('form', FORMS)
def test_endless_response_to_an_append_is_given_up(form):
    async def put(session, address):
        await StoreClient(session, address, TIMEOUT).put('keyed.op', 'k', b'')

    run(form, put, PlatformUnavailableError)


@pytest.mark.parametrize('form', FORMS)
def test_relay_gives_up_an_endless_response_of_the_store(form):
    async def scenario():
        async with running_peer(form) as (peer, session, address):
            relay = StoreRelay(session, address, TIMEOUT)
            application = web.Application()
            application.add_routes(relay.routes())
            async with TestServer(application) as server:
                url = server.make_url('/store/-/log-read')
                async with session.get(url) as response:
                    assert response.status == 502
            assert peer.sent_bytes <= MAX_RESPONSE_BYTES + MAX_HELD_ELSEWHERE

    asyncio.run(scenario())


@pytest.mark.parametrize('form', FORMS)
def test_endless_response_of_a_member_is_given_up(form, monkeypatch):
    monkeypatch.setattr(
        'crocusproxy.membership.member_client.REQUEST_TIMEOUT_SECONDS', 5
    )

    async def members(session, address):
        await MemberClient(session).members(address)

    run(form, members, NotReachableError)


@pytest.mark.parametrize('form', FORMS)
def test_endless_line_of_a_feed_is_given_up(form):
    async def follow(session, address):
        member = Member('a', 'x', address, address, 1, 1)
        async for _ in MemberClient(session).feed(member, member):
            pass

    run(form, follow, NotReachableError, MAX_LINE_BYTES)
