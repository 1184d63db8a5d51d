"""Guards the memory use, graceful shutdown and crash of the daemon."""

import asyncio
import json
from pathlib import Path

import pytest

from standins.scripted import (
    OK,
    ScriptedUpstream,
    answering,
    read_message,
)
from tests.proxy.harness import (
    request,
)
from tests.proxy.processes import proxy_process

MAX_RESIDENT_KB = 80 * 1024


async def test_an_idle_process_limits_its_memory_and_serves_admin_requests(
    tmp_path,
):
    upstream = ScriptedUpstream(answering())
    async with proxy_process(tmp_path, upstream) as proxy:
        assert (await proxy.call()).status == 200
        for path in (b'/healthz', b'/readyz', b'/metrics'):
            assert (await proxy.admin(path)).status == 200
        burn = json.loads((await proxy.admin(b'/v1/burn')).body)
        assert burn['services']['s'][0]['good'] == 1
        status = Path(f'/proc/{proxy.process.pid}/status').read_text()
        [line] = [one for one in status.split('\n') if 'VmRSS' in one]
        assert int(line.split()[1]) <= MAX_RESIDENT_KB


async def test_graceful_shutdown_completes_requests_in_flight(tmp_path):
    arrived, gate = asyncio.Event(), asyncio.Event()

    async def script(upstream, reader, writer):
        sent = await upstream.read(reader)
        if 'slow' in sent.start_line:
            arrived.set()
            await gate.wait()
        writer.write(OK)

    upstream = ScriptedUpstream(script)
    async with proxy_process(tmp_path, upstream) as proxy:
        reader, _ = await proxy.connect(request(b'GET /s/slow'))
        other = await proxy.connect()
        admin = await proxy.connect(port=proxy.admin_port)
        await arrived.wait()
        proxy.process.terminate()
        await proxy.wait_for_event('draining')
        proxy.process.terminate()
        admin[1].write(request(b'GET /readyz'))
        assert (await read_message(admin[0])).status == 503
        other[1].write(request())
        response = await read_message(other[0])
        assert response.status == 200
        assert response.headers['connection'] == 'close'
        await proxy.wait_for_event('port_closed')
        assert proxy.process.returncode is None
        gate.set()
        response = await read_message(reader)
        assert (response.status, response.body) == (200, b'ok')
        assert await proxy.process.wait() == 0


@pytest.mark.parametrize('step', ['accepted', 'read', 'half answered'])
async def test_a_killed_proxy_sends_no_response_and_no_second_request(
    step, tmp_path
):
    reached = asyncio.Event()

    async def pause(upstream, reader):
        reached.set()
        await reader.read()
        raise ConnectionError

    async def script(upstream, reader, writer):
        if step == 'accepted':
            await pause(upstream, reader)
        await upstream.read(reader)
        if step == 'half answered':
            writer.write(OK[:-1])
        await pause(upstream, reader)

    upstream = ScriptedUpstream(script)
    async with proxy_process(tmp_path, upstream) as proxy:
        reader, _ = await proxy.connect(request())
        await reached.wait()
        proxy.process.kill()
        assert await reader.read() == b''
        await upstream.closed.wait()
        assert upstream.connections == 1
        assert len(upstream.requests) == (step != 'accepted')
