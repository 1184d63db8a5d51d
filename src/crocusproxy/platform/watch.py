"""Applies the platform's configuration and upstream topics to the catalog."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from ..errors import PlatformUnavailableError
from ..logs import log
from ..membership.catalog import Catalog
from ..membership.store_incarnation import UNKNOWN
from ..protocol.codec import MalformedMessageError
from ..protocol.home_feed import UpstreamChange
from .outage import StoreOutage
from .recovery_grace import RecoveryGrace
from .store import PathLostError, StoreClient
from .store_records import (
    ExpiredPositionError,
    KeyedRecord,
    RecordPage,
    StorePosition,
)
from .wire import decode_config, decode_upstream

CONFIG_TOPIC = 'keyed.op'
CONFIG_KEY = 'config'
#: The rest of the key is the name of a failure domain; the record exists while
#: the failure domain is evacuated.
EVACUATION_PREFIX = 'evacuate/'
UPSTREAM_TOPIC = 'keyed.servers'
#: A longer wait would delay the detection of a silent connection.
CONFIG_WAIT = timedelta(milliseconds=1500)
#: Upstreams report continually; one read per report would cost too much.
UPSTREAM_INTERVAL = timedelta(milliseconds=800)
#: Pause before a topic with an unreadable response is listed again.
LISTING_INTERVAL = timedelta(milliseconds=300)
#: Pause before a topic whose records are gone is listed again.
EXPIRED_INTERVAL = timedelta(milliseconds=50)


@dataclass(frozen=True, slots=True)
class TopicUpdate:
    """The records of one read.

    ``is_listing`` is set if they are the newest ones of all keys, and
    ``is_restored`` if the store was restored since the previous read.
    """

    records: tuple[KeyedRecord, ...]
    is_listing: bool
    is_restored: bool

    def count_reports(self) -> int:
        """Return the number of records since the previous read with content.

        A listing does not show how many there were.
        """
        if self.is_listing:
            return 0
        return sum(bool(record.content) for record in self.records)


class TopicWatch:
    """Reads one keyed topic: all keys first, then the records that follow.

    ``handle_update`` is called after each read. ``wait`` is how long a read may
    wait for a record, and ``interval`` the pause between reads. ``outage`` is
    shared by the readers of one store.
    """

    def __init__(
        self,
        store: StoreClient,
        topic: str,
        clock: Clock,
        handle_update: Callable[[TopicUpdate], None],
        outage: StoreOutage,
        wait: timedelta = timedelta(),
        interval: timedelta = timedelta(),
    ) -> None:
        self.store = store
        self.topic = topic
        self.clock = clock
        self.handle_update = handle_update
        self.outage = outage
        self.wait = wait
        self.interval = interval
        self.position: StorePosition | None = None
        self.listed_incarnation = store.incarnation.number
        self.failing_since: timedelta | None = None
        self.is_path_new = False

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        while True:
            try:
                await self.poll()
            except PathLostError as error:
                await self._retry_on_new_path(error)
            except PlatformUnavailableError as error:
                await self._wait_to_retry(error)
            except (ExpiredPositionError, MalformedMessageError) as error:
                await self._list_again(error)
            else:
                await asyncio.sleep(self.interval.total_seconds())

    async def poll(self) -> None:
        """Read once.

        Raises:
            PlatformUnavailableError: the store did not respond.
            ExpiredPositionError: the topic must be listed again.
        """
        is_listing = self.position is None
        page = await self._read_page()
        self.outage.end()
        self._note_success()
        is_restored = self._is_restored(page.end.incarnation)
        self.position = page.end
        self.handle_update(TopicUpdate(page.records, is_listing, is_restored))

    async def _retry_on_new_path(self, error: PathLostError) -> None:
        """Retry at once, unless the new path is lost as well."""
        if self.is_path_new:
            await self._wait_to_retry(error)
        self.is_path_new = True

    async def _wait_to_retry(self, error: PlatformUnavailableError) -> None:
        self._note_failure(error)
        await self.outage.wait_to_retry(self.topic)

    async def _list_again(self, error: Exception) -> None:
        log('topic_listed_anew', topic=self.topic, error=str(error))
        self.position = None
        is_expired = isinstance(error, ExpiredPositionError)
        pause = EXPIRED_INTERVAL if is_expired else LISTING_INTERVAL
        await asyncio.sleep(pause.total_seconds())

    async def _read_page(self) -> RecordPage:
        if self.position is None:
            return await self.store.newest(self.topic)
        # A retry reports at once that the store has recovered.
        wait = self.wait if self.failing_since is None else timedelta()
        return await self.store.read(self.topic, self.position, wait)

    def _is_restored(self, incarnation: int) -> bool:
        """Return whether the store was restored since the previous read."""
        previous = self.listed_incarnation
        self.listed_incarnation = incarnation
        return previous not in {UNKNOWN, incarnation}

    def _note_failure(self, error: PlatformUnavailableError) -> None:
        if self.failing_since is None:
            self.failing_since = self.clock.monotonic()
            log('store_lost', topic=self.topic, error=str(error))

    def _note_success(self) -> None:
        self.is_path_new = False
        if self.failing_since is None:
            return
        duration = self.clock.monotonic() - self.failing_since
        log(
            'store_regained',
            topic=self.topic,
            seconds=duration.total_seconds(),
        )
        self.failing_since = None


class ConfigWatch:
    """Follows the topic of the operators' configuration and evacuations."""

    def __init__(
        self,
        store: StoreClient,
        catalog: Catalog,
        clock: Clock,
        outage: StoreOutage,
    ) -> None:
        self.catalog = catalog
        self.topic_watch = TopicWatch(
            store,
            CONFIG_TOPIC,
            clock,
            self._apply_update,
            outage,
            CONFIG_WAIT,
        )

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        await self.topic_watch.run()

    def _apply_update(self, update: TopicUpdate) -> None:
        for record in update.records:
            if record.key == CONFIG_KEY and record.content:
                self._apply_config(record.content)
        is_evacuated = {
            record.key.removeprefix(EVACUATION_PREFIX): bool(record.content)
            for record in update.records
            if record.key.startswith(EVACUATION_PREFIX)
        }
        previous = frozenset() if update.is_listing else self.catalog.evacuated
        self.catalog.apply_evacuated(
            domain
            for domain in previous | is_evacuated.keys()
            if is_evacuated.get(domain, True)
        )

    def _apply_config(self, document: bytes) -> None:
        try:
            config = decode_config(document)
        except (MalformedMessageError, ValueError, OverflowError) as error:
            log('route_config_unusable', error=str(error))
        else:
            self.catalog.apply_config(config)


