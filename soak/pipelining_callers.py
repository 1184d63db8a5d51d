"""Callers that pipeline requests, read slowly or are far away.

A connection may end only once each request that was passed on to an upstream
has its whole response. These callers make that harder to keep: responses lie in
the kernel's send queue, and requests arrive while they do.
"""

import asyncio
from collections import deque
from collections.abc import Mapping
from dataclasses import dataclass
from math import inf

from standins.slot_server import SIGNATURE

from .callers import (
    CONNECTION_ERRORS,
    PAUSE_SECONDS,
    RESPONSE_TIMEOUT_SECONDS,
    Caller,
    read_response,
)
from .link import connect_with_window
from .operator import MAIN_KEY
from .own_time import wait_in_own_time
from .records import SentRequest
from .upstreams import BODY_BYTES, BODY_PADDING

UNSAFE_SHARE = 0.15
#: More requests follow a batch one by one while its responses are read.
MAX_LATE_REQUESTS = 3
LATE_REQUEST_SECONDS = (0.02, 0.1)
SLOW_LATE_REQUEST_SECONDS = (0.2, 2.6)
#: Long enough for the shorter idle timeouts to end the connection.
LONG_PAUSE_SHARE = 0.1
LONG_PAUSE_SECONDS = (1.0, 3.5)
RECEIVE_BUFFER_BYTES = 4096
READ_BYTES = 1000
BYTES_PER_SECOND = 50_000
DISTANCE_SECONDS = 0.008
WINDOW_BYTES = 16_384
#: The kernel fills a small window in steps, so a slow read takes longer.
SLOW_READ_ALLOWANCE = 4.0


@dataclass(frozen=True, slots=True)
class CallerKind:
    """How a caller behaves.

    It sends up to ``max_depth`` requests at once, whose responses have up to
    ``max_body_bytes`` each and ``max_batch_bytes`` in all. It reads at
    ``BYTES_PER_SECOND`` if ``is_slow``, and its connections lead through a
    link with delay if ``is_distant``. One that ``keeps_connections`` uses each
    until its end; others leave an instance that is no longer named.
    """

    max_depth: int
    max_body_bytes: int
    max_batch_bytes: int
    is_slow: bool = False
    is_distant: bool = False
    keeps_connections: bool = False


PIPELINING = CallerKind(5, 4000, 20_000, keeps_connections=True)
DISTANT = CallerKind(
    5, 30_000, 120_000, is_distant=True, keeps_connections=True
)
SLOW = CallerKind(6, 30_000, 150_000, is_slow=True)
DISTANT_SLOW = CallerKind(6, 30_000, 150_000, is_slow=True, is_distant=True)
#: Reads all responses of a batch well within the shortest shutdown.
BRIEFLY_SLOW = CallerKind(3, 5000, 12_000, is_slow=True)
#: In every run, besides the callers that it asks for.
USUAL_KINDS = (PIPELINING, DISTANT, BRIEFLY_SLOW)


class SlowReader:
    """Reads a stream at ``BYTES_PER_SECOND``."""

    def __init__(self, reader: asyncio.StreamReader) -> None:
        self.reader = reader
        self.received = b''

    async def readuntil(self, separator: bytes) -> bytes:
        while separator not in self.received:
            await self._receive()
        end = self.received.index(separator) + len(separator)
        return self._take(end)

    async def readexactly(self, n: int) -> bytes:
        while len(self.received) < n:
            await self._receive()
        return self._take(n)

    def _take(self, count: int) -> bytes:
        taken, self.received = self.received[:count], self.received[count:]
        return taken

    async def _receive(self) -> None:
        chunk = await self.reader.read(READ_BYTES)
        if not chunk:
            raise asyncio.IncompleteReadError(self.received, None)
        self.received += chunk
        await asyncio.sleep(len(chunk) / BYTES_PER_SECOND)


