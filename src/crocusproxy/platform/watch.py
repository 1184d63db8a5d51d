"""Applies the platform's configuration and upstream topics to the catalog."""

from datetime import timedelta

from ..clock import Clock
from ..logs import log
from ..membership.catalog import Catalog
from ..protocol.codec import MalformedMessageError
from ..protocol.home_feed import UpstreamChange
from .outage import StoreOutage
from .recovery_grace import RecoveryGrace
from .store import StoreClient
from .store_records import KeyedRecord
from .topic_watch import TopicUpdate, TopicWatch
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
        self.grace.record_read(
            update.count_reports(),
            len(self.catalog.upstreams),
            follows_failure=update.follows_failure,
        )
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
