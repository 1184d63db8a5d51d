"""Client of the platform's store."""

import asyncio
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass
from datetime import timedelta

from aiohttp import ClientError, ClientSession, ClientTimeout

from ..errors import (
    REJECTED_APPEND_STATUSES,
    AppendRejectedError,
    PlatformUnavailableError,
)
from ..logs import log
from ..membership.store_incarnation import StoreIncarnation
from .store_records import (
    ExpiredPositionError,
    KeyedRecord,
    RecordPage,
    StorePosition,
    decode_listing,
    decode_records,
    encode_record,
)

#: Number of the store's incarnation, in each of its responses.
INCARNATION_HEADER = 'Store-Era'
_OK = 200
_GONE = 410
_MILLISECOND = timedelta(milliseconds=1)
#: Path prefix of the relay that other instances serve for the store.
RELAY_PREFIX = '/store'
#: One in this many reads over a relay tries the store directly.
_READS_PER_DIRECT_ATTEMPT = 16
#: How many other paths are tried at once when the current one fails.
_MAX_FAILOVER_CANDIDATES = 4
#: After each failover without a working path, this many times as many failures
#: pass before the next one: the store itself is then probably unreachable.
_FAILOVER_BACKOFF_FACTOR = 2
_MAX_SKIPPED_FAILOVERS = 7


class PathLostError(PlatformUnavailableError):
    """A read has ended because the client switched to another path.

    A path is the direct connection to the store or one relay. The read failed
    on the old path, or was cancelled there, and can be retried at once on the
    new one.
    """


@dataclass(frozen=True, slots=True)
class StoreResponse:
    """Body of a successful read and the store's incarnation."""

    body: bytes
    incarnation: int