class PipeliningCaller(Caller):
    """Sends batches of pipelined requests over one connection.

    ``links`` are the links to instances, by the addresses of these.
    """

    def __init__(
        self, kind: CallerKind, links: Mapping[str, str], *details
    ) -> None:
        super().__init__(*details)
        self.kind = kind
        self.links = links
        self.body_bytes: dict[str, int] = {}

    async def run(self) -> None:
        """Send batches until cancelled."""
        while True:
            is_long = self.random.random() < LONG_PAUSE_SHARE
            pause = LONG_PAUSE_SECONDS if is_long else PAUSE_SECONDS
            await asyncio.sleep(self.random.uniform(*pause))
            if await self.connect(''):
                await self.exchange_batch()

    async def connect(self, address: str) -> bool:
        if not self._is_open():
            self.close()
        elif self.kind.keeps_connections:
            return True
        return await super().connect(address)

    async def open_connection(
        self, address: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        target = self.links.get(address, address)
        if self.kind.is_slow:
            return await connect_with_window(target, RECEIVE_BUFFER_BYTES)
        return await super().open_connection(target)

    async def exchange_batch(self) -> None:
        """Send a batch, read the responses, and send more meanwhile."""
        assert self.connection is not None
        _, writer = self.connection
        depth = self.random.randint(
            self.kind.max_depth // 2, self.kind.max_depth
        )
        pending: deque[SentRequest] = deque()
        for _ in range(depth):
            self._send_one(writer, pending, self._body_bytes(depth))
        late_request = asyncio.create_task(self._send_late(writer, pending))
        try:
            await wait_in_own_time(
                self._read(pending), self._time_limit(), self.is_stopped
            )
        except TimeoutError:
            self._give_up(pending, 'late')
        except CONNECTION_ERRORS:
            self._give_up(pending, 'cut')
            self.resolved_at = -inf
        finally:
            late_request.cancel()

    def _is_open(self) -> bool:
        if self.connection is None:
            return False
        reader, writer = self.connection
        return not (reader.at_eof() or writer.is_closing())

    def _body_bytes(self, depth: int) -> int:
        maximum = min(
            self.kind.max_body_bytes, self.kind.max_batch_bytes // depth
        )
        return self.random.randint(maximum * 3 // 4, maximum)

    def _time_limit(self) -> float:
        read_seconds = 0.0
        if self.kind.is_slow:
            read_seconds = self.kind.max_batch_bytes / BYTES_PER_SECOND
        # An unsafe request starts after the responses before it.
        return (
            RESPONSE_TIMEOUT_SECONDS * self.kind.max_depth
            + read_seconds * SLOW_READ_ALLOWANCE
        )

    def _send_one(
        self,
        writer: asyncio.StreamWriter,
        pending: deque[SentRequest],
        body_bytes: int,
    ) -> None:
        is_unsafe = self.random.random() < UNSAFE_SHARE
        path = '/unsafe/' if is_unsafe else '/safe/'
        self.request_count += 1
        request = SentRequest(
            f'{self.name}-{self.request_count}',
            path,
            not is_unsafe,
            self.instances[self.address],
            self.now(),
            key=MAIN_KEY if self.operator.features.accounts else '',
            is_behind=bool(pending),
        )
        self.body_bytes[request.request_id] = body_bytes
        self.run_record.requests.append(request)
        pending.append(request)
        writer.write(self.encode(request, f'{BODY_BYTES}: {body_bytes}\r\n'))

    async def _send_late(
        self, writer: asyncio.StreamWriter, pending: deque[SentRequest]
    ) -> None:
        """Send further requests while responses are being read.

        Their connection may have ended on the other side by then.
        """
        interval = LATE_REQUEST_SECONDS
        if self.kind.is_slow:
            interval = SLOW_LATE_REQUEST_SECONDS
        for _ in range(self.random.randint(0, MAX_LATE_REQUESTS)):
            await asyncio.sleep(self.random.uniform(*interval))
            if not pending or writer.is_closing():
                return
            self._send_one(writer, pending, 0)

    async def _read(self, pending: deque[SentRequest]) -> None:
        assert self.connection is not None
        reader, _ = self.connection
        source = SlowReader(reader) if self.kind.is_slow else reader
        is_last = False
        while pending:
            status, headers, body = await read_response(source)
            self._record_response(pending.popleft(), status, headers, body)
            is_last = is_last or headers.get('connection') == 'close'
        if is_last:
            self.close()

    def _record_response(
        self,
        request: SentRequest,
        status: int,
        headers: dict[str, str],
        body: bytes,
    ) -> None:
        request.ended_at = self.now()
        request.outcome = 'answered'
        request.status = status
        request.is_signed = SIGNATURE.lower() in headers
        is_whole = len(body) >= self.body_bytes[request.request_id]
        request.body = (
            body.rstrip(BODY_PADDING) if is_whole else body
        ).decode()

    def _give_up(self, pending: deque[SentRequest], outcome) -> None:
        for request in pending:
            request.outcome = outcome
            request.ended_at = self.now()
        self.close()
