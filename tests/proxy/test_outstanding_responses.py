"""Guards against closes that discard what a caller has yet to receive."""

import asyncio
from datetime import timedelta

import pytest

from crocusproxy.proxy.settings import ProxyLimits
from standins.scripted import ScriptedUpstream, answering, read_message
from tests.proxy.harness import request, serving
from tests.proxy.processes import proxy_process
from tests.proxy.slow_caller import connect_slow

BODY = b'x' * 30_000
LARGE_RESPONSE = b'HTTP/1.1 200 OK\r\nContent-Length: 30000\r\n\r\n' + BODY
REQUEST_COUNT = 6
#: Longer than the idle timeout and than any fixed linger.
LATE_SECONDS = 1.3
IDLE_TIMEOUT = timedelta(seconds=0.5)
SMALL_BODY_LIMIT = ProxyLimits(request_body=10)


async def read_bodies(reader, count):
    """Read responses, and return the bodies of those that are complete."""
    bodies = []
    for _ in range(count):
        try:
            response = await read_message(reader)
        except (OSError, asyncio.IncompleteReadError):
            break
        bodies.append(response.body)
    return bodies


async def test_idle_timeout_cuts_no_response_that_is_still_being_read():
    """The kernel discarded the rest when the caller sent one more request."""
    limits = ProxyLimits(idle_caller=IDLE_TIMEOUT)
    async with serving(answering(last=LARGE_RESPONSE), limits=limits) as (
        proxy,
        upstream,
    ):
        reader, writer = await connect_slow(proxy.port)
        writer.write(request() * REQUEST_COUNT)
        await asyncio.sleep(LATE_SECONDS)
        assert len(upstream.requests) == REQUEST_COUNT
        writer.write(request())
        # The connection was not idle, so the late request is served too.
        expected = [BODY] * (REQUEST_COUNT + 1)
        assert await read_bodies(reader, REQUEST_COUNT + 1) == expected
        writer.close()


async def test_closing_response_is_sent_to_a_caller_that_reads_slowly():
    async with serving(answering(last=LARGE_RESPONSE)) as (proxy, _):
        proxy.core.frontend.is_draining = True
        reader, writer = await connect_slow(proxy.port)
        writer.write(request())
        await asyncio.sleep(LATE_SECONDS)
        writer.write(request())
        await writer.drain()
        assert await read_bodies(reader, 1) == [BODY]
        assert await reader.read() == b''
        writer.close()


async def test_refusal_arrives_although_the_caller_sends_on_for_seconds():
    """The connection was reset a second after the refusal."""
    async with serving(answering(), limits=SMALL_BODY_LIMIT) as (proxy, _):
        reader, writer = await connect_slow(proxy.port)
        writer.write(
            b'PUT /s/x HTTP/1.1\r\nHost: p\r\nContent-Length: 100000\r\n\r\n'
        )
        for _ in range(20):
            writer.write(b'x' * 1000)
            await writer.drain()
            await asyncio.sleep(0.1)
        response = await read_message(reader)
        assert (response.status, response.code) == (413, 'body_too_large')
        assert await reader.read() == b''
        writer.close()


@pytest.mark.parametrize('is_read_late', [False, True])
async def test_process_ends_only_after_its_last_response_was_received(
    is_read_late, tmp_path
):
    arrived = asyncio.Event()

    async def script(upstream, reader, writer):
        await upstream.read(reader)
        arrived.set()
        await asyncio.sleep(0.2)
        writer.write(LARGE_RESPONSE)

    upstream = ScriptedUpstream(script)
    async with proxy_process(tmp_path, upstream) as proxy:
        reader, writer = await connect_slow(proxy.port)
        writer.write(request())
        await arrived.wait()
        proxy.process.terminate()
        await proxy.wait_for_event('port_closed')
        if is_read_late:
            await asyncio.sleep(LATE_SECONDS)
            assert proxy.process.returncode is None
        writer.write(request())
        assert await read_bodies(reader, 1) == [BODY]
        writer.close()
        assert await proxy.process.wait() == 0


async def test_process_waits_for_no_caller_after_its_drain_limit(tmp_path):
    """A caller that reads nothing must not keep a process from its end."""
    upstream = ScriptedUpstream(answering(last=LARGE_RESPONSE))
    async with proxy_process(tmp_path, upstream, drain_limit='1s') as proxy:
        _, writer = await connect_slow(proxy.port)
        writer.write(request())
        await asyncio.sleep(0.3)
        proxy.process.terminate()
        await proxy.wait_for_event('drain_limit_passed')
        assert await proxy.process.wait() == 0
        writer.close()
