"""Guards against wrong outcomes and responses under mixed faults."""

import asyncio
from collections import Counter
from random import Random

import pytest

from standins.scripted import (
    NOT_RUN,
    read_message,
)
from tests.proxy.harness import (
    KEY,
    FakeLedger,
    request,
    serving,
)

CALLS = 400
CALLERS = 16
# 'foreign' has the id of another request, 'never' does not respond, and a copy
# repeats a response after it or before the next one.
FAULTS = (
    'none', 'none', 'none', 'no echo', 'not-run', 'reset', 'half a head',
    'half a body', 'too long', 'foreign', 'never', 'late copy', 'early copy',
    'close after',
)  # fmt: skip


def encode_response(sent, body, echo=True):
    id_line = (
        f'X-Request-ID: {sent.headers["x-request-id"]}\r\n' if echo else ''
    )
    return (
        f'HTTP/1.1 200 OK\r\n{id_line}Content-Length: {len(body)}\r\n\r\n{body}'
    ).encode()


def faulty_script(random, runs):
    """Return a script that counts runs by path and injects faults."""

    async def script(upstream, reader, writer):
        previous = None
        while True:
            fault = random.choice(FAULTS)
            if fault == 'reset' and previous is None:
                return writer.transport.abort()
            sent = await upstream.read(reader)
            path = sent.start_line.split()[1]
            if fault == 'not-run':
                writer.write(NOT_RUN)
                continue
            runs[path] += 1
            if fault == 'early copy' and previous is not None:
                writer.write(previous)
            encoded = encode_response(sent, path, echo=fault != 'no echo')
            previous = encoded
            await write_with_fault(fault, encoded, sent, reader, writer)

    return script


async def write_with_fault(fault, encoded, sent, reader, writer):
    match fault:
        case 'half a head':
            writer.write(encoded[:20])
        case 'half a body':
            writer.write(encoded[:-1])
        case 'too long':
            writer.write(encoded + b'x')
        case 'foreign':
            other = {'x-request-id': 'other'}
            sent.headers.update(other)
            writer.write(encode_response(sent, 'foreign'))
        case 'never':
            await reader.read()
            raise ConnectionError
        case _:
            writer.write(encoded)
    if fault == 'late copy':
        await asyncio.sleep(0)
        writer.write(encoded)
    if fault in {'half a head', 'half a body', 'reset', 'close after'}:
        writer.transport.close()
        raise ConnectionError


async def call_and_check(proxy, number, random, runs):
    """Send a request and check its response; some callers disconnect."""
    keyed = random.random() < 0.4
    line = b'%b /s/%d' % (b'POST' if keyed else b'GET', number)
    headers = b'Crocus-Attempt: 1\r\nCrocus-Timeout-Ms: 60\r\n'
    reader, writer = await proxy.connect()
    writer.write(request(line, headers + (KEY if keyed else b'')))
    path = f'/{number}'
    if random.random() < 0.1:
        await asyncio.sleep(0)
        return writer.transport.abort()
    response = await read_message(reader)
    writer.close()
    assert response.complete
    if response.outcome == 'answered':
        assert (response.status, response.body) == (200, path.encode())
        assert runs[path] >= 1
    if response.outcome == 'not-run':
        assert runs[path] == 0
    assert response.outcome != ('failed' if keyed else 'unknown')
    if keyed:
        assert runs[path] <= 1
    return response.outcome


@pytest.mark.parametrize('seed', range(3))
async def test_responses_are_complete_matched_and_correct(seed):
    random = Random(seed)
    runs = Counter()
    scripts = [faulty_script(random, runs)] * 4
    options = {'slots': 3, 'retry_share': 0.1, 'ledger': FakeLedger()}
    async with serving(*scripts, **options) as (proxy, *upstreams):
        numbers = iter(range(CALLS))
        outcomes = Counter()

        async def caller():
            for number in numbers:
                outcomes[await call_and_check(proxy, number, random, runs)] += 1

        await asyncio.gather(*(caller() for _ in range(CALLERS)))
        await proxy.core.frontend.idle.wait()
        assert {'answered', 'not-run', 'failed', 'unknown'} <= set(outcomes)
        assert max(runs.values()) <= proxy.core.settings.limits.attempts
        balancer = proxy.core.dispatcher.schedulers['s'].balancer
        assert not any(one.in_flight for one in balancer.states.values())