class StoreClient:
    """Reads and writes keyed topics at ``address``.

    Only partition 0 of a topic (``part`` in a query) is used. ``timeout``
    bounds each call, not counting a read's own wait time. The store may reject
    single instances; ``relays`` returns the internal addresses of other
    instances that it may still serve. When the current path fails, the client
    tries other paths at once. An empty relay address stands for the direct
    path. ``last_failures`` contains the value of ``failure_count`` at the
    latest failure of each path. While no path works, ``failovers_to_skip``
    failures pass before other paths are tried again. ``incarnation`` is the
    newest one that any response had.
    """

    def __init__(
        self,
        session: ClientSession,
        address: str,
        timeout: timedelta,
        relays: Callable[[], Sequence[str]] = tuple,
        incarnation: StoreIncarnation | None = None,
    ) -> None:
        self.incarnation = incarnation or StoreIncarnation()
        self.session = session
        self.address = address
        self.timeout = timeout
        self.relays = relays
        self.relay = ''
        self.failure_count = 0
        self.last_failures: dict[str, int] = {}
        self.relay_reads = 0
        self.is_failing_over = False
        self.skipped_failovers = 0
        self.failovers_to_skip = 0
        self.pending_reads: dict[asyncio.Task[StoreResponse], str] = {}

    async def newest(self, topic: str) -> RecordPage:
        """Return the newest record of each key.

        ``end`` is that of the first page, since pages are read at different
        times: a reader that continues from there misses no record.

        Raises:
            PlatformUnavailableError: the store did not respond.
            ExpiredPositionError: the store was restored meanwhile.
            MalformedMessageError: a response cannot be read.
        """
        records: list[KeyedRecord] = []
        query = {'Topic': topic, 'part': '0'}
        end: StorePosition | None = None
        while True:
            response = await self._get('/-/log-newest', query, timedelta())
            page = decode_listing(response.body)
            if end is None:
                end = StorePosition(response.incarnation, page.end)
            end = end.advance(response.incarnation, 0)
            records.extend(page.records)
            if page.unusable_count:
                log(
                    'store_records_unusable',
                    topic=topic,
                    count=page.unusable_count,
                )
            if not page.next_key:
                return RecordPage(tuple(records), end)
            query['after'] = page.next_key

    async def read(
        self, topic: str, start: StorePosition, wait: timedelta = timedelta()
    ) -> RecordPage:
        """Read all records from ``start`` on.

        The store may wait up to ``wait`` for the first one.

        Raises:
            PlatformUnavailableError: the store did not respond.
            ExpiredPositionError: the record at ``start`` is gone.
            MalformedMessageError: the response cannot be read.
        """
        records: list[KeyedRecord] = []
        position = start
        while True:
            query = {
                'Topic': topic,
                'part': '0',
                'From': str(position.offset),
                'WaitMs': str(wait // _MILLISECOND),
            }
            response = await self._get('/-/log-read', query, wait)
            page_records, topic_end = decode_records(response.body)
            records.extend(page_records)
            position = position.advance(response.incarnation, len(page_records))
            if not page_records or position.offset >= topic_end:
                return RecordPage(tuple(records), position)
            # The store limits the size of a response.
            wait = timedelta()

    async def put(self, topic: str, key: str, content: bytes) -> None:
        """Write the newest record of a key.

        Raises:
            PlatformUnavailableError: the write was not confirmed.
            AppendRejectedError: the store does not accept the record.
        """
        try:
            async with self.session.post(
                f'http://{self.address}/-/log-append',
                params={'Topic': topic, 'part': '0'},
                data=encode_record(key, content),
                timeout=ClientTimeout(total=self.timeout.total_seconds()),
            ) as response:
                await response.read()
        except (ClientError, TimeoutError) as error:
            raise PlatformUnavailableError(f'append: {error!r}') from error
        if response.status in REJECTED_APPEND_STATUSES:
            raise AppendRejectedError(
                f'append of {key} to {topic}: status {response.status}'
            )
        if response.status != _OK:
            raise PlatformUnavailableError(f'append: status {response.status}')
        self.incarnation.observe(incarnation_of(response.headers))

    async def _get(
        self, path: str, query: dict[str, str], wait: timedelta
    ) -> StoreResponse:
        relay = self._choose_relay(wait)
        task = asyncio.create_task(self._read(relay, path, query, wait))
        self.pending_reads[task] = relay
        try:
            response = await task
        except asyncio.CancelledError:
            # A switch to another path removes the reads that it cancels from
            # ``pending_reads``.
            if task in self.pending_reads or _is_cancelled():
                raise
            raise PathLostError(
                f'{path}: cancelled by a switch to another path'
            ) from None
        except PlatformUnavailableError as error:
            await self._fail_over(relay, path, query)
            self._check_path(relay, error)
            raise
        finally:
            self.pending_reads.pop(task, None)
        self.failovers_to_skip = 0
        if relay != self.relay:
            self._switch_to(relay)
        self._check_incarnation(path, response)
        return response

    def _check_path(self, failed_relay: str, error: Exception) -> None:
        if failed_relay != self.relay:
            raise PathLostError(str(error)) from error

    def _check_incarnation(self, path: str, response: StoreResponse) -> None:
        if not self.incarnation.observe(response.incarnation):
            raise ExpiredPositionError(
                f'{path}: response of past incarnation {response.incarnation}'
            )

    async def _read(
        self, relay: str, path: str, query: dict[str, str], wait: timedelta
    ) -> StoreResponse:
        base = f'{relay}{RELAY_PREFIX}' if relay else self.address
        try:
            async with self.session.get(
                f'http://{base}{path}',
                params=query,
                timeout=ClientTimeout(
                    total=(self.timeout + wait).total_seconds()
                ),
            ) as response:
                body = await response.read()
        except (ClientError, TimeoutError) as error:
            raise PlatformUnavailableError(f'{path}: {error!r}') from error
        if response.status == _GONE:
            self.incarnation.observe(incarnation_of(response.headers))
            raise ExpiredPositionError(path)
        if response.status != _OK:
            raise PlatformUnavailableError(f'{path}: status {response.status}')
        return StoreResponse(body, incarnation_of(response.headers))

    def _choose_relay(self, wait: timedelta) -> str:
        """Return the relay of the next read; empty to read directly.

        Only a read that does not wait retries the direct path, so that a
        failure costs little time.
        """
        if self.relay and not wait:
            self.relay_reads += 1
            if self.relay_reads % _READS_PER_DIRECT_ATTEMPT == 0:
                return ''
        return self.relay

    async def _fail_over(
        self, failed_relay: str, path: str, query: dict[str, str]
    ) -> None:
        """Switch to the first of several other paths that responds.

        The store may reject several instances, so trying one path after the
        other would take too long. No action is needed if another read has
        already switched paths or is about to.
        """
        self.failure_count += 1
        self.last_failures[failed_relay] = self.failure_count
        if failed_relay != self.relay or self.is_failing_over:
            return
        if self.skipped_failovers < self.failovers_to_skip:
            self.skipped_failovers += 1
            return
        candidates = [
            relay for relay in ('', *self.relays()) if relay != failed_relay
        ]
        # Paths without a failure come first, then those with the oldest one.
        candidates.sort(key=lambda relay: self.last_failures.get(relay, 0))
        self.is_failing_over = True
        try:  # noqa: WPS501 - also when cancelled
            relay = await self._first_responding(
                candidates[:_MAX_FAILOVER_CANDIDATES], query
            )
        finally:
            self.is_failing_over = False
        if relay is not None:
            self._switch_to(relay)
            return
        self.skipped_failovers = 0
        self.failovers_to_skip = min(
            _FAILOVER_BACKOFF_FACTOR * self.failovers_to_skip + 1,
            _MAX_SKIPPED_FAILOVERS,
        )

    async def _first_responding(
        self, candidates: Sequence[str], query: dict[str, str]
    ) -> str | None:
        probe = {'Topic': query['Topic'], 'part': query['part']}
        relays = {
            asyncio.create_task(
                self._read(relay, '/-/log-newest', probe, timedelta())
            ): relay
            for relay in candidates
        }
        pending = set(relays)
        responding_relay: str | None = None
        try:  # noqa: WPS501 - also when cancelled
            while pending and responding_relay is None:
                done, pending = await asyncio.wait(
                    pending, return_when=asyncio.FIRST_COMPLETED
                )
                for task in done:
                    if task.exception() is None:
                        responding_relay = relays[task]
                    else:
                        self.failure_count += 1
                        self.last_failures[relays[task]] = self.failure_count
        finally:
            for task in pending:
                task.cancel()
        return responding_relay

    def _switch_to(self, relay: str) -> None:
        """Use another path and cancel the reads that wait on the old one."""
        self.relay = relay
        log('store_way_changed', relay=relay)
        for task, used_relay in tuple(self.pending_reads.items()):
            if used_relay != relay:
                self.pending_reads.pop(task)
                task.cancel()


def _is_cancelled() -> bool:
    """Return whether the running task itself is being cancelled."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def incarnation_of(headers: Mapping[str, str]) -> int:
    """Return the store's incarnation, 0 if a response does not have it."""
    text = headers.get(INCARNATION_HEADER, '')
    return int(text) if text.isdecimal() else 0
