"""Guards against invalid input that reaches an upstream or is misreported."""

import asyncio

import pytest

from crocusproxy.proxy.settings import ProxyLimits
from standins.scripted import (
    OK,
    answering,
    read_message,
)
from tests.proxy.harness import (
    FAR_EXPIRY,
    KEY,
    request,
    serving,
)

SMALL_LIMITS = ProxyLimits(request_body=10, header_field=200, header_count=20)


async def test_a_response_is_returned_with_its_outcome():
    async with serving(answering()) as (proxy, upstream):
        response = await proxy.call(
            b'GET /s/a/b?c=d', b'X-Request-ID: r1\r\ntraceparent: t\r\n'
        )
        assert (response.status, response.body) == (200, b'ok')
        assert response.outcome == 'answered'
        assert response.headers['x-request-id'] == 'r1'
        [sent] = upstream.requests
        assert sent.start_line == 'GET /a/b?c=d HTTP/1.1'
        assert sent.headers['x-request-id'] == 'r1'
        assert sent.headers['traceparent'] == 't'
        assert 0 < int(sent.headers['crocus-timeout-ms']) <= 2000


@pytest.mark.parametrize(
    ('sent', 'status', 'code', 'outcome'),
    [
        (b'GARBAGE\r\n\r\n', 400, 'malformed_request', 'unknown'),
        (request(b'GET x'), 400, 'malformed_request', 'unknown'),
        (request(b'GET /nope/x'), 404, 'service_unknown', 'not-run'),
        (request(b'GET /'), 404, 'service_unknown', 'not-run'),
        (request(headers=b'A: ' + b'x' * 300 + b'\r\n'), 431,
         'headers_too_large', 'unknown'),
        (request(headers=b'A: x\r\n' * 30), 431, 'headers_too_large',
         'unknown'),
        (request(b'PUT /s/x', body=b'x' * 11), 413, 'body_too_large',
         'not-run'),
        (request(b'PUT /s/x', b'Transfer-Encoding: chunked\r\n')
         + b'b\r\n01234567890\r\n0\r\n\r\n', 413, 'body_too_large', 'not-run'),
        (request(b'POST /s/x', body=b'x'), 400, 'idempotency_key_missing',
         'not-run'),
        (request(b'POST /s/x', b'Idempotency-Key: k\r\n'), 400,
         'idempotency_expiry_invalid', 'unknown'),
        (request(b'POST /s/x', FAR_EXPIRY), 400, 'idempotency_expiry_too_far',
         'unknown'),
        (request(b'GET /s/x', FAR_EXPIRY + b'Crocus-Attempt: 1\r\n'), 400,
         'idempotency_expiry_too_far', 'not-run'),
        (request(b'POST /s/x', FAR_EXPIRY.replace(b'2999', b'1999')), 410,
         'idempotency_key_expired', 'unknown'),
        (request(b'POST /s/x', KEY + b'Idempotency-Key: k2\r\n'), 400,
         'malformed_request', 'unknown'),
        (request(headers=b'Crocus-Timeout-Ms: soon\r\n'), 400,
         'timeout_invalid', 'not-run'),
        (request(headers=b'Crocus-Timeout-Ms: 0\r\n'), 504,
         'deadline_passed', 'not-run'),
        (request(headers=b'Crocus-Timeout-Ms: -5\r\n'), 504,
         'deadline_passed', 'not-run'),
    ],
)  # fmt: skip
async def test_invalid_input_is_refused_and_reaches_no_upstream(
    sent, status, code, outcome
):
    async with serving(answering(), limits=SMALL_LIMITS) as (proxy, upstream):
        reader, writer = await proxy.connect()
        writer.write(sent)
        response = await read_message(reader)
        writer.close()
        assert (response.status, response.code) == (status, code)
        assert response.outcome == outcome
        assert upstream.connections == 0


async def test_requests_before_the_first_configuration_get_not_ready():
    async with serving(answering()) as (proxy, upstream):
        proxy.core.frontend.not_ready_reason = lambda: 'no_configuration'
        response = await proxy.call()
        assert (response.status, response.code) == (503, 'not_ready')
        assert int(response.headers['retry-after']) >= 1
        assert upstream.connections == 0


async def test_an_incomplete_request_body_is_refused_at_the_deadline():
    async with serving(answering()) as (proxy, upstream):
        headers = b'Content-Length: 5\r\nCrocus-Timeout-Ms: 20\r\n'
        response = await proxy.call(b'PUT /s/x', headers)
        assert response.code == 'deadline_exceeded'
        assert response.outcome == 'not-run'
        assert upstream.connections == 0


async def test_expect_continue_is_confirmed_before_the_body():
    async with serving(answering()) as (proxy, upstream):
        reader, writer = await proxy.connect()
        headers = b'Expect: 100-continue\r\nContent-Length: 3\r\n'
        writer.write(request(b'PUT /s/x', headers))
        assert b' 100 ' in await reader.readuntil(b'\r\n\r\n')
        writer.write(b'abc')
        assert (await read_message(reader)).status == 200
        assert upstream.requests[0].body == b'abc'


async def test_pipelined_requests_get_matching_responses_in_order():
    async def script(upstream, reader, writer):
        while True:
            sent = await upstream.read(reader)
            path = sent.start_line.split()[1].encode()
            writer.write(
                b'HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b'
                % (len(path), path)
            )

    async with serving(script) as (proxy, upstream):
        reader, writer = await proxy.connect()
        paths = [b'/%d' % number for number in range(50)]
        for path in paths:
            writer.write(request(b'GET /s' + path))
        for path in paths:
            assert (await read_message(reader)).body == path
        assert upstream.connections == 1


async def test_drain_closes_connections_and_waits_for_requests_in_flight():
    arrived, gate = asyncio.Event(), asyncio.Event()

    async def script(upstream, reader, writer):
        await upstream.read(reader)
        arrived.set()
        await gate.wait()
        writer.write(OK)

    async with serving(script) as (proxy, _):
        frontend = proxy.core.frontend
        frontend.is_draining = True
        call = asyncio.create_task(proxy.call())
        await arrived.wait()
        assert not frontend.idle.is_set()
        gate.set()
        response = await call
        assert (response.status, response.body) == (200, b'ok')
        assert response.headers['connection'] == 'close'
        await frontend.idle.wait()
