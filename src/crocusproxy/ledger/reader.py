"""Reads stream ``claims`` into the registry."""

from collections.abc import Callable
from datetime import timedelta

from ..clock import Clock
from ..errors import CrocusError
from ..logs import log
from ..platform_client import Page
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

    async def follow(self) -> None:
        """Read until cancelled; retry while the platform is down."""
        while True:
            try:
                await self._read_page()
            except CrocusError as error:
                log('claims_unreadable', error=str(error))
                await self.clock.sleep(_RETRY_DELAY)

    def apply_page(self, page: Page) -> None:
        """Apply a page, skipping records that were applied before."""
        self.registry.table.skip_to(page.first)
        for record in page.records:
            batch = _decode_batch(record.data)
            for own_claim in self.registry.apply_record(
                record.offset, record.time, batch
            ):
                self.on_decided(own_claim)

    async def _read_page(self) -> None:
        page = await self.platform.read(
            STREAM, self.registry.table.next_offset, _POLL_WAIT
        )
        self.apply_page(page)


def _decode_batch(data: dict[str, object]) -> Batch | None:
    try:
        return codec.decode_plain(Batch, data)
    except codec.MalformedMessageError as error:
        log('claims_record_malformed', error=str(error))
        return None
