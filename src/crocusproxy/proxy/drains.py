"""Shares the drain notices of upstream responses with other instances.

A drain notice is the header ``Upstream-State: draining`` in a response of an
upstream that is about to stop and should get no new requests.

Without sharing, an instance that sends few requests to an upstream would
receive the notice only much later, and in the response to a request that it
should not have sent to the draining upstream.
"""

import asyncio
from collections.abc import Iterable, Mapping
from datetime import timedelta

from aiohttp import ClientError, ClientSession, ClientTimeout, web

from ..clock import Clock
from ..logs import log
from ..membership.view import Instance
from ..protocol.codec import MalformedMessageError, decode, encode
from ..protocol.drains import DrainNotice
from .service import ServiceScheduler

_TIMEOUT = ClientTimeout(total=1)
# Every response of a draining upstream repeats the notice.
_REPEAT_INTERVAL = timedelta(seconds=1)


class DrainBroadcaster:
    """Applies drain notices and sends those of responses to ``peers``.

    Nothing is sent before ``connect``. Received notices are not sent again.
    """

    def __init__(
        self, schedulers: Mapping[str, ServiceScheduler], clock: Clock
    ) -> None:
        self.schedulers = schedulers
        self.clock = clock
        self.session: ClientSession | None = None
        self.peers: tuple[Instance, ...] = ()
        self.sent_at: dict[DrainNotice, timedelta] = {}
        self.tasks: set[asyncio.Task[None]] = set()

    def connect(self, session: ClientSession) -> None:
        """Send notices through ``session`` from now on."""
        self.session = session

    def update(self, instances: Iterable[Instance], own_name: str) -> None:
        """Send notices to all ``instances`` except ``own_name``."""
        self.peers = tuple(
            instance for instance in instances if instance.name != own_name
        )

    def on_notice(self, notice: DrainNotice) -> None:
        """Apply a notice from a response; send it at most once a second."""
        self._apply(notice)
        now = self.clock.monotonic()
        last_sent_at = self.sent_at.get(notice)
        if last_sent_at is not None and now - last_sent_at < _REPEAT_INTERVAL:
            return
        self._drop_expired(now)
        self.sent_at[notice] = now
        for peer in self.peers:
            task = asyncio.ensure_future(self._send(peer, notice))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def receive(self, request: web.Request) -> web.Response:
        """Serve ``POST /v1/drains``."""
        try:
            notice = decode(DrainNotice, await request.read())
        except MalformedMessageError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        self._apply(notice)
        return web.Response(status=web.HTTPNoContent.status_code)

    def _apply(self, notice: DrainNotice) -> None:
        scheduler = self.schedulers.get(notice.service)
        if scheduler is None:
            return
        for upstream in scheduler.upstreams:
            # The replacement of a draining server has another address, so a
            # late notice does not apply to it.
            if upstream.address == notice.address:
                scheduler.balancer.drain(upstream)

    def _drop_expired(self, now: timedelta) -> None:
        for notice, last_sent_at in tuple(self.sent_at.items()):
            if now - last_sent_at >= _REPEAT_INTERVAL:
                self.sent_at.pop(notice)

    async def _send(self, peer: Instance, notice: DrainNotice) -> None:
        if self.session is None:
            return
        url = f'http://{peer.proxy_admin}/v1/drains'
        try:
            async with self.session.post(
                url, data=encode(notice), timeout=_TIMEOUT
            ) as response:
                response.release()
        except (ClientError, TimeoutError) as error:
            log('drain_not_passed_on', instance=peer.name, error=repr(error))
