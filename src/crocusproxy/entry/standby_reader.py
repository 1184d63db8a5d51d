"""Reads the operators' topic at a follower while its home is silent.

A stopped home, or one that is cut off, is replaced within about a second. A
configuration that is published meanwhile would reach nobody before that, so
each member that follows the home itself reads the topic on its own. The others
receive it from their domain homes. A version counts whoever has read it.
"""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from random import Random

from ..clock import Clock
from ..logs import log
from ..membership.catalog import Catalog
from ..membership.home_elector import HomeElector
from ..platform.outage import StoreOutage
from ..platform.store import StoreClient
from ..platform.watch import ConfigWatch
from .background_tasks import BackgroundTasks, Run

CHECK_INTERVAL_SECONDS = 0.1
#: A feed has a heartbeat each 0.2 s, so at least one of them is late.
MAX_FEED_SILENCE = timedelta(milliseconds=450)


async def follow_directly(
    store: StoreClient, catalog: Catalog, clock: Clock, random: Random
) -> None:
    """Follow the operators' topic without relays, until cancelled.

    Relays would multiply the calls.
    """
    outage = StoreOutage(random)
    await ConfigWatch(store.without_relays(), catalog, clock, outage).run()


class StandbyReader:
    """Runs ``read_config`` while this member hears nothing from its home.

    ``paused_seconds`` returns the sum of this process's pauses.
    """

    def __init__(
        self,
        elector: HomeElector,
        clock: Clock,
        read_config: Run,
        paused_seconds: Callable[[], float] = float,
    ) -> None:
        self.paused_seconds = paused_seconds
        self.paused_before = float()
        self.has_deferred = False
        self.elector = elector
        self.clock = clock
        self.read_config = read_config
        self.tasks = BackgroundTasks()

    async def run(self) -> None:
        """Check the feed periodically, until cancelled."""
        try:  # noqa: WPS501 - also when cancelled
            while True:
                self.update()
                await asyncio.sleep(CHECK_INTERVAL_SECONDS)
        finally:
            self.tasks.cancel()

    def update(self) -> None:
        """Start or stop to read."""
        is_reading = bool(self.tasks.tasks)
        must_defer = self._must_defer() and not is_reading
        if must_defer or self._is_needed() == is_reading:
            return
        if is_reading:
            self.tasks.cancel()
            log('standby_reading_ended')
            return
        home = self.elector.home
        name = self.elector.lost_home_name if home is None else home.name
        log('standby_reading_started', home=name)
        self.tasks.spawn(self.read_config)

    def _must_defer(self) -> bool:
        """Return whether a heartbeat may have arrived in a pause, unread.

        Only one check in a row is deferred, so that repeated pauses don't keep
        this member from reading.
        """
        paused = self.paused_seconds()
        self.has_deferred = (
            not self.has_deferred and paused > self.paused_before
        )
        self.paused_before = paused
        return self.has_deferred

    def _is_needed(self) -> bool:
        elector = self.elector
        heard_at = elector.home_heard_at
        if heard_at is None or elector.is_home or elector.leaving:
            return False
        return self.clock.monotonic() - heard_at > MAX_FEED_SILENCE
