"""Stand-in for a caller that locates homes, retries and checks responses."""

import asyncio
import hashlib
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from datetime import datetime, timedelta, timezone
from random import Random

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    TCPConnector,
)

from crocusproxy.errors import CrocusError
from crocusproxy.protocol.locate import LocateClient, Located

#: The client times out later than the deadline that it sends, so that it still
#: receives the response that the proxy sends at the deadline.
_DEADLINE_GRACE = timedelta(milliseconds=500)
_KEY_LIFETIME = timedelta(seconds=60)
_MAX_ATTEMPTS = 3


@dataclass
class CallRecord:
    """The result of one call, as seen by its caller.

    ``outcome`` is that of the last attempt. ``request_id`` is the id of the
    attempt that was answered; each attempt has its own. ``is_complete`` and
    ``matches_request`` are whether the response's marks match its body and its
    request. ``upstream_responses`` counts attempts that received a response of
    an upstream, complete or not.
    """

    method: str
    key: str = ''
    outcome: str = ''
    status: int = 0
    code: str = ''
    attempts: int = 0
    upstream_responses: int = 0
    request_id: str = ''
    response_mark: str = ''
    is_complete: bool = True
    matches_request: bool = True
    elapsed_ms: float = 0
    upstream_ms: float | None = None

    @property
    def added_ms(self) -> float | None:
        """Latency beyond the time spent at the upstream; None if unknown."""
        if self.outcome != 'answered' or self.upstream_ms is None:
            return None
        return self.elapsed_ms - self.upstream_ms


@dataclass
class Request:
    method: str
    path: str
    body: bytes
    headers: dict[str, str]


class ConnectionBrokenError(Exception):
    """The connection broke after it was opened; the request may have run."""


class NotSentError(Exception):
    """No address accepted a connection, so nothing was sent."""


