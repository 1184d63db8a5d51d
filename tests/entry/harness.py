"""A gateway with raw caller connections and stand-in servers."""

import asyncio
from datetime import timedelta
from functools import partial
from random import Random

from prometheus_client import CollectorRegistry

from crocusproxy.clock import SystemClock
from crocusproxy.entry.caller_connection import CallerConnection
from crocusproxy.entry.crash_watch import CrashWatch
from crocusproxy.entry.dispatcher import Dispatcher
from crocusproxy.entry.gateway import Gateway
from crocusproxy.entry.metrics import EntryMetrics
from crocusproxy.entry.request_log import RequestLog
from crocusproxy.entry.response_budget import ResponseBudget
from crocusproxy.entry.response_observer import ResponseObserver
from crocusproxy.entry.settings import Bounds
from crocusproxy.entry.upstream_call import UpstreamClient
from crocusproxy.entry.upstream_connection import MatchingConnection
from crocusproxy.entry.upstream_messages import UpstreamMessages
from crocusproxy.event_loop.peer_timeout import own_paused_seconds
from crocusproxy.membership.catalog import Catalog
from crocusproxy.placement.upstream_reach import UpstreamReach
from crocusproxy.platform.headers import HEADER_NAMES
from crocusproxy.protocol.home_feed import UpstreamChange
from crocusproxy.proxy.pool import ConnectionPool
from crocusproxy.routes.model import (
    CallerLimits,
    RegisteredUpstream,
    Route,
    RouteConfig,
    ServiceSettings,
    WeightedService,
)
from standins.slot_server import SlotServer
from tests.event_loop.observed_loop import observed_pauses

HOST = 'a.example'
#: As with the default of 256 MB of memory.
RESPONSE_BUDGET_BYTES = 32 * 1024 * 1024


def make_route(prefix, idempotent, timeout=1.0, attempts=3):
    return Route(
        prefix,
        HOST,
        prefix,
        idempotent=idempotent,
        timeout=timedelta(seconds=timeout),
        target_latency=timedelta(seconds=timeout / 2),
        attempts=attempts,
        priority=1,
        parts=(WeightedService('s', 1),),
    )


def make_config(version=1, timeout=1.0, **limits):
    return RouteConfig(
        version,
        (
            make_route('/safe/', True, timeout),
            make_route('/once/', False, timeout),
        ),
        (ServiceSettings('s', '/health', 10),),
        CallerLimits(**limits),
    )


class ObservedBudget(ResponseBudget):
    """Records the most bytes that responses have taken together."""

    peak_bytes = 0

    def take(self, holder, more_bytes):
        is_taken = super().take(holder, more_bytes)
        self.peak_bytes = max(self.peak_bytes, self.used_bytes)
        return is_taken


