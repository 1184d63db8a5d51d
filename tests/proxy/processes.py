"""Starts ``crocus-proxy`` processes that follow an in-process feed."""

import asyncio
import json
import sys
from contextlib import asynccontextmanager

from standins.feed import feed, one_service
from standins.scripted import (
    read_message,
)
from tests.proxy.harness import (
    request,
)

COMMAND = 'from crocusproxy.proxy.main import main; main()'


class ProxyProcess:
    """Keeps the first log line of each event type in ``events``."""

    def __init__(self):
        self.events = {}

    async def start(self, folder, feed_address, **settings):
        loopback = {'host': '127.0.0.1', 'port': 0}
        path = folder / 'proxy.yaml'
        document = {
            'instance': {'name': 'i1', 'failure_domain': 'fd1'},
            'listen': loopback,
            'admin': loopback,
            'feeds': [feed_address],
            'locate_validity': '1ms',
            **settings,
        }
        path.write_text(json.dumps(document))
        self.process = await asyncio.create_subprocess_exec(
            sys.executable, '-c', COMMAND, str(path),
            stderr=asyncio.subprocess.PIPE,
        )  # fmt: skip
        listening = await self.wait_for_event('listening')
        self.port = listening['port']
        self.admin_port = listening['admin_port']
        await self.wait_for_event('configuration_applied')

    async def wait_for_event(self, event):
        while event not in self.events:
            line = await self.process.stderr.readline()
            if not line:
                status = await self.process.wait()
                raise AssertionError(f'{status} {list(self.events)}')
            entry = json.loads(line)
            self.events.setdefault(entry.get('message_type'), entry)
        return self.events[event]

    async def connect(self, sent=b'', port=None):
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', port or self.port
        )
        writer.write(sent)
        return reader, writer

    async def call(self, line=b'GET /s/x', headers=b'', port=None):
        reader, writer = await self.connect(request(line, headers), port)
        response = await read_message(reader)
        writer.close()
        return response

    async def admin(self, path):
        return await self.call(b'GET ' + path, port=self.admin_port)


@asynccontextmanager
async def proxy_process(folder, upstream, **settings):
    """Yield a proxy process in front of a scripted upstream."""
    await upstream.start()
    proxy = ProxyProcess()
    async with feed(one_service(upstream.address, slots=2)) as address:
        try:
            await proxy.start(folder, address, **settings)
            yield proxy
        finally:
            if proxy.process.returncode is None:
                proxy.process.kill()
            await proxy.process.wait()
            upstream.kill()
