"""Cost of claims: claims per append, and the latency that a claim adds.

One ledger with default settings uses the platform stand-in, which runs in a
separate process. Claims arrive at random times at a fixed mean rate.
"""

import asyncio
import socket
import subprocess
import sys
from dataclasses import dataclass
from datetime import datetime, timedelta, timezone
from random import Random

import numpy
from aiohttp import ClientError, ClientSession

from crocusproxy.clock import SystemClock
from crocusproxy.ledger.ledger import Ledger
from crocusproxy.ledger.results import Claimed, LedgerSettings
from crocusproxy.platform_client import PlatformClient

_DELAYS_MS = (1, 2, 5, 20)
_RATES = (10, 100, 1000)
# At 1,000 claims a second and at most 50 appends a second, the mean is 20.
_MIN_CLAIMS_PER_APPEND_AT_HIGHEST_RATE = 10


@dataclass(frozen=True)
class Row:
    """Results at one delay of the platform and one rate of claims."""

    delay_ms: int
    rate: int
    claims: int
    appends: int
    confirmed: int
    seconds: float
    p50_ms: float
    p99_ms: float


def run(short: bool) -> bool:
    """Print the table and return whether the bounds hold.

    All claims must be confirmed, and at the highest rate claims must share
    appends.
    """
    rows = asyncio.run(_measure_all(1 if short else 4))
    print('\nLedger, one instance, default settings')
    print(
        'delay ms  claims/s  appends/s  claims/append  '
        'p50 added ms  p99 added ms  confirmed'
    )
    for row in rows:
        print(
            f'{row.delay_ms:8}  {row.claims / row.seconds:8.0f}  '
            f'{row.appends / row.seconds:9.1f}  '
            f'{row.claims / row.appends:13.1f}  {row.p50_ms:12.1f}  '
            f'{row.p99_ms:12.1f}  {row.confirmed / row.claims:9.1%}'
        )
    return all(
        row.confirmed == row.claims
        and (
            row.rate < max(_RATES)
            or row.claims / row.appends
            >= _MIN_CLAIMS_PER_APPEND_AT_HIGHEST_RATE
        )
        for row in rows
    )


async def _measure_all(seconds: int) -> list[Row]:
    port = _free_port()
    command = [sys.executable, '-m', 'standins.platform', '--port', str(port)]
    process = subprocess.Popen(command)
    try:
        async with ClientSession() as session:
            base = f'http://127.0.0.1:{port}'
            await _wait_until_served(session, base)
            return [
                await _measure(session, base, delay_ms, rate, seconds)
                for delay_ms in _DELAYS_MS
                for rate in _RATES
            ]
    finally:
        process.terminate()
        process.wait()


async def _measure(
    session: ClientSession, base: str, delay_ms: int, rate: int, seconds: int
) -> Row:
    await session.post(f'{base}/faults', json={'delay_ms': delay_ms})
    platform = PlatformClient(session, base.removeprefix('http://'))
    clock = SystemClock()
    ledger = Ledger(platform, clock, LedgerSettings())
    await ledger.start()
    # The stream contains the records of earlier rows, which are read first.
    await ledger.claim(f'{delay_ms}/{rate}/first', 'd', _expiry())
    before = await _appends(session, base)
    started = clock.monotonic()
    random = Random(rate)
    tasks = []
    arrival = timedelta()
    while arrival < timedelta(seconds=seconds):
        arrival += timedelta(seconds=random.expovariate(rate))
        await asyncio.sleep(
            max(0, (started + arrival - clock.monotonic()).total_seconds())
        )
        key = f'{delay_ms}/{rate}/{len(tasks)}'
        tasks.append(asyncio.create_task(_claim(ledger, key)))
    results = await asyncio.gather(*tasks)
    elapsed_seconds = (clock.monotonic() - started).total_seconds()
    appends = await _appends(session, base) - before
    await ledger.stop()
    latencies_ms = [elapsed for elapsed, _ in results]
    p50, p99 = numpy.percentile(latencies_ms, (50, 99))
    confirmed = sum(confirmed for _, confirmed in results)
    return Row(
        delay_ms,
        rate,
        len(tasks),
        appends,
        confirmed,
        elapsed_seconds,
        float(p50),
        float(p99),
    )


async def _claim(ledger: Ledger, key: str) -> tuple[float, bool]:
    started = ledger.clock.monotonic()
    result = await ledger.claim(key, 'd', _expiry())
    elapsed = ledger.clock.monotonic() - started
    return elapsed / timedelta(milliseconds=1), isinstance(result, Claimed)


def _expiry() -> datetime:
    return datetime.now(timezone.utc) + timedelta(minutes=10)


async def _appends(session: ClientSession, base: str) -> int:
    async with session.get(f'{base}/stats') as response:
        return int((await response.json())['appends'])


async def _wait_until_served(session: ClientSession, base: str) -> None:
    async with asyncio.timeout(20):
        while True:
            try:
                await _appends(session, base)
            except ClientError:
                await asyncio.sleep(0.05)
            else:
                return


def _free_port() -> int:
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return int(probe.getsockname()[1])
