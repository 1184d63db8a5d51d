"""Follows the platform's topics and puts what they say into the catalog."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from ..clock import Clock
from ..errors import PlatformUnavailableError
from ..logs import log
from ..membership.catalog import Catalog
from ..protocol.codec import MalformedMessageError
from ..protocol.home_feed import UpstreamChange
from .store import (
    ExpiredOffsetError,
    KeyedRecord,
    PathLostError,
    RecordPage,
    StoreClient,
)
from .wire import decode_config, decode_upstream

CONFIG_TOPIC = 'keyed.op'
CONFIG_KEY = 'config'
UPSTREAM_TOPIC = 'keyed.servers'
#: A read that waits longer would hide a silent connection for as long.
CONFIG_WAIT = timedelta(milliseconds=1500)
#: Reports of upstreams arrive all the time; a read per report costs too much.
UPSTREAM_INTERVAL = timedelta(milliseconds=800)
RETRY_INTERVAL = timedelta(milliseconds=300)
#: Upstreams whose entries lapsed in an outage report again within this time.
RETURN_GRACE = timedelta(milliseconds=2200)


class TopicWatch:
    """Reads one keyed topic: all keys first, then the records that follow.

    ``take`` gets all records of a full listing with True, and those of each
    read with False. ``wait`` is how long a read may wait for a record, and
    ``interval`` the pause between reads.
    """

    def __init__(
        self,
        store: StoreClient,
        topic: str,
        clock: Clock,
        take: Callable[[tuple[KeyedRecord, ...], bool], None],
        wait: timedelta = timedelta(),
        interval: timedelta = timedelta(),
    ) -> None:
        self.store = store
        self.topic = topic
        self.clock = clock
        self.take = take
        self.wait = wait
        self.interval = interval
        self.next_offset = -1
        self.failing_since: timedelta | None = None
        self.returned_at: timedelta | None = None

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            try:
                await self.step()
            except PathLostError:
                continue
            except PlatformUnavailableError as error:
                self._note_failure(error)
                await asyncio.sleep(RETRY_INTERVAL.total_seconds())
            except (ExpiredOffsetError, MalformedMessageError) as error:
                log('topic_listed_anew', topic=self.topic, error=str(error))
                self.next_offset = -1
                await asyncio.sleep(RETRY_INTERVAL.total_seconds())
            else:
                await asyncio.sleep(self.interval.total_seconds())

    async def step(self) -> None:
        """Read once.

        Raises:
            PlatformUnavailableError: the store did not answer.
            ExpiredOffsetError: a full listing is needed.
        """
        listing = self.next_offset < 0
        page = await self._page(listing)
        self._note_success()
        self.next_offset = page.end
        self.take(page.records, listing)

    async def _page(self, listing: bool) -> RecordPage:
        if listing:
            return await self.store.newest(self.topic)
        return await self.store.read(self.topic, self.next_offset, self.wait)

    def _note_failure(self, error: PlatformUnavailableError) -> None:
        if self.failing_since is None:
            self.failing_since = self.clock.monotonic()
            log('store_lost', topic=self.topic, error=str(error))

    def _note_success(self) -> None:
        if self.failing_since is None:
            return
        now = self.clock.monotonic()
        log(
            'store_regained',
            topic=self.topic,
            seconds=(now - self.failing_since).total_seconds(),
        )
        self.failing_since = None
        self.returned_at = now


class ConfigWatch:
    """Follows the operators' configuration."""

    def __init__(
        self, store: StoreClient, catalog: Catalog, clock: Clock
    ) -> None:
        self.catalog = catalog
        self.topic_watch = TopicWatch(
            store, CONFIG_TOPIC, clock, self._take, CONFIG_WAIT
        )

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        await self.topic_watch.run()

    def _take(self, records: tuple[KeyedRecord, ...], _: bool) -> None:
        for record in records:
            if record.key != CONFIG_KEY or not record.content:
                continue
            try:
                config = decode_config(record.content)
            except (MalformedMessageError, ValueError) as error:
                log('route_config_unusable', error=str(error))
            else:
                self.catalog.apply_config(config)


class UpstreamWatch:
    """Follows the entries of upstreams.

    An entry that expires while the store is away comes back shortly after the
    store does if its upstream lives; removals are held back until then.
    """

    def __init__(
        self, store: StoreClient, catalog: Catalog, clock: Clock
    ) -> None:
        self.catalog = catalog
        self.clock = clock
        self.delayed_removals: set[str] = set()
        self.topic_watch = TopicWatch(
            store,
            UPSTREAM_TOPIC,
            clock,
            self._take,
            interval=UPSTREAM_INTERVAL,
        )

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        await self.topic_watch.run()

    def _take(self, records: tuple[KeyedRecord, ...], full: bool) -> None:
        changes = [_to_change(record) for record in records]
        if full:
            self._take_list(changes)
        else:
            for change in changes:
                self._change(change)
        self._release()

    def _take_list(self, changes: list[UpstreamChange]) -> None:
        present = {change.key for change in changes}
        for key in tuple(self.catalog.upstreams):
            if key not in present:
                self._change(UpstreamChange(key))
        for change in changes:
            self._change(change)
        self.catalog.mark_complete()

    def _change(self, change: UpstreamChange) -> None:
        if change.entry is None and self._in_grace():
            self.delayed_removals.add(change.key)
            return
        self.delayed_removals.discard(change.key)
        self.catalog.apply_change(change)

    def _in_grace(self) -> bool:
        returned = self.topic_watch.returned_at
        return (
            returned is not None
            and self.clock.monotonic() - returned < RETURN_GRACE
        )

    def _release(self) -> None:
        if self.delayed_removals and not self._in_grace():
            for key in self.delayed_removals:
                self.catalog.apply_change(UpstreamChange(key))
            self.delayed_removals.clear()


def _to_change(record: KeyedRecord) -> UpstreamChange:
    if not record.content:
        return UpstreamChange(record.key)
    try:
        entry = decode_upstream(record.key, record.content)
    except MalformedMessageError as error:
        # Entries may come from other writers; they name no upstream to use.
        log('upstream_entry_unusable', upstream=record.key, error=str(error))
        return UpstreamChange(record.key)
    return UpstreamChange(record.key, entry)
