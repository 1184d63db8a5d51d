"""HTTP ports of an entry instance other than the port for requests."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta

from aiohttp import web

from ..application import serve
from ..http_server.input_limits import InputBudget
from ..http_server.server import PortLimits
from ..settings import Listen

_UNAVAILABLE = 503


@dataclass(frozen=True, slots=True)
class AddressList:
    """Addresses for a caller and how long it may use them."""

    addresses: tuple[str, ...]
    validity: timedelta


@dataclass(frozen=True, slots=True)
class DirectoryApi:
    """Paths of the directory and readiness ports, and the address format.

    The query parameter ``failure_domain`` has the caller's failure domain.
    """

    resolve_path: str
    readiness_path: str
    failure_domain: str
    encode_addresses: Callable[[AddressList], bytes]


#: Time for requests in flight when a port is closed. Relayed long polls of
#: other instances last much longer; these instances fail over to another path.
_CLOSE_TIMEOUT = timedelta(milliseconds=100)


#: Shares of the descriptors that connections of a port may take.
_DIRECTORY_SHARE = 0.06
_DESCRIPTOR_SHARE = 0.03


class Listeners:
    """Serves the address list and the readiness of this instance.

    ``addresses`` returns the list for callers of a failure domain.
    ``not_ready_reason`` returns why the instance is not ready, or an empty
    string.
    """

    def __init__(
        self,
        api: DirectoryApi,
        addresses: Callable[[str], Awaitable[AddressList]],
        not_ready_reason: Callable[[], str],
        input_budget: InputBudget | None = None,
    ) -> None:
        self.input_budget = input_budget or InputBudget()
        self.api = api
        self.addresses = addresses
        self.not_ready_reason = not_ready_reason
        self.runners: list[web.AppRunner] = []

    async def open(self, directory: Listen, readiness: Listen) -> None:
        """Listen on the directory port and the readiness port."""
        await self.add(
            directory,
            [web.get(self.api.resolve_path, self._resolve)],
            _DIRECTORY_SHARE,
        )
        await self.add(
            readiness, [web.get(self.api.readiness_path, self._ready)]
        )

    async def add(
        self,
        listen: Listen,
        routes: list[web.RouteDef],
        descriptor_share: float = _DESCRIPTOR_SHARE,
    ) -> None:
        """Listen on one more port.

        Its connections may take ``descriptor_share`` of the descriptors.
        """
        application = web.Application()
        application.add_routes(routes)
        runner = await serve(
            application,
            listen.host,
            listen.port,
            _CLOSE_TIMEOUT,
            PortLimits(descriptor_share, input_budget=self.input_budget),
        )
        self.runners.append(runner)

    async def close(self) -> None:
        """Close all ports at the same time."""
        await asyncio.gather(*(runner.cleanup() for runner in self.runners))

    async def _resolve(self, request: web.Request) -> web.Response:
        address_list = await self.addresses(
            request.query.get(self.api.failure_domain, '')
        )
        if not address_list.addresses:
            return web.json_response(
                {'code': 'no_address'}, status=_UNAVAILABLE
            )
        return web.Response(
            body=self.api.encode_addresses(address_list),
            content_type='application/json',
        )

    async def _ready(self, _: web.Request) -> web.Response:
        reason = self.not_ready_reason()
        status = _UNAVAILABLE if reason else web.HTTPOk.status_code
        return web.json_response({'not_ready': reason}, status=status)