class GatewaySystem:
    """One gateway with its port and its upstreams."""

    def __init__(self, bounds=Bounds()):
        self.catalog = Catalog()
        self.budget = ObservedBudget(RESPONSE_BUDGET_BYTES)
        self.pool = ConnectionPool(
            timedelta(seconds=1),
            timedelta(seconds=8),
            connection_type=partial(MatchingConnection, budget=self.budget),
        )
        self.messages = UpstreamMessages(HEADER_NAMES)
        self.clock = SystemClock()
        self.reach = UpstreamReach(self.clock, self.log, own_paused_seconds)
        self.catalog.on_upstream.append(self.reach.apply_change)
        self.catalog.on_evacuation.append(self.reach.apply_evacuated)
        self.crash_watch = CrashWatch(self.clock, self.reach)
        self.observer = ResponseObserver(
            HEADER_NAMES, self.clock, self.catalog.terms, self.log
        )
        self.pool.on_crash = self.crash_watch.record_crash
        metrics = EntryMetrics(CollectorRegistry())
        self.log_lines = []
        request_log = RequestLog(self.clock, self.log)
        self.dispatcher = Dispatcher(
            UpstreamClient(
                self.pool, self.messages, self.clock, self.observer, self.reach
            ),
            'a',
            bounds,
            self.clock,
            Random(1),
            metrics,
            request_log,
            self.crash_watch,
            self.catalog.terms,
            self.reach,
        )
        self.gateway = Gateway(
            self.catalog,
            self.dispatcher,
            HEADER_NAMES,
            self.clock,
            metrics,
            request_log,
        )
        self.servers = []
        self.listener = None
        self.address = ''

    def log(self, event, **fields):
        self.log_lines.append((event, fields))

    async def start(self, servers=(), configuration=None):
        loop = asyncio.get_running_loop()
        self.listener = await loop.create_server(
            lambda: CallerConnection(self.gateway, loop), '127.0.0.1', 0
        )
        port = self.listener.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        self.catalog.apply_config(configuration or make_config())
        for server in servers:
            await self.add(server)
        self.catalog.mark_complete()
        return self

    async def add(self, server):
        await server.start()
        self.servers.append(server)
        self.register(server)

    def register(self, server, key=None, sequence=1, leaving=False):
        key = key or server.key
        entry = RegisteredUpstream(
            key, 's', server.address, 'a', server.slots, leaving, 1, sequence
        )
        self.catalog.apply_change(UpstreamChange(key, entry))

    def allow_retries(self):
        """Count 500 requests, so that the budget permits retries."""
        now = self.clock.monotonic().total_seconds()
        for _ in range(500):
            self.dispatcher.retry_budget('s').count_request(now)

    async def stop(self):
        self.listener.close()
        self.pool.close()
        for server in self.servers:
            server.stop()

    async def connect(self):
        host, _, port = self.address.rpartition(':')
        return Caller(*await asyncio.open_connection(host, int(port)))

    async def request(self, *args, **options):
        """Send one request on a new connection and return its response."""
        caller = await self.connect()
        caller.send(*args, **options)
        try:
            return await caller.read()
        finally:
            caller.close()


class Caller:
    """A raw connection of a caller."""

    def __init__(self, reader, writer):
        self.reader = reader
        self.writer = writer

    def send(
        self,
        request_id,
        path='/safe/x',
        method='GET',
        body=b'',
        deadline_ms=1000,
        headers=(),
    ):
        self.writer.write(
            f'{method} {path} HTTP/1.1\r\n'
            f'Host: {HOST}\r\n'
            f'X-Crocusproxy-Request-Id: {request_id}\r\n'
            f'X-Crocusproxy-Deadline-Milliseconds: {deadline_ms}\r\n'
            f'Content-Length: {len(body)}\r\n'.encode()
            + ''.join(f'{line}\r\n' for line in headers).encode()
            + b'\r\n'
            + body
        )

    async def read(self):
        """Return status, headers (names in lower case) and body."""
        head = (await self.reader.readuntil(b'\r\n\r\n')).decode()
        first, *lines = head.rstrip().split('\r\n')
        headers = {}
        for line in lines:
            name, _, value = line.partition(': ')
            headers[name.lower()] = value
        length = int(headers.get('content-length', 0))
        return (
            int(first.split()[1]),
            headers,
            await self.reader.readexactly(length),
        )

    def close(self):
        self.writer.close()


def run_scenario(scenario, servers=(), configuration=None, loop_factory=None):
    """Run ``scenario`` with a started gateway, on asyncio's loop by default."""

    async def run():
        system = await GatewaySystem().start(servers, configuration)
        queue_task = asyncio.create_task(system.dispatcher.run_queues())
        try:
            async with asyncio.timeout(20):
                await scenario(system)
        finally:
            queue_task.cancel()
            await system.stop()

    async def run_observed():
        with observed_pauses():
            await run()

    with asyncio.Runner(loop_factory=loop_factory) as runner:
        runner.run(run_observed())


def make_server(key='i-1', **options):
    return SlotServer(key, **options)
