"""Latency added by ``crocus-proxy``, compared with a bare aiohttp proxy.

Both proxies run as separate processes on loopback, in front of the same
upstream. Batches of calls to the upstream itself, to the bare proxy and to
``crocus-proxy`` alternate in the same run, so that noise on the machine affects
all three. Quantiles are computed per round, and their median is reported, so
that a pause of the machine affects one round only. The bound is on the ratio of
the added latencies.
"""

import asyncio
import json
import socket
import sys
import tempfile
import time
from contextlib import AsyncExitStack, asynccontextmanager
from operator import sub
from pathlib import Path
from statistics import median

import uvloop

from standins.feed import feed, one_service

MAX_ADDED_LATENCY_RATIO = 1.25
_CONCURRENCY = (1, 8)
_ROUNDS = 60
_CALLS_PER_ROUND = 400
_SHORT_ROUNDS = 5
_WARM_UP_CALLS = 500
_START_ATTEMPTS = 200
_BODY_BYTES = 1024
# The size of the users' services, since choosing an upstream takes time.
_UPSTREAMS = 15
_SLOTS = 2


class Caller(asyncio.Protocol):
    """Sends requests one after another and records their durations."""

    def __init__(self, path: str, calls: int) -> None:
        self.request = f'GET {path} HTTP/1.1\r\nHost: bench\r\n\r\n'.encode()
        self.remaining = calls
        self.seconds: list[float] = []
        self.done = asyncio.get_running_loop().create_future()
        self.received = 0

    def connection_made(self, transport: asyncio.Transport) -> None:
        self.transport = transport
        self._send()

    def data_received(self, data: bytes) -> None:
        if not self.received:
            head = data.index(b'\r\n\r\n') + 4
            if not data.startswith(b'HTTP/1.1 200'):
                self.done.set_exception(RuntimeError(data.decode()))
                return
            self.received = -head
        self.received += len(data)
        if self.received >= _BODY_BYTES:
            self.seconds.append(time.perf_counter() - self.sent)
            self.remaining -= 1
            self._send()

    def connection_lost(self, error: Exception | None) -> None:
        if not self.done.done():
            self.done.set_exception(RuntimeError('connection lost'))

    def _send(self) -> None:
        if not self.remaining:
            self.done.set_result(None)
            self.transport.close()
            return
        self.received = 0
        self.sent = time.perf_counter()
        self.transport.write(self.request)


async def call(port: int, path: str, concurrency: int, calls: int) -> list:
    """Return the durations of ``calls`` calls in seconds."""
    loop = asyncio.get_running_loop()
    callers = [Caller(path, calls // concurrency) for _ in range(concurrency)]
    for caller in callers:
        await loop.create_connection(
            lambda caller=caller: caller, '127.0.0.1', port
        )
    for caller in callers:
        await caller.done
    return [seconds for caller in callers for seconds in caller.seconds]


async def measure(
    targets: dict[str, tuple[int, str]], concurrency: int, rounds: int
) -> dict[str, list[list[float]]]:
    """Return the sorted durations of calls in seconds, by target and round."""
    seconds: dict[str, list[list[float]]] = {name: [] for name in targets}
    for port, path in targets.values():
        await call(port, path, concurrency, _WARM_UP_CALLS)
    order = list(targets.items())
    for _ in range(rounds):
        order.append(order.pop(0))
        for name, (port, path) in order:
            durations = await call(port, path, concurrency, _CALLS_PER_ROUND)
            seconds[name].append(sorted(durations))
    return seconds


def added_latency(
    seconds: dict[str, list[list[float]]], share: float
) -> tuple[float, float, float]:
    """Return a quantile of direct calls, and what each proxy adds to it."""
    direct, bare, crocus = (
        [durations[int(share * len(durations))] for durations in seconds[name]]
        for name in ('direct', 'bare', 'crocus')
    )
    return (
        median(direct),
        _median_difference(bare, direct),
        _median_difference(crocus, direct),
    )


def _median_difference(proxied: list[float], direct: list[float]) -> float:
    return median(map(sub, proxied, direct))


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(('127.0.0.1', 0))
        return probe.getsockname()[1]


@asynccontextmanager
async def process(*command: str):
    """Run a process during the block."""
    child = await asyncio.create_subprocess_exec(
        *command, stderr=asyncio.subprocess.DEVNULL
    )
    try:
        yield child
    finally:
        child.terminate()
        await child.wait()


def write_settings(directory: str, port: int, feed_address: str) -> str:
    listen = {'host': '127.0.0.1', 'port': port}
    settings = {
        'instance': {'name': 'i1', 'failure_domain': 'fd1'},
        'listen': listen,
        'admin': listen | {'port': free_port()},
        'feeds': [feed_address],
        'locate_validity': '1ms',
    }
    path = Path(directory) / 'proxy.yaml'
    path.write_text(json.dumps(settings))
    return str(path)


async def wait_until_serving(port: int, path: str) -> None:
    for _ in range(_START_ATTEMPTS):
        try:
            await call(port, path, 1, 1)
        except (OSError, RuntimeError):
            await asyncio.sleep(0.05)
        else:
            return
    raise RuntimeError(f'port {port} does not serve {path}')


async def compare(rounds: int) -> dict[int, dict[str, list[list[float]]]]:
    """Return durations of calls by concurrency, target and round."""
    targets = {
        'direct': (free_port(), '/x'),
        'bare': (free_port(), '/x'),
        'crocus': (free_port(), '/s/x'),
    }
    upstream = f'127.0.0.1:{targets["direct"][0]}'
    servers = (sys.executable, '-m', 'bench.call_cost_servers')
    async with AsyncExitStack() as stack:
        enter = stack.enter_async_context
        directory = stack.enter_context(tempfile.TemporaryDirectory())
        document = one_service(upstream, _SLOTS, _UPSTREAMS)
        feed_address = await enter(feed(document))
        settings = write_settings(directory, targets['crocus'][0], feed_address)
        for command in (
            (*servers, 'upstream', str(targets['direct'][0])),
            (*servers, 'bare_proxy', str(targets['bare'][0]), upstream),
            (
                sys.executable,
                '-c',
                'from crocusproxy.proxy.main import main; main()',
                settings,
            ),
        ):
            await enter(process(*command))
        for port, path in targets.values():
            await wait_until_serving(port, path)
        return {
            concurrency: await measure(targets, concurrency, rounds)
            for concurrency in _CONCURRENCY
        }


def run(short: bool) -> bool:
    """Print the table and return whether each ratio is within the bound."""
    results = uvloop.run(compare(_SHORT_ROUNDS if short else _ROUNDS))
    print(
        'Latency of a 1 KiB call and added latency of a proxy, in microseconds'
    )
    print('calls at once   quantile   direct   bare adds   crocus adds   ratio')
    passed = True
    for concurrency, seconds in results.items():
        for name, share in (('median', 0.5), ('p99', 0.99)):
            direct, bare, crocus = added_latency(seconds, share)
            ratio = crocus / bare
            passed = passed and ratio <= MAX_ADDED_LATENCY_RATIO
            print(
                f'{concurrency:13} {name:>10} {direct * 1e6:8.0f}'
                f' {bare * 1e6:11.0f} {crocus * 1e6:13.0f} {ratio:7.2f}'
            )
    print(
        f'bound: ratio at most {MAX_ADDED_LATENCY_RATIO}: '
        f'{"met" if passed else "MISSED"}'
    )
    return passed


if __name__ == '__main__':
    sys.exit(not run(short='--short' in sys.argv))
