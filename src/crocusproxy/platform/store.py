"""Client of the platform's store."""

from collections.abc import Callable, Mapping, Sequence
from datetime import timedelta

from aiohttp import ClientError, ClientSession, ClientTimeout

from ..bounded_read import read_bounded
from ..clock import Clock, SystemClock
from ..errors import (
    REJECTED_APPEND_STATUSES,
    AppendRejectedError,
    PlatformUnavailableError,
)
from ..event_loop.peer_timeout import PeerTimeout
from ..logs import log
from ..membership.store_incarnation import StoreIncarnation
from .store_paths import StorePaths, StoreResponse
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


class StoreClient:
    """Reads and writes keyed topics at ``address``.

    Only partition 0 of a topic (``part`` in a query) is used. ``timeout``
    bounds each call, not counting a read's own wait time and pauses of this
    process. The store may reject single instances; ``relays`` returns the
    internal addresses of other instances that it may still serve, and ``paths``
    chooses among these and the direct path. ``incarnation`` is the newest one
    that any response had.
    """

    def __init__(
        self,
        session: ClientSession,
        address: str,
        timeout: timedelta,
        relays: Callable[[], Sequence[str]] = tuple,
        incarnation: StoreIncarnation | None = None,
        clock: Clock | None = None,
    ) -> None:
        self.incarnation = incarnation or StoreIncarnation()
        self.session = session
        self.address = address
        self.timeout = timeout
        self.paths = StorePaths(self._read, relays, clock or SystemClock())

    def without_relays(self) -> 'StoreClient':
        """Return a client that uses the direct path only."""
        return StoreClient(
            self.session,
            self.address,
            self.timeout,
            incarnation=self.incarnation,
            clock=self.paths.clock,
        )

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
            async with (
                PeerTimeout(self.timeout.total_seconds()),
                self.session.post(
                    f'http://{self.address}/-/log-append',
                    params={'Topic': topic, 'part': '0'},
                    data=encode_record(key, content),
                    timeout=ClientTimeout(),
                ) as response,
            ):
                await read_bounded(response)
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
        response = await self.paths.get(path, query, wait)
        self._check_incarnation(path, response)
        return response

    def _check_incarnation(self, path: str, response: StoreResponse) -> None:
        if not self.incarnation.observe(response.incarnation):
            raise ExpiredPositionError(
                f'{path}: response of past incarnation {response.incarnation}'
            )

    async def _read(
        self, relay: str, path: str, query: Mapping[str, str], wait: timedelta
    ) -> StoreResponse:
        base = f'{relay}{RELAY_PREFIX}' if relay else self.address
        try:
            async with (
                PeerTimeout((self.timeout + wait).total_seconds()),
                self.session.get(
                    f'http://{base}{path}',
                    params=query,
                    timeout=ClientTimeout(),
                ) as response,
            ):
                body = await read_bounded(response)
        except (ClientError, TimeoutError) as error:
            raise PlatformUnavailableError(f'{path}: {error!r}') from error
        if response.status == _GONE:
            self.incarnation.observe(incarnation_of(response.headers))
            raise ExpiredPositionError(path)
        if response.status != _OK:
            raise PlatformUnavailableError(f'{path}: status {response.status}')
        return StoreResponse(body, incarnation_of(response.headers))


def incarnation_of(headers: Mapping[str, str]) -> int:
    """Return the store's incarnation, 0 if a response does not have it."""
    text = headers.get(INCARNATION_HEADER, '')
    return int(text) if text.isdecimal() else 0
