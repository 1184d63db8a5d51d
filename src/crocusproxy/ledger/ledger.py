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
from .records import Batch, Claim
from .results import (
    Claimed,
    ClaimResult,
    ClaimUnavailable,
    LedgerSettings,
)


class Ledger:
    """Claims keys for non-idempotent requests.

    A key has the form ``service/key``, with the idempotency key of the caller.
    Between ``start`` and ``stop`` the ledger follows the stream and appends
    waiting entries.
    """

    def __init__(
        self, platform: LogClient, clock: Clock, settings: LedgerSettings
    ) -> None:
        self.clock = clock
        self.settings = settings
        self.registry = ClaimRegistry(settings, clock)
        self.reader = ClaimsReader(
            platform, self.registry, clock, self._on_decided
        )
        self.appender = Appender(
            platform,
            self.registry,
            clock,
            on_platform_down=self._reject_unwritten,
            on_rejected=self._reject_batch,
        )
        self.pending_results: dict[str, asyncio.Future[ClaimResult]] = {}
        self.tasks: tuple[asyncio.Task[None], ...] = ()

    async def start(self) -> None:
        """Start to follow the stream and to append."""
        self.tasks = (
            asyncio.create_task(self.reader.follow()),
            asyncio.create_task(self.appender.run()),
            asyncio.create_task(self._append_markers()),
        )

    async def stop(self) -> None:
        """Stop; undecided claims end as ``ClaimUnavailable``.

        Waits up to ``flush_limit`` for the append of voids and completions.
        """
        if not self.tasks:
            return
        for nonce in tuple(self.pending_results):
            self._give_up(nonce, 'stopped')
        limit = self.settings.flush_limit.total_seconds()
        self.appender.notify()
        with suppress(TimeoutError):  # entries not appended by then are lost
            await asyncio.wait_for(self.appender.idle_event.wait(), limit)
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
        that is not decided by then is voided, as is one whose task is
        cancelled.
        """
        if deadline is None:
            deadline = self.clock.monotonic() + self.settings.claim_limit
        if self.appender.platform_down:
            await self.appender.retry_now()
        claim = Claim(uuid.uuid4().hex, key, digest, expiry)
        result = self.registry.start_claim(
            claim, deadline, platform_down=self.appender.platform_down
        )
        if result is not None:
            return result
        self.appender.notify()
        loop = asyncio.get_running_loop()
        future: asyncio.Future[ClaimResult] = loop.create_future()
        self.pending_results[claim.nonce] = future
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
            self.pending_results.pop(claim.nonce, None)

    def may_dispatch(self, nonce: str) -> bool:
        """Return whether the request of a claim may be sent now.

        Call it immediately before each dispatch, without an await in between:
        the process may have been paused since the claim.
        """
        return self.registry.may_dispatch(nonce)

    async def void(self, nonce: str) -> None:
        """Give up a claim whose request did not run and never will.

        The claim is never dispatchable again. Its record is appended in the
        background, and the key is free once that record has been read.
        """
        self._give_up(nonce, 'voided')

    async def complete(self, nonce: str, status: int) -> None:
        """Record that the request ran; the append runs in the background."""
        self.registry.complete(nonce, status)
        self.appender.notify()

    def _give_up(self, nonce: str, reason: str) -> None:
        own_claim = self.registry.give_up(nonce, reason)
        if own_claim:
            self._resolve(own_claim)
        self.appender.notify()

    def _reject_unwritten(self) -> None:
        for nonce in self.registry.unwritten_nonces():
            self._give_up(nonce, 'platform_unavailable')

    def _reject_batch(self, batch: Batch) -> None:
        for claim in batch.claims:
            own_claim = self.registry.own_claims.get(claim.nonce)
            # An earlier append of the same claim may have been read while this
            # one was in flight. Its request may run already, and a void would
            # release the key.
            if own_claim is not None and own_claim.result is None:
                self._give_up(claim.nonce, 'append_rejected')

    def _on_decided(self, own_claim: OwnClaim) -> None:
        self.appender.mark_platform_up()
        self._resolve(own_claim)

    def _resolve(self, own_claim: OwnClaim) -> None:
        future = self.pending_results.get(own_claim.claim.nonce)
        if future and not future.done() and own_claim.result:
            future.set_result(own_claim.result)
        if not isinstance(own_claim.result, Claimed):
            self.appender.notify()  # a void may have to be appended

    async def _append_markers(self) -> None:
        while True:
            await self.clock.sleep(self.settings.marker_interval)
            if self.registry.is_stream_idle(self.settings.marker_interval):
                self.registry.marker_due = True
                self.appender.notify()
