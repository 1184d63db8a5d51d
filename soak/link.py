"""A loopback TCP proxy that injects network faults."""

import asyncio
import socket
import struct
from collections.abc import Collection
from enum import StrEnum

CHUNK_BYTES = 65_536
DELAY_SECONDS = 0.08


class LinkFault(StrEnum):
    """A network fault that a link injects."""

    NONE = 'none'
    DELAYED = 'delayed'
    RESET = 'reset'
    #: Bytes from the target are dropped; bytes to it pass.
    ONE_WAY = 'one_way'
    #: Bytes are dropped in both directions; connections stay open.
    SILENT = 'silent'


class Link:
    """Forwards connections to ``target`` and injects a fault.

    A connection on which bytes were dropped stays silent permanently. New
    connections from the IP addresses in ``refused`` are reset.
    """

    def __init__(
        self, target: str, refused: Collection[str] = frozenset()
    ) -> None:
        self.target = target
        self.refused = refused
        self.fault = LinkFault.NONE
        self.address = ''
        self.server: asyncio.Server | None = None
        self.open_writers: set[asyncio.StreamWriter] = set()

    async def start(self) -> 'Link':
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        return self

    def apply(self, fault: LinkFault) -> None:
        """Set the injected fault; a reset also aborts open connections."""
        self.fault = fault
        if fault is LinkFault.RESET:
            self._abort_all()

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        self._abort_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.fault is LinkFault.RESET or _source(writer) in self.refused:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await self.connect_to_target()
        except OSError:
            writer.transport.abort()
            return
        writers = {writer, target_writer}
        self.open_writers |= writers
        try:
            await asyncio.gather(
                self.forward(reader, target_writer, LinkFault.SILENT),
                self.forward(
                    target_reader, writer, LinkFault.SILENT, LinkFault.ONE_WAY
                ),
            )
        finally:
            self.open_writers -= writers
            for connection_writer in writers:
                connection_writer.close()

    async def connect_to_target(
        self,
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = self.target.rpartition(':')
        return await asyncio.open_connection(host, port)

    async def forward(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *dropping_faults: LinkFault,
    ) -> None:
        """Forward bytes, and the end of this direction or a reset."""
        is_dropping = False
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if self.fault is LinkFault.DELAYED:
                    await asyncio.sleep(DELAY_SECONDS)
                is_dropping = is_dropping or self.fault in dropping_faults
                if not is_dropping:
                    writer.write(chunk)
                    await writer.drain()
            if not is_dropping:
                writer.write_eof()
        except OSError:
            if not is_dropping:
                reset(writer)

    def abort_from(self, source: str) -> None:
        """Reset the open connections from an IP address."""
        for writer in tuple(self.open_writers):
            if _source(writer) == source:
                writer.transport.abort()

    def _abort_all(self) -> None:
        for writer in tuple(self.open_writers):
            writer.transport.abort()


def reset(writer: asyncio.StreamWriter) -> None:
    """Close a connection so that the peer gets a reset."""
    connection = writer.get_extra_info('socket')
    # A transport that has closed has no socket any more.
    if not writer.is_closing():
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
        )
    writer.transport.abort()


async def connect_with_window(
    address: str, window_bytes: int
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    """Open a connection on which little is received that nobody reads."""
    host, _, port = address.rpartition(':')
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, window_bytes)
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    try:
        await loop.sock_connect(connection, (host, int(port)))
    except BaseException:
        connection.close()
        raise
    return await asyncio.open_connection(sock=connection, limit=window_bytes)


def _source(writer: asyncio.StreamWriter) -> str:
    peer = writer.get_extra_info('peername')
    return str(peer[0]) if peer else ''
