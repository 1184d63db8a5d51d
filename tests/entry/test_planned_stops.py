"""Guards against requests that are cut at the end of a planned stop.

Callers keep sending to an instance after its SIGTERM, in all the forms in which
a request can be late, while the upstreams have too few slots.
"""

import asyncio
import json
import signal
import time
from contextlib import suppress
from dataclasses import dataclass
from itertools import cycle
from random import Random

import pytest

from standins.processes import free_ports
from standins.slot_server import SlotServer
from standins.store import StandInStore

from .test_process import PORTS, Instance, register

SHUTDOWN_SECONDS = 3.0
#: An instance may lose a request that it has read only just before its end.
SLACK_SECONDS = 0.2
WORK_SECONDS = 0.25
DEADLINES_MS = (700, 4000, 9000)
#: Beyond the end of each process that is stopped.
LATE_DEADLINES_MS = (9000,)
KEY = 'key-of-main'
SEND_INTERVAL_SECONDS = 0.04
#: With few requests, the queue stays short and refuses none.
FEW_REQUESTS_INTERVAL_SECONDS = 0.5
#: Time between the parts of a slow body.
PART_SECONDS = 0.15
#: One in this many safe requests loses its connection at the upstream.
LOST_RESPONSE_INTERVAL = 6


def make_document():
    route = {
        'Host': 'a.example',
        'TimeoutMs': 10_000,
        'TargetLatencyMs': 5000,
        'Priority': 1,
        'Service': 's1',
        'Attempts': 3,
        'AllowAnonymous': True,
    }
    return {
        'Version': '00000001',
        'Routes': [
            {**route, 'Name': kind, 'Kind': kind, 'PathPrefix': f'/{kind}/'}
            for kind in ('safe', 'unsafe')
        ],
        'Services': [
            {
                'Name': 's1',
                'HealthCheckPath': '/health',
                'MaxConnections': 220,
            }
        ],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 1000,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
        'Tenants': [
            {'Name': 'main', 'ApiKeys': [KEY], 'RatePerS': 500, 'Burst': 500}
        ],
    }


class LossyServer(SlotServer):
    """Breaks some connections on which a safe request is at work."""

    count = 0

    async def start(self):
        self.response_script = self.lose_some
        return await super().start()

    def lose_some(self, request_id):
        self.count += request_id.startswith('safe')
        if request_id.startswith('safe') and not (
            self.count % LOST_RESPONSE_INTERVAL
        ):
            raise ConnectionError
        return None


@dataclass
class Sent:
    """A request, and how its connection ended; times are monotonic."""

    request_id: str
    sent_at: float
    is_behind_another: bool = False
    status: int = 0
    ended_at: float = 0.0


