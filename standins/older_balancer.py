"""Stand-in for the balancer that crocusproxy replaces.

It sends requests to the upstreams in round-robin order and ignores their load,
draining and idempotency keys. Run with
``python -m standins.older_balancer --port 7200 --upstreams 127.0.0.1:7100``.
"""

from itertools import cycle

import fire
import uvloop
from aiohttp import ClientError, ClientSession, TCPConnector, web
from multidict import CIMultiDict

_CONNECTION_HEADERS = ('Host', 'Connection', 'Transfer-Encoding')
_MAX_BODY_BYTES = 64 * 1024 * 1024


class OlderBalancer:
    def __init__(self, upstreams: list[str]) -> None:
        self.round_robin = cycle(upstreams)
        self.session: ClientSession | None = None

    def application(self) -> web.Application:
        app = web.Application(client_max_size=_MAX_BODY_BYTES)
        app.router.add_route('*', '/{service}/{path:.*}', self.forward)
        app.on_startup.append(self.open)
        app.on_cleanup.append(self.close)
        return app

    async def open(self, _: web.Application) -> None:
        self.session = ClientSession(
            connector=TCPConnector(limit=0), auto_decompress=False
        )

    async def close(self, _: web.Application) -> None:
        await self.session.close()

    async def forward(self, request: web.Request) -> web.Response:
        path = request.rel_url.raw_path_qs.split('/', 2)[2]
        try:
            async with self.session.request(
                request.method,
                f'http://{next(self.round_robin)}/{path}',
                data=await request.read(),
                headers=_end_to_end(request.headers),
            ) as response:
                return web.Response(
                    status=response.status,
                    body=await response.read(),
                    headers=_end_to_end(response.headers),
                )
        except (ClientError, TimeoutError) as error:
            raise web.HTTPBadGateway(text=repr(error)) from error


def _end_to_end(headers: CIMultiDict) -> CIMultiDict:
    copied = CIMultiDict(headers)
    for name in _CONNECTION_HEADERS:
        copied.popall(name, None)
    return copied


def main(port: int, upstreams: str, host: str = '127.0.0.1') -> None:
    """Serve until SIGTERM; ``upstreams`` are IP:port, separated by commas."""
    uvloop.install()
    addresses = upstreams if isinstance(upstreams, tuple) else [upstreams]
    web.run_app(
        OlderBalancer(list(addresses)).application(),
        host=host,
        port=port,
        print=None,
        access_log=None,
    )


if __name__ == '__main__':
    fire.Fire(main)
