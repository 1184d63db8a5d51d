"""Keyed requests with retries, and the check that they ran at most once."""

import asyncio
from collections import Counter
from dataclasses import dataclass, field
from datetime import datetime, timedelta, timezone

from aiohttp import ClientConnectorError, ClientError

from standins.caller import Caller, CallRecord, Request

KEY_LIFETIME = timedelta(seconds=60)


@dataclass
class KeyedRequest:
    """A keyed request; ``records`` holds the result of each attempt.

    Besides the outcomes of the proxy, ``broken`` is the outcome of an attempt
    without a response, and ``not-sent`` of a refused connection.
    """

    caller: Caller
    key: str
    records: list = field(default_factory=list)

    def __post_init__(self):
        expires = datetime.now(timezone.utc) + KEY_LIFETIME
        self.headers = {
            'Idempotency-Key': self.key,
            'Idempotency-Expires': expires.isoformat(),
        }

    async def send(self, one, timeout_ms=10_000):
        """Send the next attempt to the proxy of an instance."""
        request_id = f'{self.key}-{len(self.records)}'
        record = CallRecord('POST', self.key, request_id=request_id)
        headers = self.headers | {
            'X-Request-ID': request_id,
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


async def send_all(requests, one, timeout_ms):
    """Send an attempt of each request concurrently."""
    await asyncio.gather(
        *(request.send(one, timeout_ms) for request in requests)
    )


def outcomes(requests):
    """Count the attempts by error code, or by outcome without a code."""
    records = [one for request in requests for one in request.records]
    return Counter(one.code or one.outcome for one in records)


async def check_at_most_once(system, requests):
    """Compare the outcome of each attempt with the runs at the upstreams.

    Attempts of a key are in the order in which they were sent. Each has its
    own request id, so that a run can be matched to an attempt.
    """
    runs_by_key, runs_by_request = Counter(), Counter()
    for counters in await system.counters():
        runs_by_key.update(counters['runs_by_key'])
        runs_by_request.update(counters['runs_by_request'])
    for request in requests:
        assert runs_by_key[request.key] <= 1, request
        runs = [runs_by_request[one.request_id] for one in request.records]
        for number, record in enumerate(request.records):
            assert record.is_complete and record.matches_request, request
            match record.outcome:
                case 'answered':
                    assert runs[number] == 1, request
                case 'not-run':
                    assert not any(runs[: number + 1]), request
                case 'not-sent':
                    assert not runs[number], request
                case outcome:
                    assert outcome in {'unknown', 'broken'}, request
