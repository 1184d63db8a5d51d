"""Distribution of crash reports among the instances.

A request that crashes the upstreams that run it can reach every domain home,
and the successor of a home. Without the reports of the others, each would lose
two upstreams to it.
"""

import asyncio
from collections.abc import Callable

from aiohttp import web

from ..errors import NotReachableError
from ..logs import log
from ..protocol.codec import MalformedMessageError, decode
from ..protocol.home_feed import CrashReport, FeedMessage
from .home_elector import HomeElector
from .member_client import CRASH_PATH, MemberClient


class CrashExchange:
    """Sends reports to the home, which passes them on with its feed.

    ``apply`` receives the reports of other members.
    """

    def __init__(
        self,
        client: MemberClient,
        elector: HomeElector,
        apply: Callable[[CrashReport], None],
    ) -> None:
        self.client = client
        self.elector = elector
        self.apply = apply
        self.tasks: set[asyncio.Task[None]] = set()
        elector.on_crash_report.append(apply)

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the internal port."""
        return [web.post(CRASH_PATH, self._handle)]

    def send(self, report: CrashReport) -> None:
        """Send a report to the home's followers and other domain homes."""
        elector = self.elector
        if elector.is_home:
            self._publish(report)
            return
        has_domain_homes = bool(elector.domain_homes.assignment.homes)
        if has_domain_homes and elector.home is not None:
            address = elector.home.internal
            task = asyncio.create_task(self._post(address, report))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    async def _post(self, address: str, report: CrashReport) -> None:
        try:
            await self.client.report_crash(address, report)
        except NotReachableError as error:
            # The other domain homes can still detect the crash themselves.
            log('crash_report_not_sent', address=address, error=str(error))

    async def _handle(self, request: web.Request) -> web.Response:
        try:
            report = decode(CrashReport, await request.read())
        except MalformedMessageError as error:
            return web.Response(status=400, text=str(error))
        self.apply(report)
        self._publish(report)
        return web.Response()

    def _publish(self, report: CrashReport) -> None:
        self.elector.server.publish(FeedMessage(crash_reports=(report,)))
