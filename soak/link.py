"""A loopback proxy on the way to one address, which can be harmed."""

import asyncio
from contextlib import suppress
from enum import StrEnum

CHUNK_BYTES = 65_536
DELAY_SECONDS = 0.08


class Harm(StrEnum):
    """What happens to the bytes on a link."""

    NONE = 'none'
    DELAYED = 'delayed'
    RESET = 'reset'
    #: Nothing comes back, though everything arrives.
    ONE_WAY = 'one_way'
    #: Nothing passes any more, and no end notices it.
    SILENT = 'silent'


class Link:
    """Passes connections on to ``target`` as ``harm`` says.

    A connection on which bytes were dropped stays silent for good.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.harm = Harm.NONE
        self.address = ''
        self.server: asyncio.Server | None = None
        self.open: set[asyncio.StreamWriter] = set()

    async def start(self) -> 'Link':
        self.server = await asyncio.start_server(self._serve, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        return self

    def apply(self, harm: Harm) -> None:
        """Harm the link from now on; a reset ends what is open."""
        self.harm = harm
        if harm is Harm.RESET:
            self._abort_all()

    async def stop(self) -> None:
        if self.server is not None:
            self.server.close()
        self._abort_all()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.harm is Harm.RESET:
            writer.transport.abort()
            return
        host, _, port = self.target.rpartition(':')
        try:
            far_reader, far_writer = await asyncio.open_connection(host, port)
        except OSError:
            writer.transport.abort()
            return
        ends = {writer, far_writer}
        self.open |= ends
        try:
            await asyncio.gather(
                self._pump(reader, far_writer, Harm.SILENT),
                self._pump(far_reader, writer, Harm.SILENT, Harm.ONE_WAY),
            )
        finally:
            self.open -= ends
            for end in ends:
                end.close()

    async def _pump(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        *dropping: Harm,
    ) -> None:
        is_silent = False
        with suppress(OSError):
            while chunk := await reader.read(CHUNK_BYTES):
                if self.harm is Harm.DELAYED:
                    await asyncio.sleep(DELAY_SECONDS)
                is_silent = is_silent or self.harm in dropping
                if not is_silent:
                    writer.write(chunk)
                    await writer.drain()
        if not is_silent:
            writer.close()

    def _abort_all(self) -> None:
        for writer in tuple(self.open):
            writer.transport.abort()
