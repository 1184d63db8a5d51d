"""Keyed requests that are sent again, and the check of what became of them."""

import itertools
from collections import Counter
from contextlib import asynccontextmanager
from dataclasses import dataclass
from datetime import datetime, timedelta, timezone

from aiohttp import ClientConnectorError, ClientError

from standins.caller import Caller, CallRecord, Request
from standins.demo_settings import SERVICE

_PATIENCE = timedelta(seconds=20)


@dataclass
class KeyedRequest:
    """One keyed request; ``records`` holds what each attempt came to.

    The outcome ``broken`` stands for a response that did not arrive, and
    ``not-sent`` for a refused connection.
    """

    caller: Caller
    key: str
    lifetime: timedelta = timedelta(seconds=60)

    def __post_init__(self):
        self.records = []
        expires = datetime.now(timezone.utc) + self.lifetime
        self.headers = {
            'Idempotency-Key': self.key,
            'Idempotency-Expires': expires.isoformat(),
        }

    async def send(self, one, timeout_ms=2000):
        """Send an attempt to the proxy of an instance."""
        record = CallRecord('POST', self.key, attempts=1)
        record.request_id = f'{self.key}-{len(self.records)}'
        headers = {
            **self.headers,
            'X-Request-ID': record.request_id,
            'Crocus-Timeout-Ms': str(timeout_ms),
        }
        if not self.records:
            headers['Crocus-Attempt'] = '1'
        self.records.append(record)
        request = Request('POST', '/publish', self.key.encode(), headers)
        try:
            await self.caller.send_to(one.proxy, request, record)
        except ClientConnectorError:
            record.outcome = 'not-sent'
        except (ClientError, TimeoutError):
            record.outcome = 'broken'
        return record


@asynccontextmanager
async def keyed_requests(lifetime=timedelta(seconds=60)):
    """Yield a function that makes keyed requests with fresh keys."""
    numbers = itertools.count()
    async with Caller('resender', SERVICE, (), _PATIENCE) as caller:
        yield lambda: KeyedRequest(caller, f'key{next(numbers)}', lifetime)


async def check_at_most_once(system, requests):
    """Compare what each attempt reported with what the upstreams ran.

    Attempts of a key are in the order in which they were sent. Each has a
    request id of its own, so a run is known to belong to an attempt.
    """
    by_key = Counter()
    by_request = Counter()
    for counters in await system.counters():
        by_key.update(counters['runs_by_key'])
        by_request.update(counters['runs_by_request'])
    for request in requests:
        assert by_key[request.key] <= 1, request
        ran = [by_request[one.request_id] for one in request.records]
        for number, record in enumerate(request.records):
            assert record.whole and record.own, request
            match record.outcome:
                case 'answered':
                    assert ran[number] == 1, request
                case 'not-run':
                    assert not any(ran[: number + 1]), request
                case 'not-sent':
                    assert not ran[number], request
                case outcome:
                    assert outcome in {'unknown', 'broken'}, request


def outcomes(requests):
    """Count the outcomes of all attempts, and the codes of refusals."""
    records = [one for request in requests for one in request.records]
    return Counter(one.code or one.outcome for one in records)
