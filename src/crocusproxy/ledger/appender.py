"""Group commit: everything that waits goes into one append at a time."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from datetime import timedelta

from ..clock import Clock
from ..errors import CrocusError, PlatformUnavailableError
from ..logs import log
from ..protocol import codec
from .claim_registry import ClaimRegistry
from .platform import STREAM, LogClient
from .records import Batch

_FIRST_RETRY_DELAY = timedelta(milliseconds=100)
_LONGEST_RETRY_DELAY = timedelta(seconds=1)
_CHECK_LIMIT = timedelta(milliseconds=100)
# A single lost response does not show that the platform is down.
_FAILURES_WHEN_DOWN = 2


class Appender:
    """Appends what the registry holds.

    While appends fail, the last one is tried again with the same nonces and
    no new claim is added to it, so the number of claims whose fate is unknown
    stays bounded. ``on_down`` is called when the platform is found down.
    """

    def __init__(
        self,
        platform: LogClient,
        registry: ClaimRegistry,
        clock: Clock,
        on_down: Callable[[], None],
    ) -> None:
        self.platform = platform
        self.registry = registry
        self.clock = clock
        self.on_down = on_down
        self.down = False
        self.failures = 0
        # Appends at the mean rate would have taken until then.
        self.paid_until = clock.monotonic()
        self.work = asyncio.Event()
        self.idle = asyncio.Event()
        self.resumed = asyncio.Event()
        self.attempted = asyncio.Event()

    def notify(self) -> None:
        """Note that the registry may hold something to append."""
        self.idle.clear()
        self.work.set()

    def confirmed(self) -> None:
        """Note that an append took effect, as its response or a read shows.

        Responses alone do not tell: all of them can be lost while every
        append takes effect.
        """
        if self.failures:
            self.resumed.set()
        self.failures = 0
        self.down = False

    async def check(self) -> None:
        """Repeat a failed append now; return once it has been tried.

        A claim that comes after an outage then need not wait for the next
        retry. The platform may hang, so the wait is bounded.
        """
        attempted = self.attempted
        self.resumed.set()
        with suppress(TimeoutError):
            async with asyncio.timeout(_CHECK_LIMIT.total_seconds()):
                await attempted.wait()

    async def run(self) -> None:
        """Append until cancelled."""
        while True:
            batch = self._next_batch()
            if batch is None:
                self.idle.set()
                await self.work.wait()
                self.work.clear()
                continue
            self._count_append()
            await self._append(batch)
            self.attempted.set()
            self.attempted = asyncio.Event()
            pause = self._pause()
            if pause > timedelta():
                await self._rest(pause)

    async def _rest(self, duration: timedelta) -> None:
        interval = self.registry.settings.append_interval
        if not self.failures or duration <= interval:
            await self.clock.sleep(duration)
            return
        await self.clock.sleep(interval)
        # The rest of a pause after a failure ends early when asked for.
        with suppress(TimeoutError):
            async with asyncio.timeout((duration - interval).total_seconds()):
                await self.resumed.wait()
        self.resumed.clear()

    def _next_batch(self) -> Batch | None:
        batch = self.registry.next_batch(retry=self.failures > 0)
        if batch is None and self.failures:
            return Batch()  # shows when the platform answers again
        return batch

    def _count_append(self) -> None:
        now = self.clock.monotonic()
        interval = self.registry.settings.append_interval
        self.paid_until = max(self.paid_until, now) + interval

    def _pause(self) -> timedelta:
        settings = self.registry.settings
        if not self.failures:
            credit = settings.append_burst * settings.append_interval
            return self.paid_until - credit - self.clock.monotonic()
        delay = _FIRST_RETRY_DELAY * (1 << min(self.failures - 1, 8))
        return min(delay, _LONGEST_RETRY_DELAY)

    async def _append(self, batch: Batch) -> None:
        newly_sent = self.registry.sending(batch)
        try:
            await self.platform.append(STREAM, codec.to_plain(batch))
        except PlatformUnavailableError as error:
            self.registry.not_sent(newly_sent)
            self._failed(error, certain=True)
        except CrocusError as error:
            # An empty batch only asks whether the platform answers.
            if batch == Batch() or not self.registry.holds_none_of(batch):
                self._failed(error, certain=False)
        else:
            self.registry.appended(batch)
            self.confirmed()

    def _failed(self, error: CrocusError, *, certain: bool) -> None:
        log('claims_append_failed', error=str(error), failures=self.failures)
        self.failures += 1
        if certain or self.failures >= _FAILURES_WHEN_DOWN:
            self.down = True
            self.on_down()
