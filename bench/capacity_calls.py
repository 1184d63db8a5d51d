"""Processor time and memory of ``crocus-proxy``, by calls and connections.

The figures are read from ``/metrics`` of the process. Run
``python -m bench.capacity_calls``; it takes about half a minute.
"""

import asyncio
import json
import re
import sys
import tempfile
from contextlib import AsyncExitStack
from pathlib import Path

import fire
import uvloop
from aiohttp import ClientSession

from standins.feed import feed, one_service

from .call_cost import (
    call,
    free_port,
    process,
    wait_until_serving,
    write_settings,
)
from .fitting import measure, print_table, write_json

_CALLS = (4000, 8000, 16000, 32000)
_CONNECTIONS = (50, 100, 200, 400)
_CONCURRENCY = 8
_WARM_UP_CALLS = 4000
_UPSTREAMS = 15
_SLOTS = 2
_RESPONSE_TIMEOUT_SECONDS = 5


class Proxy:
    """A running ``crocus-proxy`` in front of a raw upstream."""

    def __init__(self, port: int, admin: str, session: ClientSession) -> None:
        self.port = port
        self.admin = admin
        self.session = session

    async def metric(self, name: str) -> float:
        """Return the present value of an unlabelled metric."""
        async with self.session.get(f'http://{self.admin}/metrics') as response:
            text = await response.text()
        match = re.search(rf'^{name} (\S+)$', text, re.MULTILINE)
        return float(match.group(1))

    async def cpu_us(self, calls: int) -> float:
        """Return the processor time of ``calls`` calls in microseconds."""
        before = await self.metric('process_cpu_seconds_total')
        await call(self.port, '/s/x', _CONCURRENCY, calls)
        after = await self.metric('process_cpu_seconds_total')
        return (after - before) * 1e6

    async def memory_bytes(self, connections: int) -> float:
        """Return the resident bytes with ``connections`` idle connections."""
        streams = [
            await asyncio.open_connection('127.0.0.1', self.port)
            for _ in range(connections)
        ]
        # One at a time, since a caller may queue only a few requests.
        for reader, writer in streams:
            writer.write(b'GET /s/x HTTP/1.1\r\nHost: bench\r\n\r\n')
            async with asyncio.timeout(_RESPONSE_TIMEOUT_SECONDS):
                await reader.readexactly(1024)
        resident = await self.metric('process_resident_memory_bytes')
        for _, writer in streams:
            writer.close()
        return resident


async def _run(json_file: str) -> None:
    async with AsyncExitStack() as stack:
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        session = await stack.enter_async_context(ClientSession())
        upstream, port = free_port(), free_port()
        document = one_service(f'127.0.0.1:{upstream}', _SLOTS, _UPSTREAMS)
        feed_address = await stack.enter_async_context(feed(document))
        settings = write_settings(directory, port, feed_address)
        admin = json.loads(Path(settings).read_text())['admin']
        for command in (
            ('-m', 'bench.call_cost_servers', 'upstream', str(upstream)),
            (
                '-c',
                'from crocusproxy.proxy.main import main; main()',
                settings,
            ),
        ):
            await stack.enter_async_context(process(sys.executable, *command))
        await wait_until_serving(port, '/s/x')
        proxy = Proxy(port, f'127.0.0.1:{admin["port"]}', session)
        idle_bytes = await proxy.metric('process_resident_memory_bytes')
        await proxy.cpu_us(_WARM_UP_CALLS)
        cpu = {calls: await proxy.cpu_us(calls) for calls in _CALLS}
        memory = {n: await proxy.memory_bytes(n) for n in _CONNECTIONS}
        slopes = (
            measure('calls of 1 KiB', 'call', 'us', _CALLS, cpu.get),
            measure(
                'resident memory',
                'connection of a caller',
                'B',
                _CONNECTIONS,
                memory.get,
            ),
        )
        print_table(slopes)
        write_json(slopes, json_file)
        print(f'resident memory at rest: {idle_bytes / 1e6:.1f} MB')


def main(json_file: str = '') -> None:
    """Print the slopes; write them to ``json_file`` if it is given."""
    uvloop.run(_run(json_file))


if __name__ == '__main__':
    fire.Fire(main)
