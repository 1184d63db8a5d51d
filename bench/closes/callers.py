"""Callers on raw sockets, which see all bytes that arrive before a reset."""

import asyncio
import math
import socket
from collections import deque
from collections.abc import Callable, Sequence
from contextlib import suppress

from .ledger import Ledger, Request
from .review_bed import bed
from .tcp_state import has_peer_ended

_READ_BYTES = 2048
_CONNECT_TIMEOUT_SECONDS = 2.0


class PacedReader:
    """Reads from a socket, at most ``bytes_per_second`` if that is not 0."""

    def __init__(self, connection: socket.socket, bytes_per_second: float):
        self.connection = connection
        self.bytes_per_second = bytes_per_second
        self.buffer = b''

    async def readuntil(self, separator: bytes) -> bytes:
        while separator not in self.buffer:
            await self._fill()
        return self._take(self.buffer.index(separator) + len(separator))

    async def readline(self) -> bytes:
        return await self.readuntil(b'\n')

    async def readexactly(self, count: int) -> bytes:
        while len(self.buffer) < count:
            await self._fill()
        return self._take(count)

    async def read_to_end(self) -> bytes:
        with suppress(EOFError):
            while True:
                await self._fill()
        return self._take(len(self.buffer))

    async def _fill(self) -> None:
        loop = asyncio.get_running_loop()
        size = _READ_BYTES if self.bytes_per_second else 65536
        chunk = await loop.sock_recv(self.connection, size)
        if not chunk:
            raise EOFError
        self.buffer += chunk
        if self.bytes_per_second:
            await asyncio.sleep(len(chunk) / self.bytes_per_second)

    def _take(self, count: int) -> bytes:
        taken, self.buffer = self.buffer[:count], self.buffer[count:]
        return taken


class CallerConnection:
    """One kept connection of a caller; requests may be pipelined."""

    count = 0

    def __init__(
        self,
        ledger: Ledger,
        now: Callable[[], float],
        instance: str,
        bytes_per_second: float = 0,
        receive_buffer: int = 0,
    ) -> None:
        CallerConnection.count += 1
        self.number = CallerConnection.count
        self.ledger = ledger
        self.now = now
        self.instance = instance
        self.open_requests: deque[Request] = deque()
        self.is_closed = False
        self.progress = asyncio.Event()
        self.continued = asyncio.Event()
        self.socket = socket.socket()
        self.socket.setblocking(False)
        if receive_buffer:
            self.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer
            )
        self.reader = PacedReader(self.socket, bytes_per_second)

    async def open(self, address: str) -> None:
        host, _, port = address.rpartition(':')
        loop = asyncio.get_running_loop()
        async with asyncio.timeout(_CONNECT_TIMEOUT_SECONDS):
            await loop.sock_connect(self.socket, (host, int(port)))
        self.task = asyncio.create_task(self._read_responses())

    async def send(
        self, requests: Sequence[Request], messages: Sequence[bytes]
    ) -> None:
        """Write requests, in one write if they are pipelined."""
        for request in requests:
            request.is_behind = bool(self.open_requests)
            request.sent_at = self.now()
            self.open_requests.append(request)
            self.ledger.add(request)
        crosses_close = self.is_closed or has_peer_ended(self.socket)
        await self.write(b''.join(messages))
        for request in requests:
            request.sent_at = self.now()
            request.crosses_close |= crosses_close

    def expect(self, request: Request) -> None:
        """Note a request whose last byte the caller of this sends later."""
        request.is_behind = bool(self.open_requests)
        request.sent_at = math.inf
        self.open_requests.append(request)
        self.ledger.add(request)

    async def wait_continue(self, seconds: float) -> None:
        """Wait for `100 Continue`, at most so long."""
        self.continued.clear()
        with suppress(TimeoutError):
            async with asyncio.timeout(seconds):
                await self.continued.wait()

    async def write(self, message: bytes) -> None:
        loop = asyncio.get_running_loop()
        with suppress(OSError):
            await loop.sock_sendall(self.socket, message)

    async def wait_answered(self) -> None:
        """Return once no request is open or the connection has ended."""
        while self.open_requests and not self.is_closed:
            self.progress.clear()
            await self.progress.wait()

    async def close(self) -> None:
        """End the connection as a caller that has given up."""
        self.task.cancel()
        await asyncio.gather(self.task, return_exceptions=True)
        self.socket.close()

    async def _read_responses(self) -> None:
        try:
            while True:
                await self._read_response()
        except (EOFError, OSError, asyncio.IncompleteReadError) as error:
            self._end(type(error).__name__)
        finally:
            self.is_closed = True
            self.progress.set()

    async def _read_response(self) -> None:
        first, headers = await bed.read_head(self.reader)
        status = int(first.split(' ')[1])
        if status < 200:
            self.continued.set()
            return
        has_length = 'content-length' in headers
        if has_length or 'transfer-encoding' in headers:
            body = await bed.read_body(self.reader, headers)
        else:
            body = await self.reader.read_to_end()
        request = self.open_requests.popleft()
        request.body_bytes = len(body)
        request.status = status
        request.is_upstream_answer = bed.SIGNATURE.lower() in headers
        request.completed_at = self.now()
        self.progress.set()

    def _end(self, error: str) -> None:
        self.socket.close()
        for request in self.open_requests:
            request.ended_at = self.now()
            request.end = error
