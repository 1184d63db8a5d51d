"""Guards against broken and surplus responses that are taken for whole ones.

Other operators saw that a refusal which was written twice on a kept connection
ended the next request as not run although it ran, and that a head which was cut
off became a success with an empty or short body.
"""

import asyncio
from unittest.mock import Mock

import pytest
from aiohttp.http_parser import HttpResponseParserPy

from crocusproxy.entry.response_budget import ResponseBudget
from crocusproxy.entry.upstream_connection import MatchingConnection
from crocusproxy.proxy import connection as connection_module
from crocusproxy.proxy.connection import BrokenResponseError

from .harness import make_server, run_scenario

ID_HEADER = 'X-Crocusproxy-Request-Id'
SIGNATURE = 'X-Crocusproxy-Response-Signature: s\r\n'
BUDGET_BYTES = 1 << 20
BODY = b'hello'
NOT_RUN = {429, 503, 421, 408}


def response(request_id, framing, body, status='200 OK', extra=SIGNATURE):
    id_line = f'{ID_HEADER}: {request_id}\r\n' if request_id else ''
    return f'HTTP/1.1 {status}\r\n{id_line}{extra}{framing}\r\n'.encode() + body


def refusal(request_id, status):
    extra = 'X-Crocusproxy-Not-Executed: 1\r\n'
    return response(request_id, 'Content-Length: 0\r\n', b'', status, extra)


WHOLE_RESPONSES = {
    'length': response('r2', 'Content-Length: 5\r\n', BODY),
    'chunks': response(
        'r2',
        'Transfer-Encoding: chunked\r\n',
        b'2\r\nhe\r\n3;x=y\r\nllo\r\n0\r\nX-More: 1\r\n\r\n',
    ),
    'until close': response('r2', '', BODY),
}
REFUSALS = {
    f'{status} {name}': refusal(request_id, f'{status} No')
    for status in (503, 429, 421, 400)
    for name, request_id in (('with id', 'r1'), ('without id', ''))
}


class Exchange:
    """A connection of which a test writes the received bytes."""

    def __init__(self):
        self.connection = MatchingConnection(
            asyncio.get_running_loop(), Mock(), ResponseBudget(BUDGET_BYTES)
        )
        self.transport = Mock()
        self.transport.is_closing.return_value = False
        self.transport.get_write_buffer_size.return_value = 0
        self.connection.connection_made(self.transport)

    def receive(self, received):
        if received and not self.connection.is_aborted:
            self.connection.data_received(received)

    def close(self, error):
        self.connection.connection_lost(error)

    async def request(self, request_id, *steps):
        """Return status and body; ``steps`` run after the request is sent."""
        exchange = asyncio.create_task(
            self.connection.exchange(b'request', request_id, ID_HEADER, 5)
        )
        await asyncio.sleep(0)
        for step in steps:
            step()
        message, body = await exchange
        return message.code, body


async def outcome(exchange):
    """Return the result of an exchange, None if its response is broken."""
    try:
        return await exchange
    except BrokenResponseError:
        return None


@pytest.fixture(params=['compiled', 'python'])
def _parser(request, monkeypatch):
    """Use the parser of each of aiohttp's two implementations."""
    if request.param == 'python':
        monkeypatch.setattr(
            connection_module, 'HttpResponseParser', HttpResponseParserPy
        )


@pytest.mark.usefixtures('_parser')
@pytest.mark.parametrize('error', [None, ConnectionResetError()])
@pytest.mark.parametrize('whole', WHOLE_RESPONSES.values(), ids=WHOLE_RESPONSES)
def test_response_that_is_cut_off_at_any_byte_is_no_success(whole, error):
    """The end of the connection completed it."""
    head_end = whole.index(b'\r\n\r\n') + 4
    ends_with_connection = b'Content-Length' not in whole[:head_end] and (
        b'chunked' not in whole[:head_end]
    )

    async def scenario():
        for length in range(len(whole)):
            exchange = Exchange()
            result = await outcome(
                exchange.request(
                    'r2',
                    lambda: exchange.receive(whole[:length]),
                    lambda: exchange.close(error),
                )
            )
            if ends_with_connection and error is None and length >= head_end:
                # The end cannot be told from a cut; see PROTOCOL of upstreams.
                assert result == (200, whole[head_end:length])
            else:
                assert result is None

    asyncio.run(scenario())


@pytest.mark.usefixtures('_parser')
@pytest.mark.parametrize('copy', REFUSALS.values(), ids=REFUSALS)
@pytest.mark.parametrize('first_refused', [True, False])
def test_copy_of_a_refusal_is_never_the_answer_to_the_next_request(
    copy, first_refused
):
    """It is split at any byte: the first part comes with the first response."""
    first = (
        refusal('r1', '503 No')
        if first_refused
        else response('r1', 'Content-Length: 1\r\n', b'x')
    )

    async def scenario():
        for length in range(len(copy) + 1):
            exchange = Exchange()
            await exchange.request(
                'r1', lambda: exchange.receive(first + copy[:length])
            )
            if not exchange.connection.finish():
                continue
            result = await outcome(
                exchange.request(
                    'r2',
                    lambda: exchange.receive(copy[length:]),
                    lambda: exchange.receive(WHOLE_RESPONSES['length']),
                )
            )
            assert result in {None, (200, BODY)}

    asyncio.run(scenario())


@pytest.mark.usefixtures('_parser')
@pytest.mark.parametrize('copy', REFUSALS.values(), ids=REFUSALS)
def test_copy_of_a_refusal_on_an_idle_connection_closes_it(copy):
    async def scenario():
        exchange = Exchange()
        await exchange.request(
            'r1', lambda: exchange.receive(refusal('r1', '503 No'))
        )
        assert exchange.connection.finish()
        exchange.receive(copy)
        assert exchange.connection.is_aborted

    asyncio.run(scenario())


@pytest.mark.parametrize('copy', REFUSALS.values(), ids=REFUSALS)
@pytest.mark.parametrize('method', ['POST', 'GET'])
def test_request_that_runs_is_neither_refused_nor_run_twice(copy, method):
    """The copy arrives while the next request runs at the same upstream."""
    path = '/once/x' if method == 'POST' else '/safe/x'

    async def scenario(system):
        (first,) = system.servers
        second = make_server('i-2')
        system.allow_retries()
        assert (await system.request('r1'))[0] == 200
        first.response_script = lambda request_id: (
            copy + first.response(request_id, BODY)
        )
        caller = await system.connect()
        caller.send('r2', path, method, b'x')
        await asyncio.sleep(0.05)
        await system.add(second)
        status, _, body = await caller.read()
        assert first.runs == ['r1', 'r2']
        assert status not in NOT_RUN
        if method == 'POST':
            assert not second.runs
            assert body == BODY or status == 502
        else:
            assert body in {BODY, b'r2'}
        caller.close()

    run_scenario(scenario, [make_server('i-1', work=0.1)])


@pytest.mark.parametrize('length', [1, 12, 40, 90, 104])
def test_cut_off_head_is_no_success_for_the_caller(length):
    async def scenario(system):
        (server,) = system.servers
        whole = WHOLE_RESPONSES['length']

        def cut_off(request_id):
            (writer,) = server.writers
            writer.write(whole[:length])
            raise ConnectionError

        server.response_script = cut_off
        status, _, _ = await system.request('r2', '/once/x', 'POST', b'x')
        assert status == 502
        assert server.runs == ['r2']

    run_scenario(scenario, [make_server()])
