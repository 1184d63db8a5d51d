"""Reads one keyed topic of the store, as a listing and then by its records."""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from ..errors import PlatformUnavailableError
from ..logs import log
from ..membership.store_incarnation import UNKNOWN
from ..protocol.codec import MalformedMessageError
from .outage import StoreOutage
from .store import StoreClient
from .store_paths import PathLostError
from .store_records import (
    ExpiredPositionError,
    KeyedRecord,
    RecordPage,
    StorePosition,
)

#: Pause before a topic with an unreadable response is listed again.
LISTING_INTERVAL = timedelta(milliseconds=300)
#: Pause before a topic whose records are gone is listed again.
EXPIRED_INTERVAL = timedelta(milliseconds=50)


@dataclass(frozen=True, slots=True)
class TopicUpdate:
    """The records of one read.

    ``is_listing`` is set if they are the newest ones of all keys,
    ``is_restored`` if the store was restored since the previous read, and
    ``follows_failure`` if a read just before has failed, other than by a switch
    of the path, which shows that the store responds.
    """

    records: tuple[KeyedRecord, ...]
    is_listing: bool
    is_restored: bool
    follows_failure: bool

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
        self.has_store_failed = False
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
        follows_failure = self.has_store_failed
        self._note_success()
        is_restored = self._is_restored(page.end.incarnation)
        self.position = page.end
        self.handle_update(
            TopicUpdate(page.records, is_listing, is_restored, follows_failure)
        )

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
        if not isinstance(error, PathLostError):
            self.has_store_failed = True
        if self.failing_since is None:
            self.failing_since = self.clock.monotonic()
            log('store_lost', topic=self.topic, error=str(error))

    def _note_success(self) -> None:
        self.is_path_new = False
        self.has_store_failed = False
        if self.failing_since is None:
            return
        duration = self.clock.monotonic() - self.failing_since
        log(
            'store_regained',
            topic=self.topic,
            seconds=duration.total_seconds(),
        )
        self.failing_since = None