class Callers:
    """Sends requests to one instance and records what becomes of them."""

    def __init__(self, instance, seed, interval, deadlines_ms):
        self.instance = instance
        self.interval = interval
        self.deadlines_ms = deadlines_ms
        self.writers = []
        self.random = Random(seed)
        self.sent = []
        self.tasks = set()

    async def run(self):
        forms = cycle(
            (
                self.send_pipelined,
                self.send_slow_body,
                self.send_with_key,
                self.send_on_kept_connection,
            )
        )
        while True:
            task = asyncio.create_task(self.send_ignoring_refusals(next(forms)))
            self.tasks.add(task)
            await asyncio.sleep(self.interval)

    async def send_ignoring_refusals(self, send):
        with suppress(ConnectionRefusedError):
            await send()

    async def send_pipelined(self):
        connection = await self.connect()
        requests = [
            self.write(connection, 'GET', 'safe', is_behind_another=number > 0)
            for number in range(3)
        ]
        for request in requests:
            await self.read(connection, request)

    async def send_slow_body(self):
        connection = await self.connect()
        request = self.write(connection, 'POST', 'unsafe', length=4)
        for _ in range(4):
            await asyncio.sleep(PART_SECONDS)
            connection[1].write(b'x')
        request.sent_at = time.monotonic()
        await self.read(connection, request)

    async def send_with_key(self):
        connection = await self.connect()
        request = self.write(
            connection, 'POST', 'unsafe', f'Authorization: Bearer {KEY}\r\n'
        )
        await self.read(connection, request)

    async def send_on_kept_connection(self):
        connection = await self.connect()
        for kind in ('safe', 'unsafe', 'safe', 'unsafe', 'safe'):
            request = self.write(connection, 'POST', kind)
            if not await self.read(connection, request):
                return
            await asyncio.sleep(self.random.random())

    async def connect(self):
        connection = await asyncio.open_connection(
            '127.0.0.1', self.instance.ports['callers']
        )
        self.writers.append(connection[1])
        return connection

    async def stop(self):
        """Stop sending and close all connections."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for writer in self.writers:
            writer.transport.abort()
        await asyncio.sleep(0)

    def write(
        self,
        connection,
        method,
        kind,
        headers='',
        *,
        length=0,
        is_behind_another=False,
    ):
        name = self.instance.name
        request = Sent(
            f'{kind}-{name}-{len(self.sent)}',
            time.monotonic(),
            is_behind_another,
        )
        self.sent.append(request)
        connection[1].write(
            f'{method} /{kind}/1 HTTP/1.1\r\n'
            'Host: a.example\r\n'
            f'X-Crocusproxy-Request-Id: {request.request_id}\r\n'
            'X-Crocusproxy-Deadline-Milliseconds: '
            f'{self.random.choice(self.deadlines_ms)}\r\n'
            f'{headers}Content-Length: {length}\r\n\r\n'.encode()
        )
        return request

    async def read(self, connection, request):
        """Read a response; return whether the connection stays open."""
        reader, writer = connection
        try:
            head = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
            length = int(head.split('content-length: ')[1].split('\r\n')[0])
            await reader.readexactly(length)
            request.status = int(head.split()[1])
        except (asyncio.IncompleteReadError, ConnectionError):
            writer.close()
            return False
        finally:
            request.ended_at = time.monotonic()
        if 'connection: close' in head:
            writer.close()
            return False
        return True


def find_cut(callers, servers, stopped_at):
    """Return the requests that an instance has cut against the rule."""
    runs = {request_id for server in servers for request_id in server.runs}
    last_start = stopped_at + SHUTDOWN_SECONDS / 2
    last_sixth = stopped_at + SHUTDOWN_SECONDS * 5 / 6
    cut = []
    for request in callers.sent:
        was_run = request.request_id in runs
        waited = request.ended_at - request.sent_at > SLACK_SECONDS
        if request.status or not (was_run or waited):
            continue
        if request.is_behind_another and not was_run:
            continue
        is_late_work = was_run and request.ended_at >= last_sixth
        if not (is_late_work and request.sent_at <= last_start):
            cut.append(request)
    return cut


async def stop_one(instances):
    instances[0].process.send_signal(signal.SIGTERM)


async def stop_two_in_turn(instances):
    for instance in instances[:2]:
        instance.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.4)


async def stop_all(instances):
    for instance in instances:
        instance.process.send_signal(signal.SIGTERM)


async def repeat_signals(instances):
    for _ in range(5):
        for number in (signal.SIGHUP, signal.SIGTERM, signal.SIGHUP):
            with suppress(ProcessLookupError):
                instances[0].process.send_signal(number)
        await asyncio.sleep(0.5)


def play_stop(
    tmp_path,
    stop,
    seed,
    work_seconds=WORK_SECONDS,
    interval=SEND_INTERVAL_SECONDS,
    deadlines_ms=DEADLINES_MS,
):
    """Return the cut requests and the number of those sent."""

    async def run():
        store = await StandInStore().start()
        servers = [
            await LossyServer(f'i-{number}', 2, work_seconds).start()
            for number in range(2)
        ]
        store.put('keyed.op', 'config', json.dumps(make_document()).encode())
        for server in servers:
            register(store, server, 's1')
        ports = free_ports(3 * len(PORTS))
        instances = [
            Instance(f'n{number}', tmp_path, store, ports[number::3])
            for number in range(3)
        ]
        callers = [
            Callers(one, seed + n, interval, deadlines_ms)
            for n, one in enumerate(instances)
        ]
        try:
            for instance in instances:
                instance.source = f'127.0.1.{int(instance.name[1:]) + 1}'
                await instance.start()
            for instance in instances:
                await instance.until_ready()
            sending = [asyncio.create_task(one.run()) for one in callers]
            await asyncio.sleep(1.5)
            stopped_at = time.monotonic()
            await stop(instances)
            await asyncio.sleep(
                stopped_at + SHUTDOWN_SECONDS + 1 - time.monotonic()
            )
            for task in sending:
                task.cancel()
            cut = [
                request
                for one in callers
                if one.instance.process.returncode is not None
                for request in find_cut(one, servers, stopped_at)
                if request.ended_at
            ]
            return cut, sum(len(one.sent) for one in callers)
        finally:
            for one in callers:
                await one.stop()
            for instance in instances:
                await instance.finish()
            for server in servers:
                server.stop()
            await store.stop()

    return asyncio.run(run())


@pytest.mark.parametrize(
    'stop', [stop_one, stop_two_in_turn, stop_all, repeat_signals]
)
def test_no_request_is_cut_by_a_planned_stop(tmp_path, stop):
    cut, sent_count = play_stop(tmp_path, stop, seed=1)
    assert sent_count > 100
    assert cut == []


@pytest.mark.parametrize('stop', [stop_one, stop_all])
def test_no_waiting_request_is_cut_while_all_upstreams_are_blocked(
    tmp_path, stop
):
    """They never had a slot, so their callers may send them again."""
    cut, sent_count = play_stop(
        tmp_path,
        stop,
        seed=1,
        work_seconds=60,
        interval=FEW_REQUESTS_INTERVAL_SECONDS,
        deadlines_ms=LATE_DEADLINES_MS,
    )
    assert sent_count > 20
    assert cut == []
