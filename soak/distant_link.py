"""A loopback proxy with a constant delay and a bounded window."""

import asyncio
import fcntl
import socket
import struct
import termios
from collections.abc import Coroutine
from contextlib import suppress
from typing import Any

RESET_ON_CLOSE = struct.pack('ii', 1, 0)
CLOSE_IN_ORDER = struct.pack('ii', 0, 0)
CHECK_SECONDS = 0.01
_BACKLOG = 100


class DistantLink:
    """Forwards connections to ``target`` with a delay each way.

    Some ``window_bytes`` are under way in a direction. The rest stays in the
    send queue of the sender, whose connection ends as the other side's does:
    each direction for itself, or by a reset. What the link has acknowledged
    reaches the other side before the end or the reset, as on a real path only
    the other side acknowledges.
    """

    def __init__(
        self, target: str, delay_seconds: float, window_bytes: int
    ) -> None:
        self.target = target
        self.delay_seconds = delay_seconds
        self.window_bytes = window_bytes
        self.address = ''
        self.tasks: set[asyncio.Task[None]] = set()

    async def start(self) -> 'DistantLink':
        listener = self._socket()
        listener.bind(('127.0.0.1', 0))
        listener.listen(_BACKLOG)
        self.address = f'127.0.0.1:{listener.getsockname()[1]}'
        self._run(self._accept(listener))
        return self

    async def stop(self) -> None:
        """Reset all connections."""
        for task in tuple(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def _run(self, work: Coroutine[Any, Any, None]) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    async def _accept(self, listener: socket.socket) -> None:
        loop = asyncio.get_running_loop()
        with listener:
            while True:
                connection, _ = await loop.sock_accept(listener)
                self._run(self._serve(connection))

    async def _serve(self, connection: socket.socket) -> None:
        host, _, port = self.target.rpartition(':')
        loop = asyncio.get_running_loop()
        with connection, self._socket() as target:
            for one in (connection, target):
                set_linger(one, RESET_ON_CLOSE)
            with suppress(OSError):
                await loop.sock_connect(target, (host, int(port)))
                await self._exchange(connection, target)
                for one in (connection, target):
                    set_linger(one, CLOSE_IN_ORDER)

    async def _exchange(
        self, connection: socket.socket, target: socket.socket
    ) -> None:
        """Forward in both directions until both end, or one by a reset."""
        directions = [
            asyncio.ensure_future(self._forward(connection, target)),
            asyncio.ensure_future(self._forward(target, connection)),
        ]
        try:
            await asyncio.gather(*directions)
        finally:
            for direction in directions:
                direction.cancel()
            await asyncio.gather(*directions, return_exceptions=True)

    async def _forward(
        self, source: socket.socket, target: socket.socket
    ) -> None:
        """Forward bytes, and the end of this direction or a reset.

        Raises:
            ConnectionError: the source was reset, and the target has received
                everything that came before.
        """
        loop = asyncio.get_running_loop()
        while chunk := await self._receive(source, target):
            await asyncio.sleep(self.delay_seconds)
            try:
                await loop.sock_sendall(target, chunk)
            except OSError:
                # The other direction delivers what the target had sent.
                return
        await asyncio.sleep(self.delay_seconds)
        try:
            target.shutdown(socket.SHUT_WR)
        except OSError:
            return

    async def _receive(
        self, source: socket.socket, target: socket.socket
    ) -> bytes:
        loop = asyncio.get_running_loop()
        try:
            return await loop.sock_recv(source, self.window_bytes)
        except OSError:
            await asyncio.sleep(self.delay_seconds)
            while unacknowledged_bytes(target):
                await asyncio.sleep(CHECK_SECONDS)
            raise

    def _socket(self) -> socket.socket:
        """Return a socket with small buffers, which accepted ones inherit."""
        made = socket.socket()
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            made.setsockopt(socket.SOL_SOCKET, option, self.window_bytes)
        made.setblocking(False)
        return made


def unacknowledged_bytes(connection: socket.socket) -> int:
    """Return how many bytes the peer has not acknowledged, 0 after an end."""
    size = struct.pack('i', 0)
    try:
        answer = fcntl.ioctl(connection, termios.TIOCOUTQ, size)
    except OSError:
        return 0
    return struct.unpack('i', answer)[0]


def set_linger(connection: socket.socket, linger: bytes) -> None:
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
