"""Exchange of quota reports between the domain homes."""

import asyncio
from collections.abc import Callable, Hashable

from aiohttp import web

from ..clock import Clock
from ..errors import NotReachableError
from ..limits.account_quota import AccountQuotas
from ..limits.quota_division import (
    Division,
    PartOfQuota,
    SharedQuota,
    SplitQuota,
    WholeQuota,
)
from ..logs import log
from ..protocol.codec import MalformedMessageError, decode, encode
from ..protocol.home_feed import Member
from ..protocol.quotas import QuotaReport
from .member_client import QUOTA_PATH, MemberClient, UnknownMessageError
from .member_list import MemberList
from .quota_reports import QuotaReports

INTERVAL_SECONDS = 0.1


class QuotaExchange:
    """Reports taken tokens and divides the quotas among the instances.

    Nothing is reported while no account has a quota. ``find_homes`` returns a
    value that changes as soon as another home, or other domain homes, dispatch.
    """

    def __init__(
        self,
        client: MemberClient,
        member_list: MemberList,
        quotas: AccountQuotas,
        clock: Clock,
    ) -> None:
        self.client = client
        self.member_list = member_list
        self.quotas = quotas
        self.clock = clock
        self.is_dispatcher = False
        self.is_reporting = False
        self.reports = QuotaReports(member_list.own, self._apply_takes)
        self.posting: dict[str, asyncio.Task[None]] = {}
        self.find_homes: Callable[[], Hashable] = _no_homes
        self.homes: Hashable = None
        self.generation = 0
        quotas.unreported = self.reports.unreported
        quotas.on_take = self.reports.record

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the internal port."""
        return [web.post(QUOTA_PATH, self._handle)]

    def set_role(
        self, *, is_dispatcher: bool, others: tuple[Member, ...]
    ) -> None:
        """Set whether this instance dispatches, and the other domain homes."""
        self.is_dispatcher = is_dispatcher
        self.reports.update_peers(others, self._now())
        self.update_division()

    def update_division(self) -> None:
        """Divide the quotas by the role and by the reports so far."""
        if self.quotas.has_limits and not self.is_reporting:
            self.reports.restart(self._now())
        self.is_reporting = self.quotas.has_limits
        division = self._division()
        was_split = isinstance(self.quotas.division, SplitQuota)
        match division:
            case SplitQuota(homes=homes) if not was_split:
                log('quotas_split', homes=homes)
            case WholeQuota() | SharedQuota() | PartOfQuota() if was_split:
                log('quotas_split_ended')
        self.quotas.apply_division(division, self._now())

    async def run(self) -> None:
        """Post reports periodically, until cancelled."""
        while True:
            await asyncio.sleep(INTERVAL_SECONDS)
            self.update_division()
            if self.is_reporting:
                self._post_reports()

    def _division(self) -> Division:
        if not self.is_dispatcher:
            return self._part()
        homes = self.reports.quota_peer_count() + 1
        if homes == 1 or not self.is_reporting:
            return WholeQuota()
        if self.reports.is_split(self._now()):
            return SplitQuota(homes)
        return SharedQuota(homes)

    def _part(self) -> PartOfQuota:
        """Return the part of this instance, by its place among the members."""
        count = len(self.member_list.members)
        if not self.is_reporting:
            return PartOfQuota(count)
        return PartOfQuota(
            count,
            self.member_list.own_position(),
            self._current_generation(),
        )

    def _current_generation(self) -> int:
        homes = self.find_homes()
        if homes != self.homes:
            self.homes = homes
            self.generation += 1
        return self.generation

    def _post_reports(self) -> None:
        for name, peer in self.reports.peers.items():
            if name not in self.posting:
                self._post(name, peer.address)

    def _post(self, name: str, address: str) -> None:
        task = asyncio.create_task(self._report(name, address))
        self.posting[name] = task
        task.add_done_callback(lambda _: self.posting.pop(name))

    async def _report(self, name: str, address: str) -> None:
        report = self.reports.report_to(name, self._now())
        if report is None:
            return
        try:
            reply = await self.client.report_quotas(address, report)
        except UnknownMessageError:
            self.reports.exclude(name, report)
            self.update_division()
            return
        except (NotReachableError, MalformedMessageError):
            # The quotas are split if there are no reports for longer.
            return
        now = self._now()
        self.reports.receive(reply, now)
        self.reports.confirm(name, report, now)
        self.update_division()

    async def _handle(self, request: web.Request) -> web.Response:
        try:
            report = decode(QuotaReport, await request.read())
        except MalformedMessageError as error:
            return web.Response(status=400, text=str(error))
        now = self._now()
        self.reports.receive(report, now)
        self.update_division()
        reply = self.reports.report_to(report.sender, now)
        if reply is None:
            return web.Response(status=409, text='not a domain home here')
        return web.Response(body=encode(reply))

    def _apply_takes(self, account: str, tokens: int) -> None:
        self.quotas.apply_takes(account, tokens, self._now())

    def _now(self) -> float:
        return self.clock.monotonic().total_seconds()


def _no_homes() -> None:
    """Return the same at all times, as without homes."""