@dataclass
class Caller:
    """A caller of one service.

    ``locators`` are tried in order until one responds.
    """

    name: str
    service: str
    locators: Sequence[str]
    timeout: timedelta = timedelta(seconds=2)
    random: Random = field(default_factory=lambda: Random(1))
    records: list[CallRecord] = field(default_factory=list)
    located: Located | None = None
    located_until: float = 0
    locate_count: int = 0
    session: ClientSession | None = None

    async def __aenter__(self) -> 'Caller':
        self.session = ClientSession(
            connector=TCPConnector(limit=0),
            timeout=ClientTimeout(
                total=(self.timeout + _DEADLINE_GRACE).total_seconds()
            ),
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.session.close()

    async def call(
        self, method: str, path: str, body: bytes = b'', keyed: bool = False
    ) -> CallRecord:
        """Make one call, with retries, and store its record.

        A call is retried after a broken connection, but not after a refusal.
        """
        record = CallRecord(method)
        self.records.append(record)
        headers = self._headers(record, keyed)
        request = Request(method, path, body, headers)
        await self._refresh()
        start = time.monotonic()
        while not record.outcome:
            await self._attempt(request, record)
            if record.attempts == _MAX_ATTEMPTS and not record.outcome:
                record.outcome = 'unknown' if keyed else 'failed'
        record.elapsed_ms = (time.monotonic() - start) * 1000
        return record

    def _headers(self, record: CallRecord, keyed: bool) -> dict[str, str]:
        headers = {
            'Crocus-Caller': self.name,
            'Crocus-Attempt': '1',
            'Crocus-Timeout-Ms': str(self.timeout // timedelta(milliseconds=1)),
        }
        if keyed:
            record.key = f'{self.name}-{self.random.getrandbits(64):016x}'
            expires = datetime.now(timezone.utc) + _KEY_LIFETIME
            headers['Idempotency-Key'] = record.key
            headers['Idempotency-Expires'] = expires.isoformat()
        return headers

    async def _attempt(self, request: Request, record: CallRecord) -> None:
        record.attempts += 1
        record.request_id = f'{self.name}-{self.random.getrandbits(64):016x}'
        request.headers['X-Request-ID'] = record.request_id
        try:
            await self._send(request, record)
        except ConnectionBrokenError:
            self.located = None
            request.headers.pop('Crocus-Attempt', None)
            await self._refresh()
        except NotSentError:
            self.located = None
            if record.attempts == _MAX_ATTEMPTS:
                record.outcome = self._outcome_if_not_sent(request)
            await self._refresh()

    def _outcome_if_not_sent(self, request: Request) -> str:
        if 'Crocus-Attempt' in request.headers:
            return 'not-run'
        return 'unknown' if 'Idempotency-Key' in request.headers else 'failed'

    async def _send(self, request: Request, record: CallRecord) -> None:
        for home in self.located.addresses if self.located else ():
            try:
                await self.send_to(home.address, request, record)
            except ClientConnectorError:
                continue
            except (ClientError, TimeoutError) as error:
                raise ConnectionBrokenError from error
            return
        raise NotSentError

    async def send_to(
        self, address: str, request: Request, record: CallRecord
    ) -> None:
        """Send once to ``address`` and store the response in ``record``."""
        async with self.session.request(
            request.method,
            f'http://{address}/{self.service}{request.path}',
            data=request.body,
            headers=request.headers,
        ) as response:
            if 'Upstream-Name' in response.headers:
                record.upstream_responses += 1
            body = await response.read()
        record.status = response.status
        record.outcome = _outcome(response)
        if record.outcome == 'answered':
            _check_marks(response, body, request, record)
        elif response.content_type == 'application/problem+json':
            record.code = (await response.json()).get('code', '')

    async def _refresh(self) -> None:
        """Locate again if the last response has expired or was discarded."""
        if self.located and time.monotonic() < self.located_until:
            return
        self.located = None
        for address in self.locators:
            requested_at = time.monotonic()
            client = LocateClient(self.session, address)
            try:
                self.located = await client.locate(self.service, self.name)
            except CrocusError:
                continue
            self.locate_count += 1
            self.located_until = requested_at + self.located.validity_ms / 1000
            return


def _outcome(response: ClientResponse) -> str:
    """Return the outcome, which the older balancer does not report."""
    reported = response.headers.get('Crocus-Outcome')
    if reported:
        return reported
    if 'Upstream-Response-Mark' in response.headers:
        return 'answered'
    return 'not-run' if 'Upstream-Outcome' in response.headers else 'unknown'


def _check_marks(
    response: ClientResponse,
    body: bytes,
    request: Request,
    record: CallRecord,
) -> None:
    marks = response.headers
    record.matches_request = marks.get('X-Request-ID') == record.request_id
    if response.status != 200:
        # An upstream that failed fast or shed the request sends no body mark.
        return
    record.response_mark = hashlib.sha256(body).hexdigest()
    record.is_complete = record.response_mark == marks.get(
        'Upstream-Response-Mark'
    )
    request_mark = hashlib.sha256(request.body).hexdigest()
    record.matches_request &= marks.get('Upstream-Request-Mark') == request_mark
    if record.is_complete:
        # A truncated body may lack the text that identifies the request.
        record.matches_request &= (
            f' {record.request_id} {request_mark} '.encode() in body
        )
    record.upstream_ms = float(marks.get('Upstream-Time-Ms', 0))


async def send_load(
    callers: Sequence[Caller],
    calls_per_second: float,
    seconds: float,
    keyed_share: float,
    seed: int = 1,
    stop: asyncio.Event | None = None,
) -> None:
    """Send calls as a Poisson process and return when all have finished.

    Calls do not wait for one another. Keyed calls are POSTs. ``stop`` ends the
    load before ``seconds`` have passed.
    """
    generator = Random(seed)
    end = time.monotonic() + seconds
    stop = stop or asyncio.Event()
    async with asyncio.TaskGroup() as calls:
        while time.monotonic() < end and not stop.is_set():
            await asyncio.sleep(generator.expovariate(calls_per_second))
            keyed = generator.random() < keyed_share
            size = generator.choice((256, 4096, 65536))
            call = generator.choice(callers).call(
                'POST' if keyed else 'GET',
                f'/bulletin?size={size}',
                generator.randbytes(200) if keyed else b'',
                keyed,
            )
            calls.create_task(call)
