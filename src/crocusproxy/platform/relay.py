"""Forwards store reads of other instances."""

from datetime import timedelta

from aiohttp import ClientError, ClientSession, ClientTimeout, web

from ..bounded_read import read_bounded
from ..event_loop.peer_timeout import PeerTimeout
from ..logs import log
from .store import INCARNATION_HEADER, RELAY_PREFIX

_READ_ENDPOINTS = frozenset(('log-read', 'log-newest'))
_BAD_REQUEST = 400
_FORBIDDEN = 403
_BAD_GATEWAY = 502


class StoreRelay:
    """Serves instances whose requests the store rejects.

    ``timeout`` bounds each read, not counting the read's own wait time.
    """

    def __init__(
        self, session: ClientSession, address: str, timeout: timedelta
    ) -> None:
        self.session = session
        self.address = address
        self.timeout = timeout

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the internal port."""
        return [web.get(f'{RELAY_PREFIX}/-/{{name}}', self._read)]

    async def _read(self, request: web.Request) -> web.Response:
        name = request.match_info['name']
        if name not in _READ_ENDPOINTS:
            return web.Response(status=_FORBIDDEN)
        wait_ms = request.query.get('WaitMs', '0')
        if not wait_ms.isdecimal():
            return web.Response(status=_BAD_REQUEST, text='WaitMs: no number')
        wait = timedelta(milliseconds=int(wait_ms))
        total = (self.timeout + wait).total_seconds()
        try:
            async with (
                PeerTimeout(total),
                self.session.get(
                    f'http://{self.address}/-/{name}',
                    params=request.query,
                    timeout=ClientTimeout(),
                ) as response,
            ):
                body = await read_bounded(response)
        except (ClientError, TimeoutError) as error:
            log('store_relay_failed', error=repr(error))
            return web.Response(status=_BAD_GATEWAY)
        headers = {
            name: text
            for name, text in response.headers.items()
            if name == INCARNATION_HEADER
        }
        return web.Response(status=response.status, body=body, headers=headers)
