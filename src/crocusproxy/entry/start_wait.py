"""Delay of requests that arrive while an instance is still starting."""

import asyncio
from datetime import timedelta

from ..clock import Clock
from ..membership.catalog import Catalog

#: Longest wait after the start. After a loss of all instances, an election and
#: a read of the store take most of it.
MAX_START_WAIT = timedelta(seconds=1)


class StartWait:
    """Delays requests until configuration and upstreams have been received.

    After a loss of all instances, callers reconnect as soon as the port opens
    and have one attempt left. A refusal would fail their request.
    """

    def __init__(self, catalog: Catalog, clock: Clock) -> None:
        self.catalog = catalog
        self.clock = clock
        self.deadline = clock.monotonic() + MAX_START_WAIT
        self.ready_event = asyncio.Event()
        catalog.on_config.append(lambda _: self._check())
        catalog.on_complete.append(self._check)

    async def wait(self) -> None:
        """Return once the instance is ready, or after ``MAX_START_WAIT``."""
        remaining = self.deadline - self.clock.monotonic()
        if remaining > timedelta():
            await self.wait_up_to(remaining)

    async def wait_up_to(self, limit: timedelta) -> bool:
        """Wait until the instance is ready; return False after ``limit``."""
        if not self.ready_event.is_set():
            try:
                async with asyncio.timeout(limit.total_seconds()):
                    await self.ready_event.wait()
            except TimeoutError:
                return False
        return True

    def _check(self) -> None:
        if self.catalog.config is not None and self.catalog.is_complete:
            self.ready_event.set()
