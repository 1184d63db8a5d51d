"""Callers of the soak: they resolve, keep connections, and note all ends."""

import asyncio
import json
from collections.abc import Callable, Sequence
from random import Random

from standins.slot_server import REQUEST_ID, SIGNATURE

from .invariants import HOLD_SLACK
from .operator import HOST, TIMEOUT_MS, Operator
from .records import RunRecord, Sent

DEADLINE_SECONDS = 0.9
RESOLVE_SECONDS = 1.0
VALIDITY_SECONDS = 1.0
PAUSE_SECONDS = (0.02, 0.2)
LEAVING_SHARE = 0.04
#: The response is due at the timeout of the route, which is the shorter one.
PATIENCE_SECONDS = TIMEOUT_MS / 1000 + HOLD_SLACK
_CUT = (asyncio.IncompleteReadError, OSError, ValueError)


class Caller:
    """Sends requests one after the other over one kept connection."""

    def __init__(
        self,
        name: str,
        directories: Sequence[str],
        instances: dict[str, int],
        operator: Operator,
        run: RunRecord,
        now: Callable[[], float],
        random: Random,
    ) -> None:
        self.name = name
        self.directories = directories
        self.instances = instances
        self.operator = operator
        self.run_record = run
        self.now = now
        self.random = random
        self.count = 0
        self.addresses: tuple[str, ...] = ()
        self.resolved = float('-inf')
        self.address = ''
        self.ends: tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        self.ends = None

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await asyncio.sleep(self.random.uniform(*PAUSE_SECONDS))
            await self.send(self._path())

    async def send(self, path: str, address: str = '') -> Sent | None:
        """Send one request; None if nobody could be reached."""
        if not await self._connect(address):
            return None
        self.count += 1
        sent = Sent(
            f'{self.name}-{self.count}',
            path,
            path != '/unsafe/',
            self.instances[self.address],
            self.now(),
        )
        self.run_record.sent.append(sent)
        leaves = not address and self.random.random() < LEAVING_SHARE
        patience = 0.01 if leaves else PATIENCE_SECONDS
        try:
            async with asyncio.timeout(patience):
                await self._exchange(sent)
        except TimeoutError:
            sent.end = 'left' if leaves else 'late'
            self.close()
        except _CUT:
            sent.end = 'cut'
            self.close()
        sent.ended = self.now()
        return sent

    def close(self) -> None:
        if self.ends is not None:
            self.ends[1].close()
        self.ends = None

    def _path(self) -> str:
        version = self.operator.version - self.random.randrange(2)
        return self.random.choice(
            ('/safe/', '/unsafe/', '/unsafe/', '/move/', f'/only{version}/')
        )

    async def _connect(self, address: str) -> bool:
        if not address and self.now() - self.resolved > VALIDITY_SECONDS:
            await self._resolve()
        wanted = (address,) if address else self.addresses
        if self.ends is not None and self.address in wanted:
            return True
        self.close()
        if not wanted:
            return False
        self.address = self.random.choice(wanted)
        host, _, port = self.address.rpartition(':')
        try:
            async with asyncio.timeout(RESOLVE_SECONDS):
                self.ends = await asyncio.open_connection(host, port)
        except OSError:
            self.resolved = float('-inf')
            return False
        return True

    async def _resolve(self) -> None:
        """Ask up to three directories for addresses."""
        for directory in self.random.sample(
            self.directories, min(3, len(self.directories))
        ):
            try:
                async with asyncio.timeout(RESOLVE_SECONDS):
                    answer = await ask(directory, '/-/resolve?Name=a')
            except (*_CUT, TimeoutError, IndexError):
                continue
            if answer[0] == 200:
                self.addresses = tuple(json.loads(answer[1])['Addresses'])
                self.resolved = self.now()
                return

    async def _exchange(self, sent: Sent) -> None:
        assert self.ends is not None
        reader, writer = self.ends
        method = 'GET' if sent.idempotent else 'POST'
        length = '' if sent.idempotent else 'Content-Length: 0\r\n'
        writer.write(
            f'{method} {sent.path} HTTP/1.1\r\nHost: {HOST}\r\n{length}'
            f'{REQUEST_ID}: {sent.request_id}\r\n'
            'X-Crocusproxy-Deadline-Milliseconds: '
            f'{DEADLINE_SECONDS * 1000:.0f}\r\n\r\n'.encode()
        )
        await writer.drain()
        status, headers, body = await read_response(reader)
        sent.status = status
        sent.body = body.decode()
        sent.signed = SIGNATURE.lower() in headers
        sent.end = 'answered'
        if headers.get('connection') == 'close':
            self.close()


async def ask(address: str, path: str) -> tuple[int, bytes]:
    """Return status and body of one GET on a connection of its own."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, port)
    try:
        request = f'GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
        writer.write(request.encode())
        status, _, body = await read_response(reader)
    finally:
        writer.close()
    return status, body


async def read_response(
    reader: asyncio.StreamReader,
) -> tuple[int, dict[str, str], bytes]:
    """Return status, headers in lower case, and the whole body."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode()
    first, *lines = head.strip().split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(': ')
        headers[name.lower()] = text
    length = int(headers.get('content-length', '0'))
    return int(first.split()[1]), headers, await reader.readexactly(length)
