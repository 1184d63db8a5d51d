"""Guards against upstreams that send bytes without end.

They filled the memory of the process that serves the whole site, or kept it
busy, until the deadline of the request.
"""

import asyncio
import time

import pytest

from standins.slot_server import REQUEST_ID, SIGNATURE

from .harness import (
    RESPONSE_BUDGET_BYTES,
    make_config,
    make_server,
    run_scenario,
)

DEADLINE_MS = 5000
#: An endless response is given up well before the deadline.
MAX_SECONDS = 3
#: The response budget of the test system, and what sockets hold besides.
MAX_SENT_BYTES = RESPONSE_BUDGET_BYTES + 8 * 1024 * 1024

BLOCK = b'x' * 65536
OK = b'HTTP/1.1 200 OK\r\n'
#: Without the id of the request, a success is skipped, and never held.
SIGNED_WITHOUT_ID = OK + SIGNATURE.encode() + b': s\r\n'
SIGNED = SIGNED_WITHOUT_ID + REQUEST_ID.encode() + b': %b\r\n'
#: The first bytes and those that follow without end.
FORMS = {
    'chunks': (
        SIGNED + b'Transfer-Encoding: chunked\r\n\r\n',
        b'10000\r\n' + BLOCK + b'\r\n',
    ),
    'no length': (SIGNED + b'\r\n', BLOCK),
    'false length': (SIGNED + b'Content-Length: 99999999999\r\n\r\n', BLOCK),
    'informational': (b'', b'HTTP/1.1 102 Processing\r\n\r\n' * 1000),
    'early hints': (
        b'',
        b'HTTP/1.1 103 Early Hints\r\nLink: <a>\r\n\r\n' * 999,
    ),
    'late responses': (
        b'',
        (
            OK + b'Content-Length: 3\r\n'
            b'X-Crocusproxy-Request-Id: other\r\n\r\nabc'
        )
        * 1000,
    ),
    'without id': (SIGNED_WITHOUT_ID + b'\r\n', BLOCK),
    'late response': (
        SIGNED_WITHOUT_ID + b'Content-Length: 99999999999\r\n'
        b'X-Crocusproxy-Request-Id: other\r\n\r\n',
        BLOCK,
    ),
    'header lines': (OK, b'X-More: ' + b'y' * 1000 + b'\r\n'),
    'one line': (OK + b'X-Long: ', BLOCK),
    'chunk extension': (
        SIGNED + b'Transfer-Encoding: chunked\r\n\r\n3;',
        BLOCK,
    ),
    'trailers': (
        SIGNED + b'Transfer-Encoding: chunked\r\n\r\n0\r\n',
        b'X-More: ' + b'y' * 1000 + b'\r\n',
    ),
}


class EndlessServer:
    """Sends the bytes of a form without end to each request."""

    def __init__(self, form):
        self.key = 'endless'
        self.slots = 2
        self.first, self.block = FORMS[form]
        self.sent_bytes = 0
        self.request_count = 0

    async def start(self):
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        return self

    async def serve(self, reader, writer):
        try:
            head = await reader.readuntil(b'\r\n\r\n')
            self.request_count += 1
            _, _, rest = head.partition(f'{REQUEST_ID}: '.encode())
            request_id, _, _ = rest.partition(b'\r\n')
            writer.write(self.first.replace(b'%b', request_id))
            while True:
                writer.write(self.block)
                await writer.drain()
                self.sent_bytes += len(self.block)
                await asyncio.sleep(0)
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()

    def stop(self):
        self.server.close()


@pytest.mark.parametrize('form', FORMS)
@pytest.mark.parametrize('path', ['/safe/x', '/once/x'])
def test_endless_response_is_given_up_within_the_response_budget(form, path):
    async def scenario(system):
        (server,) = system.servers
        started = time.monotonic()
        status, _, _ = await system.request(
            'r1', path, 'POST', deadline_ms=DEADLINE_MS
        )
        assert status in {502, 503}
        assert time.monotonic() - started < MAX_SECONDS
        assert server.sent_bytes <= MAX_SENT_BYTES * server.request_count
        assert not system.budget.used_bytes

    run_scenario(
        scenario, [EndlessServer(form)], make_config(timeout=DEADLINE_MS / 1000)
    )


@pytest.mark.parametrize('form', FORMS)
def test_other_requests_are_served_beside_endless_responses(form):
    async def scenario(system):
        endless = asyncio.create_task(
            system.request('r1', '/once/x', 'POST', deadline_ms=DEADLINE_MS)
        )
        await asyncio.sleep(0.01)
        await system.add(make_server('well'))
        placer = system.dispatcher.placer('s')
        placer.upstreams['endless'].backoff_until = float('inf')
        statuses = set()
        for number in range(20):
            started = time.monotonic()
            statuses.add((await system.request(f'other-{number}'))[0])
            assert time.monotonic() - started < 0.5
        assert statuses == {200}
        await endless

    run_scenario(
        scenario, [EndlessServer(form)], make_config(timeout=DEADLINE_MS / 1000)
    )


def test_many_endless_responses_share_the_response_budget():
    async def scenario(system):
        tasks = [
            asyncio.create_task(
                system.request(
                    f'r{number}', '/once/x', 'POST', deadline_ms=DEADLINE_MS
                )
            )
            for number in range(12)
        ]
        await asyncio.gather(*tasks)
        assert system.budget.peak_bytes <= system.budget.total_bytes
        assert not system.budget.used_bytes

    servers = []
    for number in range(6):
        server = EndlessServer('chunks')
        server.key = f'endless-{number}'
        servers.append(server)
    run_scenario(scenario, servers, make_config(timeout=DEADLINE_MS / 1000))


def test_bytes_on_an_idle_connection_are_given_back():
    """Otherwise they would use up the budget over time."""

    async def scenario(system):
        (server,) = system.servers
        await system.request('r1')
        (writer,) = server.writers
        writer.write(b'surplus')
        await asyncio.sleep(0.1)
        assert not system.budget.used_bytes

    run_scenario(scenario, [make_server()])


def test_large_response_is_delivered_whole():
    async def scenario(system):
        (server,) = system.servers
        body = b'z' * 4_000_000
        server.response_script = lambda request_id: server.response(
            request_id, body
        )
        _, _, received = await system.request('r1', deadline_ms=DEADLINE_MS)
        assert received == body

    run_scenario(
        scenario, [make_server()], make_config(timeout=DEADLINE_MS / 1000)
    )
