"""Client of the platform's store."""

import asyncio
import struct
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Annotated

from aiohttp import ClientError, ClientSession, ClientTimeout
from pydantic import Base64Bytes, ConfigDict, Field, alias_generators
from pydantic.dataclasses import dataclass as pydantic_dataclass

from ..errors import CrocusError, PlatformUnavailableError
from ..logs import log
from ..protocol.codec import decode

_OK = 200
_GONE = 410
_RECORD_LENGTH = struct.Struct('>I')
#: Starts the response to a read: two offsets, which this client does not use.
_PAGE_HEADER = struct.Struct('>QQ')
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
    """A read was cancelled because the client switched to another path.

    A path is the direct connection to the store or one relay. The read did
    not fail on the new path, so it can be retried at once.
    """


class ExpiredOffsetError(CrocusError):
    """The requested records have been deleted."""

    code = 'offset_expired'


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """One record of a keyed topic; empty content removes the key.

    ``offset`` is -1 for the records of a read, which do not contain it.
    """

    key: str
    content: bytes
    offset: int = -1


@dataclass(frozen=True, slots=True)
class RecordPage:
    """Records in order of their offsets; the next read starts at ``end``."""

    records: tuple[KeyedRecord, ...]
    end: int


_PASCAL = ConfigDict(alias_generator=alias_generators.to_pascal)


@pydantic_dataclass(frozen=True, slots=True, config=_PASCAL)
class _NewestItem:
    key: str
    # Base64 on the wire, unlike the raw records of a read.
    value: Base64Bytes
    offset: int


@pydantic_dataclass(frozen=True, slots=True, config=_PASCAL)
class _NewestPage:
    # Lower case on the wire, unlike the other fields.
    items: Annotated[tuple[_NewestItem, ...], Field(alias='items')]
    has_more: bool
    end: int


class StoreClient:
    """Reads and writes keyed topics at ``address``.

    Only partition 0 of a topic (``part`` in a query) is used. ``timeout``
    bounds each call, not counting a read's own wait time. The store may reject
    single instances; ``relays`` returns the internal addresses of other
    instances that it may still serve. When the current path fails, the client
    tries other paths at once. An empty relay address stands for the direct
    path. ``last_failures`` contains the value of ``failure_count`` at the
    latest failure of each path. While no path works, ``failovers_to_skip``
    failures pass before other paths are tried again.
    """

    def __init__(
        self,
        session: ClientSession,
        address: str,
        timeout: timedelta,
        relays: Callable[[], Sequence[str]] = tuple,
    ) -> None:
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
        self.pending_reads: dict[asyncio.Task[bytes], str] = {}

    async def newest(self, topic: str) -> RecordPage:
        """Return the newest record of each key.

        ``end`` is that of the first page, since pages are read at different
        times: a reader that continues from there misses no record.

        Raises:
            PlatformUnavailableError: the store did not respond.
        """
        records: list[KeyedRecord] = []
        query = {'Topic': topic, 'part': '0'}
        end = -1
        while True:
            body = await self._get('/-/log-newest', query, timedelta())
            page = decode(_NewestPage, body)
            end = page.end if end < 0 else end
            records.extend(
                KeyedRecord(item.key, item.value, item.offset)
                for item in page.items
            )
            if not page.has_more or not page.items:
                return RecordPage(tuple(records), end)
            query['after'] = page.items[-1].key

    async def read(
        self, topic: str, start: int, wait: timedelta = timedelta()
    ) -> RecordPage:
        """Read records from ``start`` on; wait up to ``wait`` for the first.

        Raises:
            PlatformUnavailableError: the store did not respond.
            ExpiredOffsetError: the record at ``start`` was deleted.
        """
        query = {
            'Topic': topic,
            'part': '0',
            'From': str(start),
            'WaitMs': str(wait // _MILLISECOND),
        }
        body = await self._get('/-/log-read', query, wait)
        records = tuple(_split_records(body[_PAGE_HEADER.size :]))
        return RecordPage(records, start + len(records))

    async def put(self, topic: str, key: str, content: bytes) -> None:
        """Write the newest record of a key.

        Raises:
            PlatformUnavailableError: the write was not confirmed.
        """
        key_bytes = key.encode()
        record = bytes((len(key_bytes),)) + key_bytes + content
        try:
            async with self.session.post(
                f'http://{self.address}/-/log-append',
                params={'Topic': topic, 'part': '0'},
                data=_RECORD_LENGTH.pack(len(record)) + record,
                timeout=ClientTimeout(total=self.timeout.total_seconds()),
            ) as response:
                await response.read()
        except (ClientError, TimeoutError) as error:
            raise PlatformUnavailableError(f'append: {error!r}') from error
        if response.status != _OK:
            raise PlatformUnavailableError(f'append: status {response.status}')

    async def _get(
        self, path: str, query: dict[str, str], wait: timedelta
    ) -> bytes:
        relay = self._choose_relay(wait)
        task = asyncio.create_task(self._read(relay, path, query, wait))
        self.pending_reads[task] = relay
        try:
            body = await task
        except asyncio.CancelledError:
            # A switch to another path removes the reads that it cancels from
            # ``pending_reads``.
            if task in self.pending_reads or _is_cancelled():
                raise
            raise PathLostError(
                f'{path}: cancelled by a switch to another path'
            ) from None
        except PlatformUnavailableError:
            await self._fail_over(relay, path, query)
            raise
        finally:
            self.pending_reads.pop(task, None)
        self.failovers_to_skip = 0
        if relay != self.relay:
            self._switch_to(relay)
        return body

    async def _read(
        self, relay: str, path: str, query: dict[str, str], wait: timedelta
    ) -> bytes:
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
            raise ExpiredOffsetError(path)
        if response.status != _OK:
            raise PlatformUnavailableError(f'{path}: status {response.status}')
        return body

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


def _split_records(content: bytes) -> Iterator[KeyedRecord]:
    """Yield the records of a read; each starts with its key.

    >>> list(_split_records(bytes((0, 0, 0, 4, 2)) + b'ab!'))
    [KeyedRecord(key='ab', content=b'!', offset=-1)]
    """
    position = 0
    while position + _RECORD_LENGTH.size <= len(content):
        length = int.from_bytes(
            content[position : position + _RECORD_LENGTH.size]
        )
        position += _RECORD_LENGTH.size
        record = content[position : position + length]
        position += length
        key_end = 1 + record[0] if record else 0
        key = record[1:key_end].decode(errors='replace')
        yield KeyedRecord(key, record[key_end:])
