"""Stand-in for a caller that locates, calls, re-sends and checks responses."""

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

#: The caller gives up a little later than it says, so that the final response
#: at its deadline still reaches it.
_GRACE = timedelta(milliseconds=500)
_KEY_LIFETIME = timedelta(seconds=60)
_MAX_ATTEMPTS = 3


@dataclass
class CallRecord:
    """What one call came to, as its caller saw it.

    ``outcome`` is that of the last attempt. ``request_id`` is the id of the
    attempt that was answered; each attempt has its own. ``is_complete`` and ``matches_request``
    say whether the response's marks agree with its body and its request.
    ``upstream_responses`` counts attempts on which an upstream's response was
    seen, complete or not.
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
        """Time of the call that the upstream does not account for."""
        if self.outcome != 'answered' or self.upstream_ms is None:
            return None
        return self.elapsed_ms - self.upstream_ms


@dataclass
class Request:
    method: str
    path: str
    body: bytes
    headers: dict[str, str]


class BrokenError(Exception):
    """The connection broke after it was opened; the request may have run."""


class NotSentError(Exception):
    """No address could be connected to, so that nothing was sent."""


@dataclass
class Caller:
    """A caller of one service.

    ``locators`` are asked in turn until one answers.
    """

    name: str
    service: str
    locators: Sequence[str]
    timeout: timedelta = timedelta(seconds=2)
    random: Random = field(default_factory=lambda: Random(1))
    records: list[CallRecord] = field(default_factory=list)
    located: Located | None = None
    located_until: float = 0
    locates: int = 0
    session: ClientSession | None = None

    async def __aenter__(self) -> 'Caller':
        self.session = ClientSession(
            connector=TCPConnector(limit=0),
            timeout=ClientTimeout(
                total=(self.timeout + _GRACE).total_seconds()
            ),
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        await self.session.close()

    async def call(
        self, method: str, path: str, body: bytes = b'', keyed: bool = False
    ) -> CallRecord:
        """Make one call, with re-sends, and keep its record.

        A broken call is sent again; a refused one is not.
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
        except BrokenError:
            self.located = None
            request.headers.pop('Crocus-Attempt', None)
            await self._refresh()
        except NotSentError:
            self.located = None
            if record.attempts == _MAX_ATTEMPTS:
                record.outcome = self._outcome_of_nothing_sent(request)
            await self._refresh()

    def _outcome_of_nothing_sent(self, request: Request) -> str:
        if 'Crocus-Attempt' in request.headers:
            return 'not-run'
        return 'unknown' if 'Idempotency-Key' in request.headers else 'failed'

    async def _send(self, request: Request, record: CallRecord) -> None:
        for one in self.located.addresses if self.located else ():
            try:
                await self.send_to(one.address, request, record)
            except ClientConnectorError:
                continue
            except (ClientError, TimeoutError) as error:
                raise BrokenError from error
            return
        raise NotSentError

    async def send_to(
        self, address: str, request: Request, record: CallRecord
    ) -> None:
        """Send once to ``address`` and note the response in ``record``."""
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
            _check(response, body, request, record)
        elif response.content_type == 'application/problem+json':
            record.code = (await response.json()).get('code', '')

    async def _refresh(self) -> None:
        """Locate again if the last answer has expired or was given up."""
        if self.located and time.monotonic() < self.located_until:
            return
        self.located = None
        for address in self.locators:
            asked = time.monotonic()
            client = LocateClient(self.session, address)
            try:
                self.located = await client.locate(self.service, self.name)
            except CrocusError:
                continue
            self.locates += 1
            self.located_until = asked + self.located.validity_ms / 1000
            return


def _outcome(response: ClientResponse) -> str:
    """Return the outcome; the older balancer does not name any."""
    stated = response.headers.get('Crocus-Outcome')
    if stated:
        return stated
    if 'Upstream-Response-Mark' in response.headers:
        return 'answered'
    return 'not-run' if 'Upstream-Outcome' in response.headers else 'unknown'


def _check(
    response: ClientResponse,
    body: bytes,
    request: Request,
    record: CallRecord,
) -> None:
    marks = response.headers
    record.matches_request = marks.get('X-Request-ID') == record.request_id
    if response.status != 200:
        # The upstream failed fast or shed the request and marked no body.
        return
    record.response_mark = hashlib.sha256(body).hexdigest()
    record.is_complete = record.response_mark == marks.get(
        'Upstream-Response-Mark'
    )
    sent = hashlib.sha256(request.body).hexdigest()
    record.matches_request &= marks.get('Upstream-Request-Mark') == sent
    if record.is_complete:
        # A body that was cut may lack the text that tells whose it is.
        record.matches_request &= (
            f' {record.request_id} {sent} '.encode() in body
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
    """Send calls at random moments and return when all have ended.

    Calls do not wait for one another. Keyed calls are POSTs. ``stop`` ends the
    load before ``seconds`` have passed.
    """
    source = Random(seed)
    end = time.monotonic() + seconds
    stop = stop or asyncio.Event()
    async with asyncio.TaskGroup() as calls:
        while time.monotonic() < end and not stop.is_set():
            await asyncio.sleep(source.expovariate(calls_per_second))
            keyed = source.random() < keyed_share
            size = source.choice((256, 4096, 65536))
            call = source.choice(callers).call(
                'POST' if keyed else 'GET',
                f'/bulletin?size={size}',
                source.randbytes(200) if keyed else b'',
                keyed,
            )
            calls.create_task(call)
