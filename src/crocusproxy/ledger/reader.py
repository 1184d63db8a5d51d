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
    """Follows the stream; ``on_decided`` is called for each own claim."""

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
        # The read to the end that has begun, and the one that has not yet.
        self.current: asyncio.Task[bool] | None = None
        self.queued: asyncio.Task[bool] | None = None

    async def follow(self) -> None:
        """Read until cancelled; try again while the platform is down."""
        while True:
            try:
                await self._read(_POLL_WAIT)
            except CrocusError as error:
                log('claims_unreadable', error=str(error))
                await self.clock.sleep(_RETRY_DELAY)

    async def read_to_end(self) -> bool:
        """Read all that is in the stream when this is called.

        Return False if the platform did not answer. Calls that come while a
        read is running share the next one.
        """
        if self.queued is None:
            self.queued = asyncio.create_task(self._read_after(self.current))
        return await asyncio.shield(self.queued)

    def take(self, page: Page) -> None:
        """Apply a page; records that were applied before have no effect."""
        self.registry.table.skip_to(page.first)
        for record in page.records:
            batch = _batch_of(record.data)
            for own in self.registry.read(record.offset, record.time, batch):
                self.on_decided(own)

    async def _read_after(self, running: asyncio.Task[bool] | None) -> bool:
        if running:
            await asyncio.wait((running,))
        self.current = self.queued
        self.queued = None
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
        page = await self.platform.read(STREAM, self.registry.table.next, wait)
        self.take(page)
        return len(page.records)


def _batch_of(data: dict[str, object]) -> Batch | None:
    try:
        return codec.from_plain(Batch, data)
    except codec.MalformedMessageError as error:
        log('claims_record_malformed', error=str(error))
        return None
