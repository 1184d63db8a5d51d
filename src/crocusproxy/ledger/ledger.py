"""The ledger: claims in stream ``claims``, by group commit and a follower."""

import asyncio
import uuid
from datetime import datetime, timedelta
from typing import Protocol

from ..clock import Clock
from ..errors import CrocusError, PlatformUnavailableError
from ..logs import log
from ..platform_client import Page
from ..protocol import codec
from .book import ClaimBook, OwnClaim
from .records import Batch, Claim
from .results import (
    ClaimResult,
    ClaimState,
    ClaimUnavailable,
    LedgerSettings,
)

_STREAM = 'claims'
_POLL_WAIT = timedelta(seconds=20)
_RETRY_DELAY = timedelta(milliseconds=100)


class LogClient(Protocol):
    """The part of the platform client that the ledger uses."""

    async def append(self, stream: str, data: dict[str, object]) -> int:
        """Append one record and return its offset."""

    async def read(
        self, stream: str, start: int, wait: timedelta = timedelta()
    ) -> Page:
        """Read records from ``start`` on."""


class Ledger:
    """Claims keys for non-idempotent requests.

    A key includes its service. Between ``start`` and ``stop`` the ledger
    follows the stream and appends what waits, one append at a time.
    """

    def __init__(
        self, platform: LogClient, clock: Clock, settings: LedgerSettings
    ) -> None:
        self.platform = platform
        self.clock = clock
        self.settings = settings
        self.book = ClaimBook(settings, clock)
        self.waiting: dict[str, asyncio.Future[ClaimResult]] = {}
        self.work = asyncio.Event()
        self.tasks: tuple[asyncio.Task[None], ...] = ()

    async def start(self) -> None:
        """Start to follow the stream and to append."""
        self.tasks = (
            asyncio.create_task(self._follow()),
            asyncio.create_task(self._append_batches()),
        )

    async def stop(self) -> None:
        """Stop; claims that still wait are answered as unavailable."""
        for nonce in tuple(self.waiting):
            self._give_up(nonce, 'stopped')
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        self.tasks = ()

    async def claim(
        self,
        key: str,
        digest: str,
        expiry: datetime,
        deadline: timedelta | None = None,
    ) -> ClaimResult:
        """Claim ``key`` before its request is dispatched.

        ``deadline`` is the request's deadline on the monotonic clock. A claim
        that is not decided by then, or whose caller is cancelled, is voided.
        """
        now = self.clock.monotonic()
        if deadline is None:
            deadline = now + self.settings.claim_limit
        claim = Claim(uuid.uuid4().hex, key, digest, expiry)
        result = self.book.request(claim, deadline)
        if result is not None:
            return result
        self.work.set()
        loop = asyncio.get_running_loop()
        future: asyncio.Future[ClaimResult] = loop.create_future()
        self.waiting[claim.nonce] = future
        try:
            async with asyncio.timeout((deadline - now).total_seconds()):
                return await future
        except TimeoutError:
            self._give_up(claim.nonce, 'deadline_passed')
            return ClaimUnavailable('deadline_passed')
        except asyncio.CancelledError:
            self._give_up(claim.nonce, 'cancelled')
            raise
        finally:
            self.waiting.pop(claim.nonce, None)

    def may_dispatch(self, nonce: str) -> bool:
        """Tell whether the request of a claim may be sent now.

        It must be asked immediately before each dispatch, without an await in
        between: the process may have been paused since the claim.
        """
        return self.book.may_dispatch(nonce)

    async def void(self, nonce: str) -> None:
        """Give up a claim whose request did not run.

        Its request must not be dispatched any more. The record is appended in
        the background.
        """
        self._give_up(nonce, 'voided')

    async def complete(self, nonce: str, status: int) -> None:
        """Record that the request ran; appended in the background."""
        self.book.complete(nonce, status)
        self.work.set()

    def known_claim(self, key: str) -> ClaimState | None:
        """Return the claim that the local fold has for ``key``.

        None does not show that there is no claim: the fold may be behind.
        """
        return self.book.fold.holder(key)

    async def shows_no_claim(
        self, key: str, expiry: datetime, wait: timedelta
    ) -> bool:
        """Tell whether the stream, read from now on, has no claim for the key.

        False also stands for not known, such as when the platform does not
        answer within ``wait`` or records are missing.
        """
        return False

    def _give_up(self, nonce: str, reason: str) -> None:
        own = self.book.give_up(nonce, reason)
        if own:
            self._settle(own)
        self.work.set()

    def _settle(self, own: OwnClaim) -> None:
        future = self.waiting.get(own.claim.nonce)
        if future and not future.done() and own.result:
            future.set_result(own.result)

    async def _follow(self) -> None:
        while True:
            try:
                page = await self.platform.read(
                    _STREAM, self.book.fold.next, _POLL_WAIT
                )
            except CrocusError as error:
                log('claims_unreadable', error=str(error))
                await self.clock.sleep(_RETRY_DELAY)
            else:
                self._take(page)

    def _take(self, page: Page) -> None:
        self.book.fold.skip_to(page.first)
        for record in page.records:
            batch = _batch_of(record.data)
            decided = self.book.read(record.offset, record.time, batch)
            for own in decided:
                self._settle(own)

    async def _append_batches(self) -> None:
        while True:
            await self.work.wait()
            self.work.clear()
            batch = self.book.next_batch()
            if batch:
                await self._append(batch)
                await self.clock.sleep(self.settings.append_interval)

    async def _append(self, batch: Batch) -> None:
        self.book.sending(batch)
        try:
            await self.platform.append(_STREAM, codec.to_plain(batch))
        except PlatformUnavailableError as error:
            log('claims_not_appended', error=str(error))
            for claim in batch.claims:
                self._give_up(claim.nonce, 'platform_unavailable')
        except CrocusError as error:
            log('claims_append_unknown', error=str(error))
        else:
            self.book.appended(batch)
        if self.book.next_batch():
            self.work.set()


def _batch_of(data: dict[str, object]) -> Batch | None:
    try:
        return codec.from_plain(Batch, data)
    except codec.MalformedMessageError as error:
        log('claims_record_malformed', error=str(error))
        return None
