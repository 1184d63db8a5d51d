"""Stand-in for a configuration daemon whose document never changes."""

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

from aiohttp import web

from crocusproxy.config.model import Document, Service, Upstream
from crocusproxy.membership.view import InstanceView
from crocusproxy.protocol.codec import encode


def one_service(address: str, slots: int, count: int = 1) -> Document:
    """Return a document with service ``s`` and ``count`` upstreams.

    All upstreams have the same address.
    """
    upstreams = [
        Upstream(f'u{number}', 's', address, 'fd1', slots)
        for number in range(count)
    ]
    return Document(
        1, {'s': Service('s')}, {entry.key: entry for entry in upstreams}
    )


@asynccontextmanager
async def feed(document: Document) -> AsyncIterator[str]:
    """Serve the feeds of a configuration daemon and yield their address."""
    replies = {'config': encode(document), 'view': encode(InstanceView(1))}

    async def respond(request: web.Request) -> web.Response:
        if int(request.query['after']) > 0:
            await asyncio.Event().wait()
        return web.Response(body=replies[request.match_info['feed']])

    app = web.Application()
    app.router.add_get('/v1/{feed}', respond)
    runner = web.AppRunner(app, access_log=None, shutdown_timeout=0.01)
    await runner.setup()
    await web.TCPSite(runner, '127.0.0.1', 0).start()
    yield f'127.0.0.1:{runner.addresses[0][1]}'
    await runner.cleanup()
