"""Group commit: one append at a time writes all waiting entries."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from datetime import timedelta

from ..clock import Clock
from ..errors import (
    AppendRejectedError,
    CrocusError,
    PlatformUnavailableError,
)
from ..logs import log
from ..protocol import codec
from .claim_registry import ClaimRegistry
from .platform import STREAM, LogClient
from .records import Batch

_FIRST_RETRY_DELAY = timedelta(milliseconds=100)
_MAX_RETRY_DELAY = timedelta(seconds=1)
# Longest wait of a claim for the retry that it requests.
_RETRY_WAIT_LIMIT = timedelta(milliseconds=100)
# A single lost response does not show that the platform is down.
_FAILURES_UNTIL_DOWN = 2


class Appender:
    """Appends the entries of the registry.

    A failed append is retried with the same nonces and without new claims, so
    the number of claims with an unknown outcome stays bounded.
    A rejection does not name the entry, so all entries of the batch are
    dropped; the keys of dropped completions and voids stay claimed until they
    expire.
    ``on_platform_down`` is called when the platform is found to be down,
    ``on_rejected`` with a batch that the platform rejected.
    """

    def __init__(
        self,
        platform: LogClient,
        registry: ClaimRegistry,
        clock: Clock,
        on_platform_down: Callable[[], None],
        on_rejected: Callable[[Batch], None],
    ) -> None:
        self.platform = platform
        self.registry = registry
        self.clock = clock
        self.on_platform_down = on_platform_down
        self.on_rejected = on_rejected
        self.platform_down = False
        self.failure_count = 0
        # Time at which all appends so far would end at the mean rate (GCRA).
        self.theoretical_arrival = clock.monotonic()
        self.work_available = asyncio.Event()
        self.idle_event = asyncio.Event()
        self.retry_requested = asyncio.Event()
        self.append_attempted = asyncio.Event()

    def notify(self) -> None:
        """Wake the appender: the registry may have entries to append."""
        self.idle_event.clear()
        self.work_available.set()

    def mark_platform_up(self) -> None:
        """Note that the platform responds.

        Reads count too, because every response can be lost although each
        append takes effect.
        """
        if self.failure_count:
            self.retry_requested.set()
        self.failure_count = 0
        self.platform_down = False

    async def retry_now(self) -> None:
        """Retry a failed append now; return once it has been attempted.

        This way a claim after an outage does not wait for the next regular
        retry. The wait is bounded because the platform may hang.
        """
        # ``run`` replaces the event after each append.
        append_attempted = self.append_attempted
        self.retry_requested.set()
        with suppress(TimeoutError):
            async with asyncio.timeout(_RETRY_WAIT_LIMIT.total_seconds()):
                await append_attempted.wait()

    async def run(self) -> None:
        """Append until cancelled."""
        while True:
            batch = self._next_batch()
            if batch is None:
                self.idle_event.set()
                await self.work_available.wait()
                self.work_available.clear()
                continue
            self._advance_rate_limit()
            await self._append(batch)
            self.append_attempted.set()
            self.append_attempted = asyncio.Event()
            delay = self._next_delay()
            if delay > timedelta():
                await self._delay_next_append(delay)

    async def _delay_next_append(self, duration: timedelta) -> None:
        interval = self.registry.settings.append_interval
        if not self.failure_count or duration <= interval:
            await self.clock.sleep(duration)
            return
        await self.clock.sleep(interval)
        # The rest of a delay after a failure ends early on request.
        with suppress(TimeoutError):
            async with asyncio.timeout((duration - interval).total_seconds()):
                await self.retry_requested.wait()
        self.retry_requested.clear()

    def _next_batch(self) -> Batch | None:
        batch = self.registry.next_batch(retry=self.failure_count > 0)
        if batch is None and self.failure_count:
            return Batch()  # shows when the platform responds again
        return batch

    def _advance_rate_limit(self) -> None:
        now = self.clock.monotonic()
        interval = self.registry.settings.append_interval
        self.theoretical_arrival = max(self.theoretical_arrival, now) + interval

    def _next_delay(self) -> timedelta:
        settings = self.registry.settings
        if not self.failure_count:
            burst_allowance = settings.append_burst * settings.append_interval
            return (
                self.theoretical_arrival
                - burst_allowance
                - self.clock.monotonic()
            )
        # The limit on the doublings only prevents an overflow.
        delay = _FIRST_RETRY_DELAY * (1 << min(self.failure_count - 1, 8))
        return min(delay, _MAX_RETRY_DELAY)

    async def _append(self, batch: Batch) -> None:
        first_sends = self.registry.mark_sending(batch)
        try:
            await self.platform.append(STREAM, codec.to_plain(batch))
        except PlatformUnavailableError as error:
            self.registry.mark_not_written(first_sends)
            self._note_failure(error, had_no_effect=True)
        except AppendRejectedError as error:
            self.registry.mark_not_written(first_sends)
            self._note_rejection(error, batch)
        except CrocusError as error:
            # An empty batch only tests whether the platform responds.
            if batch == Batch() or not self.registry.is_settled(batch):
                self._note_failure(error, had_no_effect=False)
        else:
            self.registry.remove_entries(batch)
            self.mark_platform_up()

    def _note_rejection(self, error: CrocusError, batch: Batch) -> None:
        log(
            'claims_append_rejected',
            error=str(error),
            claims=len(batch.claims),
            voids=len(batch.voids),
            completions=len(batch.completions),
        )
        self.registry.remove_entries(batch)
        self.on_rejected(batch)
        self.mark_platform_up()

    def _note_failure(self, error: CrocusError, *, had_no_effect: bool) -> None:
        self.failure_count += 1
        log(
            'claims_append_failed',
            error=str(error),
            failures=self.failure_count,
        )
        if had_no_effect or self.failure_count >= _FAILURES_UNTIL_DOWN:
            self.platform_down = True
            self.on_platform_down()
