"""Requests that reach an instance which has just started."""

import asyncio
from datetime import timedelta

from ..clock import Clock
from ..membership.catalog import Catalog

#: An instance usually knows configuration and upstreams this soon.
MAX_START_WAIT = timedelta(milliseconds=250)


class StartWait:
    """Holds requests until what they need is known, for a moment only.

    After a loss of all instances, callers come back within milliseconds of the
    first open port. Most of the answer is then a matter of one read of the
    store, and a refusal would use up the callers' attempts.
    """

    def __init__(self, catalog: Catalog, clock: Clock) -> None:
        self.catalog = catalog
        self.clock = clock
        self.deadline = clock.monotonic() + MAX_START_WAIT
        self.known = asyncio.Event()
        catalog.on_config.append(lambda _: self._check())
        catalog.on_complete.append(self._check)

    async def wait(self) -> None:
        """Return once everything is known, or the start has taken too long."""
        if self.known.is_set():
            return
        left = self.deadline - self.clock.monotonic()
        if left <= timedelta():
            return
        try:
            async with asyncio.timeout(left.total_seconds()):
                await self.known.wait()
        except TimeoutError:
            # The request is now refused, or served by what is known.
            return

    def _check(self) -> None:
        if self.catalog.config is not None and self.catalog.is_complete:
            self.known.set()