class UpstreamWatch:
    """Follows the topic of the upstreams' entries.

    A live upstream whose entry expires in a store outage, or is missing in the
    copy from which the store is restored, registers again shortly after the
    store recovers; removals are delayed until then. ``heartbeat`` is the usual
    time between two reports of an upstream.
    """

    def __init__(
        self,
        store: StoreClient,
        catalog: Catalog,
        clock: Clock,
        outage: StoreOutage,
        heartbeat: timedelta,
    ) -> None:
        self.catalog = catalog
        self.grace = RecoveryGrace(clock, heartbeat)
        self.delayed_removals: set[str] = set()
        self.topic_watch = TopicWatch(
            store,
            UPSTREAM_TOPIC,
            clock,
            self._apply_update,
            outage,
            interval=UPSTREAM_INTERVAL,
        )

    async def run(self) -> None:
        """Follow the topic until cancelled."""
        await self.topic_watch.run()

    def _apply_update(self, update: TopicUpdate) -> None:
        changes = [_to_change(record) for record in update.records]
        # A listing does not show how often the upstreams have reported.
        report_count = 0
        if not update.is_listing:
            report_count = sum(
                bool(record.content) for record in update.records
            )
        self.grace.record_read(report_count, len(self.catalog.upstreams))
        if update.is_restored:
            self.grace.start()
        if update.is_listing:
            self._apply_listing(changes)
        else:
            for change in changes:
                self._apply_change(change)
        self._apply_delayed_removals()

    def _apply_listing(self, changes: list[UpstreamChange]) -> None:
        present = {change.key for change in changes}
        for key in tuple(self.catalog.upstreams):
            if key not in present:
                self._apply_change(UpstreamChange(key))
        for change in changes:
            # A restored store lists upstreams that were removed before.
            if not (self.grace.is_active and self.catalog.was_removed(change)):
                self._apply_change(change)
        self.catalog.mark_complete()

    def _apply_change(self, change: UpstreamChange) -> None:
        if change.entry is None and self.grace.is_active:
            self.delayed_removals.add(change.key)
            return
        self.delayed_removals.discard(change.key)
        self.catalog.apply_change(change)

    def _apply_delayed_removals(self) -> None:
        if self.delayed_removals and not self.grace.is_active:
            for key in self.delayed_removals:
                self.catalog.apply_change(UpstreamChange(key))
            self.delayed_removals.clear()


def _to_change(record: KeyedRecord) -> UpstreamChange:
    if not record.content:
        return UpstreamChange(record.key)
    try:
        entry = decode_upstream(record.key, record.content)
    except MalformedMessageError as error:
        # Other writers may have put malformed entries into the topic. Such an
        # entry counts as the removal of its upstream.
        log('upstream_entry_unusable', upstream=record.key, error=str(error))
        return UpstreamChange(record.key)
    return UpstreamChange(record.key, entry)
