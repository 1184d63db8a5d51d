"""Client of the platform's store."""

import asyncio
import struct
from collections.abc import Callable, Iterator, Sequence
from dataclasses import dataclass
from datetime import timedelta
from typing import Annotated

from aiohttp import ClientError, ClientSession, ClientTimeout
from pydantic import Base64Bytes, ConfigDict, Field, alias_generators
from pydantic.dataclasses import dataclass as checked

from ..errors import CrocusError, PlatformUnavailableError
from ..logs import log
from ..protocol.codec import decode

_OK = 200
_GONE = 410
_LENGTH = struct.Struct('>I')
_BOUNDS = struct.Struct('>QQ')
_MILLISECOND = timedelta(milliseconds=1)
#: Where other instances pass reads on to the store.
RELAY_PREFIX = '/store'
#: Every so many reads over a relay, the direct way is tried again.
_DIRECT_EVERY = 16
#: How many other ways are asked at once when one is lost.
_WAYS_AT_ONCE = 4


class PathLostError(PlatformUnavailableError):
    """A read was ended because another one found its way to be lost.

    Nothing is known of the new way yet, so the read can be repeated at once.
    """


class ExpiredOffsetError(CrocusError):
    """The records that were asked for have been deleted."""

    code = 'offset_expired'


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """One record of a keyed topic; without content it removes the key."""

    key: str
    content: bytes
    offset: int = -1


@dataclass(frozen=True, slots=True)
class RecordPage:
    """Records in order of their offsets; reading goes on at ``end``."""

    records: tuple[KeyedRecord, ...]
    end: int


_PASCAL = ConfigDict(alias_generator=alias_generators.to_pascal)


@checked(frozen=True, slots=True, config=_PASCAL)
class _NewestItem:
    key: str
    # Base64 on the wire, unlike the raw records of a read.
    value: Base64Bytes
    offset: int


@checked(frozen=True, slots=True, config=_PASCAL)
class _NewestPage:
    # Spelled in lower case on the wire, unlike the other fields.
    items: Annotated[tuple[_NewestItem, ...], Field(alias='items')]
    has_more: bool
    end: int


class StoreClient:
    """Reads and writes keyed topics at ``address``.

    ``timeout`` bounds each call, in addition to the time a read may wait. The
    store may turn single instances away; ``relays`` returns the internal
    addresses of others that may still be served. When a way fails, others
    are asked at once.
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
        self.failures = 0
        self.failed: dict[str, int] = {}
        self.relay_reads = 0
        self.looking = False
        self.reading: dict[asyncio.Task[bytes], str] = {}

    async def newest(self, topic: str) -> RecordPage:
        """Return the newest record of each key.

        ``end`` is that of the first page, since pages are read at different
        times: a reader that goes on from there misses nothing.

        Raises:
            PlatformUnavailableError: the store did not answer.
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
            PlatformUnavailableError: the store did not answer.
            ExpiredOffsetError: the record at ``start`` was deleted.
        """
        query = {
            'Topic': topic,
            'part': '0',
            'From': str(start),
            'WaitMs': str(wait // _MILLISECOND),
        }
        body = await self._get('/-/log-read', query, wait)
        records = tuple(_split_records(body[_BOUNDS.size :]))
        return RecordPage(records, start + len(records))

    async def put(self, topic: str, key: str, content: bytes) -> None:
        """Write the newest record of a key.

        Raises:
            PlatformUnavailableError: it is not known to be written.
        """
        name = key.encode()
        record = bytes((len(name),)) + name + content
        try:
            async with self.session.post(
                f'http://{self.address}/-/log-append',
                params={'Topic': topic, 'part': '0'},
                data=_LENGTH.pack(len(record)) + record,
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
        relay = self._choose_way(wait)
        reading = asyncio.create_task(self._read(relay, path, query, wait))
        self.reading[reading] = relay
        try:
            body = await reading
        except asyncio.CancelledError:
            if reading in self.reading or _is_cancelled():
                raise
            raise PathLostError(f'{path}: the way was lost') from None
        except PlatformUnavailableError:
            await self._leave_way(relay, path, query)
            raise
        finally:
            self.reading.pop(reading, None)
        if relay != self.relay:
            self._use_way(relay)
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

    def _choose_way(self, wait: timedelta) -> str:
        """Return the relay of the next read, or nothing to read directly.

        The direct way is tried again now and then by a read that would not
        wait, so that its failure costs little.
        """
        if self.relay and not wait:
            self.relay_reads += 1
            if self.relay_reads % _DIRECT_EVERY == 0:
                return ''
        return self.relay

    async def _leave_way(
        self, lost: str, path: str, query: dict[str, str]
    ) -> None:
        """Go on by the first of some other ways that answers.

        The store may turn several instances away, so one way after the other
        would take too long. One that is not in use any more has been left by
        another read; so has one for which another way is being looked for.
        """
        self.failures += 1
        self.failed[lost] = self.failures
        if lost != self.relay or self.looking:
            return
        ways = [way for way in ('', *self.relays()) if way != lost]
        ways.sort(key=lambda way: self.failed.get(way, 0))
        self.looking = True
        try:  # noqa: WPS501 - also when cancelled
            found = await self._first_to_answer(ways[:_WAYS_AT_ONCE], query)
        finally:
            self.looking = False
        if found is not None:
            self._use_way(found)

    async def _first_to_answer(
        self, ways: Sequence[str], query: dict[str, str]
    ) -> str | None:
        question = {'Topic': query['Topic'], 'part': query['part']}
        asked = {
            asyncio.create_task(
                self._read(way, '/-/log-newest', question, timedelta())
            ): way
            for way in ways
        }
        pending = set(asked)
        found: str | None = None
        while pending and found is None:
            done, pending = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                if task.exception() is None:
                    found = asked[task]
                else:
                    self.failures += 1
                    self.failed[asked[task]] = self.failures
        for task in pending:
            task.cancel()
        return found

    def _use_way(self, relay: str) -> None:
        """Read by another way; what still waits on the old one is ended."""
        self.relay = relay
        log('store_way_changed', relay=relay)
        for reading, way in tuple(self.reading.items()):
            if way != relay:
                self.reading.pop(reading)
                reading.cancel()


def _is_cancelled() -> bool:
    """Return whether the running task itself is to end."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0


def _split_records(content: bytes) -> Iterator[KeyedRecord]:
    """Yield the records of a read; each has its key in front.

    >>> list(_split_records(bytes((0, 0, 0, 4, 2)) + b'ab!'))
    [KeyedRecord(key='ab', content=b'!', offset=-1)]
    """
    position = 0
    while position + _LENGTH.size <= len(content):
        length = int.from_bytes(content[position : position + _LENGTH.size])
        position += _LENGTH.size
        record = content[position : position + length]
        position += length
        name_end = 1 + record[0] if record else 0
        name = record[1:name_end].decode(errors='replace')
        yield KeyedRecord(name, record[name_end:])
