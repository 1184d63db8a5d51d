"""Callers of the soak: send requests and record their outcomes."""

import asyncio
import json
from collections.abc import Callable, Sequence
from random import Random
from typing import Protocol

from standins.slot_server import REQUEST_ID, SIGNATURE

from .invariants import RESPONSE_SLACK_SECONDS
from .operator import HOST, MAIN_KEY, TIMEOUT_MS, Operator
from .own_time import wait_in_own_time
from .records import RunRecord, SentRequest

#: Callers with keys also send this header, which the system must replace.
ACCOUNT = 'X-Crocusproxy-Tenant-Name'
DEADLINE_SECONDS = 0.9
CONNECT_TIMEOUT_SECONDS = 1.0
ADDRESS_VALIDITY_SECONDS = 1.0
PAUSE_SECONDS = (0.02, 0.2)
ABANDON_SHARE = 0.04
#: The timeout of the route is shorter than the deadline of the request.
RESPONSE_TIMEOUT_SECONDS = TIMEOUT_MS / 1000 + RESPONSE_SLACK_SECONDS
CONNECTION_ERRORS = (asyncio.IncompleteReadError, OSError, ValueError)


class Caller:
    """Sends requests in sequence over one keep-alive connection."""

    def __init__(
        self,
        name: str,
        directories: Sequence[str],
        instances: dict[str, int],
        operator: Operator,
        run: RunRecord,
        now: Callable[[], float],
        random: Random,
        failure_domain: str = '',
    ) -> None:
        self.name = name
        self.failure_domain = failure_domain
        self.directories = directories
        self.instances = instances
        self.operator = operator
        self.run_record = run
        self.now = now
        self.random = random
        self.request_count = 0
        self.addresses: tuple[str, ...] = ()
        self.resolved_at = float('-inf')
        self.address = ''
        self.connection: (
            tuple[asyncio.StreamReader, asyncio.StreamWriter] | None
        )
        self.connection = None

    async def run(self) -> None:
        """Send requests until cancelled."""
        while True:
            await asyncio.sleep(self.random.uniform(*PAUSE_SECONDS))
            await self.send(self.random_path())

    async def send(self, path: str, address: str = '') -> SentRequest | None:
        """Send a request; return None if no instance could be reached.

        Without ``address``, a resolved address is used.
        """
        if not await self.connect(address):
            return None
        self.request_count += 1
        request = SentRequest(
            f'{self.name}-{self.request_count}',
            path,
            path != '/unsafe/',
            self.instances[self.address],
            self.now(),
            key=self._key(is_check=bool(address)),
        )
        self.run_record.requests.append(request)
        is_abandoned = not address and self.random.random() < ABANDON_SHARE
        timeout_seconds = 0.01 if is_abandoned else RESPONSE_TIMEOUT_SECONDS
        try:
            await wait_in_own_time(
                self.exchange(request), timeout_seconds, self.is_stopped
            )
        except TimeoutError:
            request.outcome = 'left' if is_abandoned else 'late'
            self.close()
        except CONNECTION_ERRORS:
            request.outcome = 'cut'
            self.close()
        finally:
            # The response may be complete in the step of a cancellation.
            request.ended_at = self.now()
        return request

    def is_stopped(self) -> bool:
        """Return whether the process that must answer is stopped now.

        RULES.md: "Rules with a time bound hold only for machines in touch",
        and one is in touch if "its processes ran, with no [...] freeze". A
        stopped process can't answer, so its callers wait that much longer.
        A request that it passed on to a stopped one has its usual time.
        """
        return self.run_record.is_stopped(self.instances[self.address])

    def close(self) -> None:
        if self.connection is not None:
            self.connection[1].close()
        self.connection = None

    def random_path(self) -> str:
        version = self.operator.version - self.random.randrange(2)
        return self.random.choice(
            ('/safe/', '/unsafe/', '/unsafe/', '/move/', f'/only{version}/')
        )

    def _key(self, *, is_check: bool) -> str:
        if is_check and self.operator.features.accounts:
            return MAIN_KEY
        return self.operator.random_key(self.random)

    async def connect(self, address: str) -> bool:
        if (
            not address
            and self.now() - self.resolved_at > ADDRESS_VALIDITY_SECONDS
        ):
            await self.resolve()
        candidates = (address,) if address else self.addresses
        if self.connection is not None and self.address in candidates:
            return True
        self.close()
        if not candidates:
            return False
        self.address = self.random.choice(candidates)
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                self.connection = await self.open_connection(self.address)
        except OSError:
            self.resolved_at = float('-inf')
            return False
        return True

    async def open_connection(
        self, address: str
    ) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
        host, _, port = address.rpartition(':')
        return await asyncio.open_connection(host, port)

    async def resolve(self) -> None:
        """Request addresses from up to three directories until one responds."""
        for directory in self.random.sample(
            self.directories, min(3, len(self.directories))
        ):
            try:
                async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                    response = await http_get(
                        directory,
                        f'/-/resolve?Name=a&Zone={self.failure_domain}',
                    )
            except (*CONNECTION_ERRORS, TimeoutError, IndexError):
                continue
            if response[0] == 200:
                self.addresses = tuple(json.loads(response[1])['Addresses'])
                self.resolved_at = self.now()
                return

    async def exchange(self, request: SentRequest) -> None:
        assert self.connection is not None
        reader, writer = self.connection
        writer.write(self.encode(request))
        await writer.drain()
        status, headers, body = await read_response(reader)
        request.status = status
        request.body = body.decode()
        request.is_signed = SIGNATURE.lower() in headers
        request.outcome = 'answered'
        if headers.get('connection') == 'close':
            self.close()

    def encode(self, request: SentRequest, extra: str = '') -> bytes:
        """Return the head of a request, with ``extra`` header lines."""
        method = 'GET' if request.idempotent else 'POST'
        if not request.idempotent:
            extra += 'Content-Length: 0\r\n'
        if request.key:
            extra += f'Authorization: Bearer {request.key}\r\n'
        if self.operator.features.accounts:
            extra += f'{ACCOUNT}: forged\r\n'
        return (
            f'{method} {request.path} HTTP/1.1\r\nHost: {HOST}\r\n{extra}'
            f'{REQUEST_ID}: {request.request_id}\r\n'
            'X-Crocusproxy-Deadline-Milliseconds: '
            f'{DEADLINE_SECONDS * 1000:.0f}\r\n\r\n'.encode()
        )


async def http_get(address: str, path: str) -> tuple[int, bytes]:
    """Send a GET on a new connection and return status and body."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, port)
    try:
        message = f'GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
        writer.write(message.encode())
        status, _, body = await read_response(reader)
    finally:
        writer.close()
    return status, body


class ResponseReader(Protocol):
    """The part of a stream reader that a response needs."""

    async def readuntil(self, separator: bytes) -> bytes:
        """Return bytes up to the end of ``separator``."""

    async def readexactly(self, n: int) -> bytes:
        """Return ``n`` bytes."""


async def read_response(
    reader: ResponseReader,
) -> tuple[int, dict[str, str], bytes]:
    """Return the status, the headers with lowercase names, and the body."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode()
    status_line, *header_lines = head.strip().split('\r\n')
    headers = {}
    for header_line in header_lines:
        name, _, header_value = header_line.partition(': ')
        headers[name.lower()] = header_value
    length = int(headers.get('content-length', '0'))
    return (
        int(status_line.split()[1]),
        headers,
        await reader.readexactly(length),
    )
