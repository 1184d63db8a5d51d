"""Renews the rights of a process through the stream ``rights``."""

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
# Spreads the announcements of instances that receive a lower budget at once.
_MAX_ANNOUNCE_DELAY = timedelta(milliseconds=200)


class LogClient(Protocol):
    """The methods of the platform client that the renewer uses."""

    async def append(self, stream: str, data: dict[str, Any]) -> int:
        """Append one record and return its offset."""

    async def read(
        self, stream: str, start: int, wait: timedelta = timedelta()
    ) -> Page:
        """Read records from offset ``start`` on."""


class RightsRenewer:
    """Appends the renewals of a holder and reads the stream for it.

    While the platform is down, the rights expire and probes stop.
    """

    def __init__(
        self, platform: LogClient, clock: Clock, holder: RightsHolder
    ) -> None:
        self.platform = platform
        self.clock = clock
        self.holder = holder
        self.budget_change = asyncio.Event()
        self.tasks: tuple[asyncio.Task[None], ...] = ()

    async def start(self) -> None:
        """Start reading and renewing."""
        self.tasks = (
            asyncio.create_task(self._read_stream()),
            asyncio.create_task(self._renew()),
        )

    async def stop(self) -> None:
        """Stop reading and renewing; the rights then expire."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def budgets_changed(self) -> None:
        """Trigger a renewal after the holder was configured anew."""
        self.budget_change.set()

    def apply_page(self, page: Page) -> None:
        """Apply a page to the holder."""
        now = self.clock.monotonic()
        self.holder.begin_page(page.first, now)
        for record in page.records:
            self.holder.apply_record(
                record.offset, _renewal_of(record.data), now
            )

    async def _read_stream(self) -> None:
        while True:
            table = self.holder.table
            # A process acquires no rights until one term after its first read,
            # which a long poll of an empty stream would delay.
            wait = _POLL_WAIT if table.has_read else timedelta()
            try:
                page = await self.platform.read(
                    _STREAM, table.next_offset, wait
                )
            except CrocusError as error:
                log('rights_unreadable', error=str(error))
                await self.clock.sleep(_RETRY_DELAY)
            else:
                self.apply_page(page)

    async def _renew(self) -> None:
        settings = self.holder.settings
        while True:
            await self._append_renewal()
            try:
                await asyncio.wait_for(
                    self.budget_change.wait(),
                    settings.renew_every.total_seconds(),
                )
            except TimeoutError:
                continue
            self.budget_change.clear()
            delay_share = self.holder.random.random()
            await self.clock.sleep(_MAX_ANNOUNCE_DELAY * delay_share)

    async def _append_renewal(self) -> None:
        renewal = self.holder.propose(self.clock.monotonic())
        if renewal is None:
            return
        try:
            await self.platform.append(_STREAM, codec.to_plain(renewal))
        except CrocusError as error:
            # If the append took effect nevertheless, it is read later.
            log('rights_not_renewed', error=str(error))


def _renewal_of(data: dict[str, Any]) -> Renewal | None:
    try:
        return codec.decode_plain(Renewal, data)
    except codec.MalformedMessageError as error:
        log('rights_record_malformed', error=str(error))
        return None
