"""The ledger: claims for non-idempotent requests in stream ``claims``."""

import asyncio
import uuid
from contextlib import suppress
from datetime import datetime, timedelta

from ..clock import Clock
from .appender import Appender
from .claim_registry import ClaimRegistry, OwnClaim
from .platform import LogClient
from .reader import ClaimsReader
from .records import Claim
from .results import (
    Claimed,
    ClaimResult,
    ClaimState,
    ClaimUnavailable,
    LedgerSettings,
)


class Ledger:
    """Claims keys for non-idempotent requests.

    A key includes its service. Between ``start`` and ``stop`` the ledger
    follows the stream and appends what waits.
    """

    def __init__(
        self, platform: LogClient, clock: Clock, settings: LedgerSettings
    ) -> None:
        self.clock = clock
        self.settings = settings
        self.registry = ClaimRegistry(settings, clock)
        self.reader = ClaimsReader(
            platform, self.registry, clock, self._decided
        )
        self.appender = Appender(
            platform, self.registry, clock, self._refuse_unsent
        )
        self.waiting: dict[str, asyncio.Future[ClaimResult]] = {}
        self.tasks: tuple[asyncio.Task[None], ...] = ()

    async def start(self) -> None:
        """Start to follow the stream and to append."""
        self.tasks = (
            asyncio.create_task(self.reader.follow()),
            asyncio.create_task(self.appender.run()),
            asyncio.create_task(self._mark_quiet_stream()),
        )

    async def stop(self) -> None:
        """Stop; claims that still wait are answered as unavailable.

        Voids and completions get ``flush_limit`` to reach the stream.
        """
        if not self.tasks:
            return
        for nonce in tuple(self.waiting):
            self._give_up(nonce, 'stopped')
        limit = self.settings.flush_limit.total_seconds()
        self.appender.notify()
        with suppress(TimeoutError):  # what is left is lost with the process
            await asyncio.wait_for(self.appender.idle.wait(), limit)
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
        if deadline is None:
            deadline = self.clock.monotonic() + self.settings.claim_limit
        if self.appender.down:
            await self.appender.check()
        claim = Claim(uuid.uuid4().hex, key, digest, expiry)
        result = self.registry.request(claim, deadline, down=self.appender.down)
        if result is not None:
            return result
        self.appender.notify()
        loop = asyncio.get_running_loop()
        future: asyncio.Future[ClaimResult] = loop.create_future()
        self.waiting[claim.nonce] = future
        remaining = deadline - self.clock.monotonic()
        try:
            async with asyncio.timeout(remaining.total_seconds()):
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
        return self.registry.may_dispatch(nonce)

    async def void(self, nonce: str) -> None:
        """Give up a claim whose request did not run and will not.

        The claim is never dispatchable again. Its record is appended in the
        background, and the key is free once that record has been read.
        """
        self._give_up(nonce, 'voided')

    async def complete(self, nonce: str, status: int) -> None:
        """Record that the request ran; appended in the background."""
        self.registry.complete(nonce, status)
        self.appender.notify()

    def known_claim(self, key: str) -> ClaimState | None:
        """Return the claim that the local table has for ``key``.

        None does not show that there is no claim: the table may be behind.
        """
        return self.registry.table.holder(key)

    async def shows_no_claim(
        self, key: str, expiry: datetime, wait: timedelta
    ) -> bool:
        """Tell whether the stream, read from now on, has no claim for the key.

        False also stands for not known, such as when the platform does not
        answer within ``wait`` or records are missing.
        """
        if self.registry.is_in_use(key) or self.appender.down:
            return False
        try:
            async with asyncio.timeout(wait.total_seconds()):
                was_read = await self.reader.read_to_end()
        except TimeoutError:
            return False
        return was_read and self.registry.shows_no_claim(key, expiry)

    def _give_up(self, nonce: str, reason: str) -> None:
        own = self.registry.give_up(nonce, reason)
        if own:
            self._settle(own)
        self.appender.notify()

    def _refuse_unsent(self) -> None:
        for nonce in self.registry.unsent():
            self._give_up(nonce, 'platform_unavailable')

    def _decided(self, own: OwnClaim) -> None:
        self.appender.confirmed()
        self._settle(own)

    def _settle(self, own: OwnClaim) -> None:
        future = self.waiting.get(own.claim.nonce)
        if future and not future.done() and own.result:
            future.set_result(own.result)
        if not isinstance(own.result, Claimed):
            self.appender.notify()  # a void may have to be appended

    async def _mark_quiet_stream(self) -> None:
        while True:
            await self.clock.sleep(self.settings.mark_interval)
            if self.registry.is_quiet(self.settings.mark_interval):
                self.registry.mark_due = True
                self.appender.notify()
