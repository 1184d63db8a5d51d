"""Keeps the rights of a process renewed through stream ``rights``."""

import asyncio
from datetime import timedelta
from typing import Any, Protocol

from ..clock import Clock
from ..errors import CrocusError
from ..logs import log
from ..platform_client import Page
from ..protocol import codec
from .records import Renewal
from .rights import RightsHolder

_STREAM = 'rights'
_POLL_WAIT = timedelta(seconds=20)
_RETRY_DELAY = timedelta(milliseconds=200)
# Spreads the announcements of instances that see a lower budget together.
_LONGEST_ANNOUNCE_DELAY = timedelta(milliseconds=200)


class LogClient(Protocol):
    """The part of the platform client that the renewer uses."""

    async def append(self, stream: str, data: dict[str, Any]) -> int:
        """Append one record and return its offset."""

    async def read(
        self, stream: str, start: int, wait: timedelta = timedelta()
    ) -> Page:
        """Read records from ``start`` on."""


class RightsRenewer:
    """Appends the holder's proposals and reads the stream for it.

    While the platform is down the rights run out, and probes stop.
    """

    def __init__(
        self, platform: LogClient, clock: Clock, holder: RightsHolder
    ) -> None:
        self.platform = platform
        self.clock = clock
        self.holder = holder
        self.changed = asyncio.Event()
        self.tasks: tuple[asyncio.Task[None], ...] = ()

    async def start(self) -> None:
        """Start to read and to renew."""
        self.tasks = (
            asyncio.create_task(self._follow()),
            asyncio.create_task(self._renew()),
        )

    async def stop(self) -> None:
        """Stop; the rights run out by themselves."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def budgets_changed(self) -> None:
        """Note that the holder was configured anew, perhaps with less."""
        self.changed.set()

    def take(self, page: Page) -> None:
        """Apply a page to the holder."""
        now = self.clock.monotonic()
        self.holder.begin_page(page.first, now)
        for record in page.records:
            self.holder.read(record.offset, _renewal_of(record.data), now)

    async def _follow(self) -> None:
        while True:
            table = self.holder.table
            # On an empty stream, a first long poll would delay the term that
            # a process waits after its start.
            wait = _POLL_WAIT if table.started else timedelta()
            try:
                page = await self.platform.read(_STREAM, table.next, wait)
            except CrocusError as error:
                log('rights_unreadable', error=str(error))
                await self.clock.sleep(_RETRY_DELAY)
            else:
                self.take(page)

    async def _renew(self) -> None:
        settings = self.holder.settings
        while True:
            await self._append_proposal()
            try:
                await asyncio.wait_for(
                    self.changed.wait(), settings.renew_every.total_seconds()
                )
            except TimeoutError:
                continue
            self.changed.clear()
            share = self.holder.random.random()
            await self.clock.sleep(_LONGEST_ANNOUNCE_DELAY * share)

    async def _append_proposal(self) -> None:
        proposal = self.holder.propose(self.clock.monotonic())
        if proposal is None:
            return
        try:
            await self.platform.append(_STREAM, codec.to_plain(proposal))
        except CrocusError as error:
            # If it took effect all the same, it is found on reading.
            log('rights_not_renewed', error=str(error))


def _renewal_of(data: dict[str, Any]) -> Renewal | None:
    try:
        return codec.from_plain(Renewal, data)
    except codec.MalformedMessageError as error:
        log('rights_record_malformed', error=str(error))
        return None
