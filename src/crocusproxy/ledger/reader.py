"""Reads stream ``claims`` into the registry, continuously and on demand."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from ..clock import Clock
from ..errors import CrocusError
from ..logs import log
from ..platform_client import PAGE_SIZE, Page
from ..protocol import codec
from .claim_registry import ClaimRegistry, OwnClaim
from .platform import STREAM, LogClient
from .records import Batch

_POLL_WAIT = timedelta(seconds=20)
_RETRY_DELAY = timedelta(milliseconds=100)


class ClaimsReader:
    """Follows the stream; reports decided claims to ``on_decided``."""

    def __init__(
        self,
        platform: LogClient,
        registry: ClaimRegistry,
        clock: Clock,
        on_decided: Callable[[OwnClaim], None],
    ) -> None:
        self.platform = platform
        self.registry = registry
        self.clock = clock
        self.on_decided = on_decided
        # The latest read to the end that was started, and the next one.
        self.running_read: asyncio.Task[bool] | None = None
        self.queued_read: asyncio.Task[bool] | None = None

    async def follow(self) -> None:
        """Read until cancelled; retry while the platform is down."""
        while True:
            try:
                await self._read(_POLL_WAIT)
            except CrocusError as error:
                log('claims_unreadable', error=str(error))
                await self.clock.sleep(_RETRY_DELAY)

    async def read_to_end(self) -> bool:
        """Read every record that is in the stream at the time of the call.

        Return False if the platform did not respond. Concurrent calls share
        one read, which starts after the running read has ended.
        """
        if self.queued_read is None:
            self.queued_read = asyncio.create_task(
                self._read_after(self.running_read)
            )
        return await asyncio.shield(self.queued_read)

    def apply_page(self, page: Page) -> None:
        """Apply a page, skipping records that were applied before."""
        self.registry.table.skip_to(page.first)
        for record in page.records:
            batch = _decode_batch(record.data)
            for own_claim in self.registry.apply_record(
                record.offset, record.time, batch
            ):
                self.on_decided(own_claim)

    async def _read_after(self, previous: asyncio.Task[bool] | None) -> bool:
        if previous:
            await asyncio.wait((previous,))
        self.running_read = self.queued_read
        self.queued_read = None
        try:
            await self._read_pages()
        except CrocusError as error:
            log('claims_unreadable', error=str(error))
            return False
        return True

    async def _read_pages(self) -> None:
        count = PAGE_SIZE
        while count >= PAGE_SIZE:  # a shorter page reaches the end
            count = await self._read(timedelta())

    async def _read(self, wait: timedelta) -> int:
        page = await self.platform.read(
            STREAM, self.registry.table.next_offset, wait
        )
        self.apply_page(page)
        return len(page.records)


def _decode_batch(data: dict[str, object]) -> Batch | None:
    try:
        return codec.from_plain(Batch, data)
    except codec.MalformedMessageError as error:
        log('claims_record_malformed', error=str(error))
        return None
