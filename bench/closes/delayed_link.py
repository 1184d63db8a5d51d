"""A link that delays bytes and carries a bounded number at a time."""

import asyncio
import re
import socket
import struct
from contextlib import suppress

from .ledger import Ledger
from .review_bed import bed
from .tcp_state import has_peer_ended

_READ_BYTES = 16_384
_RECEIVE_BUFFER_BYTES = 16_384
#: Bytes that a slow caller has not read wait at the instance, not here.
_SEND_BUFFER_BYTES = 8192
_REQUEST_ID = re.compile(rb'^%b: (\w+)' % bed.REQUEST_ID.encode(), re.MULTILINE)
_RESET_LINGER = struct.pack('ii', 1, 0)


class DelayedLink:
    """Connects callers to ``target`` over a link with latency and a window.

    Up to ``window_bytes`` are on their way in each direction of a connection;
    the rest waits in the sender's kernel, as on a long link.
    """

    def __init__(
        self,
        ledger: Ledger,
        target: str,
        delay_seconds: float,
        window_bytes: int = 32_768,
    ) -> None:
        self.ledger = ledger
        self.target = target
        self.delay_seconds = delay_seconds
        self.window_bytes = window_bytes
        self.tasks: set[asyncio.Task] = set()

    async def start(self) -> str:
        """Listen; return the address."""
        self.socket = socket.create_server(('127.0.0.1', 0), backlog=512)
        self.socket.setblocking(False)
        self._keep(self._accept())
        return '%s:%d' % self.socket.getsockname()

    def close(self) -> None:
        for task in self.tasks:
            task.cancel()
        self.socket.close()

    def _keep(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _accept(self) -> None:
        loop = asyncio.get_running_loop()
        while True:
            caller, _ = await loop.sock_accept(self.socket)
            caller.setblocking(False)
            caller.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, _SEND_BUFFER_BYTES
            )
            self._keep(self._connect(caller))

    async def _connect(self, caller: socket.socket) -> None:
        instance = socket.socket()
        instance.setblocking(False)
        instance.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        host, _, port = self.target.rpartition(':')
        loop = asyncio.get_running_loop()
        try:
            await asyncio.sleep(2 * self.delay_seconds)
            await loop.sock_connect(instance, (host, int(port)))
            await asyncio.gather(
                self._carry(caller, instance), self._carry(instance, caller)
            )
        except OSError:
            _reset(caller)
            _reset(instance)
        finally:
            caller.close()
            instance.close()

    async def _carry(self, source: socket.socket, sink: socket.socket) -> None:
        queue: asyncio.Queue[tuple[float, bytes]] = asyncio.Queue(
            max(1, self.window_bytes // _READ_BYTES)
        )
        async with asyncio.TaskGroup() as group:
            group.create_task(self._receive(source, queue))
            group.create_task(self._deliver(queue, sink))

    async def _receive(self, source, queue) -> None:
        loop = asyncio.get_running_loop()
        chunk = b'first'
        while chunk:
            try:
                chunk = await loop.sock_recv(source, _READ_BYTES)
            except OSError:
                chunk = None
            await queue.put((loop.time() + self.delay_seconds, chunk))

    async def _deliver(self, queue, sink) -> None:
        loop = asyncio.get_running_loop()
        chunk = b'first'
        while chunk:
            due_at, chunk = await queue.get()
            await asyncio.sleep(max(0, due_at - loop.time()))
            with suppress(OSError):
                if chunk:
                    self._note_crossing(chunk, sink)
                    await loop.sock_sendall(sink, chunk)
                elif chunk is None:
                    _reset(sink)
                else:
                    sink.shutdown(socket.SHUT_WR)

    def _note_crossing(self, chunk: bytes, sink: socket.socket) -> None:
        """Note requests that reach an instance after it ended."""
        if has_peer_ended(sink):
            for request_id in _REQUEST_ID.findall(chunk):
                request = self.ledger.requests[request_id.decode()]
                request.crosses_close = True


def _reset(connection: socket.socket) -> None:
    with suppress(OSError):
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, _RESET_LINGER
        )
        connection.shutdown(socket.SHUT_RDWR)
