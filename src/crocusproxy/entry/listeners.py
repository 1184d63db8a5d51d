"""The ports of an entry instance besides that for requests."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from aiohttp import web

from ..application import serve
from ..settings import Listen

_UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class AddressList:
    """Where a caller may connect, and for how long it may rely on that."""

    addresses: tuple[str, ...]
    validity: timedelta


@dataclass(frozen=True, slots=True)
class DirectoryPaths:
    """Paths of the deployment, and how it writes an address list."""

    resolve: str
    readiness: str
    encode: Callable[[AddressList], bytes]


#: Reads that are relayed for other instances wait for news much longer; those
#: instances go on by another way.
_CLOSE_TIMEOUT = timedelta(milliseconds=100)


class Listeners:
    """Answers where to connect, and whether this instance is ready.

    ``addresses`` returns what callers are told; ``not_ready`` a reason, or an
    empty text.
    """

    def __init__(
        self,
        paths: DirectoryPaths,
        addresses: Callable[[], AddressList],
        not_ready: Callable[[], str],
    ) -> None:
        self.paths = paths
        self.addresses = addresses
        self.not_ready = not_ready
        self.runners: list[web.AppRunner] = []

    async def open(self, directory: Listen, readiness: Listen) -> None:
        """Listen on both ports."""
        await self.add(directory, [web.get(self.paths.resolve, self._resolve)])
        await self.add(readiness, [web.get(self.paths.readiness, self._ready)])

    async def add(self, listen: Listen, routes: list[web.RouteDef]) -> None:
        """Listen on one more port."""
        application = web.Application()
        application.add_routes(routes)
        runner = await serve(
            application, listen.host, listen.port, _CLOSE_TIMEOUT
        )
        self.runners.append(runner)

    async def close(self) -> None:
        """Close all ports."""
        for runner in self.runners:
            await runner.cleanup()

    async def _resolve(self, _: web.Request) -> web.Response:
        listed = self.addresses()
        if not listed.addresses:
            return web.json_response(
                {'code': 'no_address'}, status=_UNAVAILABLE
            )
        return web.Response(
            body=self.paths.encode(listed), content_type='application/json'
        )

    async def _ready(self, _: web.Request) -> web.Response:
        reason = self.not_ready()
        status = _UNAVAILABLE if reason else web.HTTPOk.status_code
        return web.json_response({'not_ready': reason}, status=status)
