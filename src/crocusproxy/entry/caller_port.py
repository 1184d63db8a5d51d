"""The port for callers."""

import asyncio
from functools import partial

from ..http_server.input_limits import limit_port
from ..settings import Listen
from .connection_limit import limit_for_process
from .gateway import Gateway

_BACKLOG = 512


async def open_caller_port(
    gateway: Gateway, listen: Listen
) -> asyncio.AbstractServer:
    """Accept callers' connections, as many as there are descriptors for."""
    loop = asyncio.get_running_loop()
    connection_limit = limit_for_process(gateway)
    server = await loop.create_server(
        partial(connection_limit.connect, loop),
        listen.host,
        listen.port,
        backlog=_BACKLOG,
        start_serving=False,
    )
    limit_port(server)
    await server.start_serving()
    return server
