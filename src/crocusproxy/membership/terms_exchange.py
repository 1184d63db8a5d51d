"""Distribution of the terms that upstreams state among the instances.

The successor of a home would otherwise begin as if no upstream had stated a
rate limit or that it leaves, and so would an instance after a restart.
"""

import asyncio

from aiohttp import web

from ..errors import NotReachableError
from ..logs import log
from ..placement.upstream_terms import TermsTable
from ..protocol.codec import MalformedMessageError, decode
from ..protocol.home_feed import FeedMessage, StatedTerms
from .home_elector import HomeElector
from .member_client import TERMS_PATH, MemberClient

#: Changes of this time are sent together.
BATCH_SECONDS = 0.1


class TermsExchange:
    """Sends changed terms to the home, and with the feed to all followers."""

    def __init__(
        self, client: MemberClient, elector: HomeElector, table: TermsTable
    ) -> None:
        self.client = client
        self.elector = elector
        self.table = table
        self.unsent: dict[str, StatedTerms] = {}
        self.unsent_own: dict[str, StatedTerms] = {}
        self.tasks: set[asyncio.Task[None]] = set()
        table.on_change.append(self._add)

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the internal port."""
        return [web.post(TERMS_PATH, self._handle)]

    def _add(self, stated: StatedTerms, is_own: bool) -> None:
        if not self.unsent:
            loop = asyncio.get_running_loop()
            loop.call_later(BATCH_SECONDS, self._send)
        self.unsent[stated.key] = stated
        if is_own:
            self.unsent_own[stated.key] = stated

    def _send(self) -> None:
        elector = self.elector
        elector.server.publish(FeedMessage(terms=tuple(self.unsent.values())))
        own = tuple(self.unsent_own.values())
        self.unsent.clear()
        self.unsent_own.clear()
        if own and elector.home is not None and not elector.is_home:
            message = FeedMessage(terms=own)
            task = asyncio.create_task(
                self._post(elector.home.internal, message)
            )
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _post(self, address: str, message: FeedMessage) -> None:
        try:
            await self.client.report_terms(address, message)
        except NotReachableError as error:
            # Each instance learns the terms from its first response too.
            log('upstream_terms_not_sent', address=address, error=str(error))

    async def _handle(self, request: web.Request) -> web.Response:
        try:
            message = decode(FeedMessage, await request.read())
        except MalformedMessageError as error:
            return web.Response(status=400, text=str(error))
        now = self.elector.clock.monotonic().total_seconds()
        self.table.apply(message.terms, now)
        return web.Response()
