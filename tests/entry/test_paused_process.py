"""Guards against requests that are lost because an instance got no processor.

It read them only after it had ended their connections.
"""

import asyncio
import json
import signal
from contextlib import asynccontextmanager

import pytest

from ..platform.test_wire import CONFIG
from .test_process import run_instances

CALLERS = 10
#: Share of the shutdown time of 3 s after which the port closes.
PORT_CLOSE_SECONDS = 0.7 * 3
LEAD_SECONDS = 0.1
#: What arrives before the process has stopped is read with its events.
STOPPED_SECONDS = 0.05
PAUSE_SECONDS = 0.35
IDLE_TIMEOUT_SECONDS = 0.5
#: The instance allows more, and checks at this interval.
IDLE_MARGIN_SECONDS = 1.0
ANSWERS = {200, 503}


class Caller:
    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, instance):
        port = instance.ports['callers']
        return cls(*await asyncio.open_connection('127.0.0.1', port))

    async def send(self, name):
        self.writer.write(
            'GET /y/1 HTTP/1.1\r\nHost: a.example\r\n'
            f'X-Crocusproxy-Request-Id: {name}\r\n'
            'X-Crocusproxy-Deadline-Milliseconds: 900\r\n\r\n'.encode()
        )
        await self.writer.drain()

    async def status(self):
        """Return the status of a response, 0 if the connection ended."""
        try:
            head = await self.reader.readuntil(b'\r\n\r\n')
        except (asyncio.IncompleteReadError, ConnectionError):
            return 0
        length = head.lower().split(b'content-length: ')[1].split(b'\r')[0]
        await self.reader.readexactly(int(length))
        return int(head.split()[1])


async def open_callers(instance):
    return [await Caller.open(instance) for _ in range(CALLERS)]


async def open_used(instance):
    """Return callers whose connections are idle after a response."""
    callers = await open_callers(instance)
    for number, caller in enumerate(callers):
        await caller.send(f'first-{number}')
        assert await caller.status() == 200
    return callers


@asynccontextmanager
async def paused(instance, seconds):
    """Give the instance no processor for a time that begins with the body."""
    instance.process.send_signal(signal.SIGSTOP)
    try:
        await asyncio.sleep(STOPPED_SECONDS)
        yield
        await asyncio.sleep(seconds)
    finally:
        instance.process.send_signal(signal.SIGCONT)


async def send_all(callers):
    for number, caller in enumerate(callers):
        await caller.send(f'paused-{number}')


async def statuses(callers):
    async with asyncio.timeout(10):
        return {await caller.status() for caller in callers}


@pytest.mark.parametrize('is_kept', [True, False], ids=['kept', 'new'])
def test_close_of_the_port_serves_what_arrived_in_a_pause(tmp_path, is_kept):
    async def scenario(_, instance):
        callers = await open_used(instance) if is_kept else []
        instance.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(PORT_CLOSE_SECONDS - LEAD_SECONDS)
        async with paused(instance, PAUSE_SECONDS):
            callers = callers or await open_callers(instance)
            await send_all(callers)
        assert await statuses(callers) <= ANSWERS
        assert await asyncio.wait_for(instance.process.wait(), 4) == 0

    run_instances(tmp_path, scenario)


def test_idle_timeout_serves_what_arrived_in_a_pause(tmp_path):
    async def scenario(store, instance):
        limits = {
            **CONFIG['Limits'],
            'IdleTimeoutMs': round(IDLE_TIMEOUT_SECONDS * 1000),
        }
        config = {**CONFIG, 'Version': f'{5:08x}', 'Limits': limits}
        store.put('keyed.op', 'config', json.dumps(config).encode())
        await asyncio.sleep(0.5)
        callers = await open_used(instance)
        await asyncio.sleep(IDLE_TIMEOUT_SECONDS)
        # Each connection passes its limit and a check in the pause.
        async with paused(instance, 2 * IDLE_MARGIN_SECONDS):
            await send_all(callers)
        assert await statuses(callers) == {200}

    run_instances(tmp_path, scenario)
