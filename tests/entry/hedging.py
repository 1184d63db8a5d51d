"""A dispatcher with upstreams of scripted durations, in virtual time."""

import asyncio
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random
from types import SimpleNamespace

from prometheus_client import CollectorRegistry

from crocusproxy.entry.call_results import NotRun, Responded, ResponseLost
from crocusproxy.entry.crash_watch import CrashWatch
from crocusproxy.entry.dispatcher import Dispatcher
from crocusproxy.entry.metrics import EntryMetrics
from crocusproxy.entry.request_context import RequestContext
from crocusproxy.entry.request_log import RequestLog
from crocusproxy.entry.responses import CallerResponse
from crocusproxy.entry.settings import Bounds, Hedging
from crocusproxy.placement.hedging import RouteDurations
from crocusproxy.placement.upstream_reach import UpstreamReach
from crocusproxy.placement.upstream_terms import TermsTable
from crocusproxy.protocol.home_feed import UpstreamChange
from crocusproxy.routes.model import (
    RegisteredUpstream,
    Route,
    WeightedService,
)
from standins.virtual_time import LoopClock, VirtualLoop

SERVICE = 's'
OK = Responded(CallerResponse(200), is_failure=False)
FAILED = Responded(CallerResponse(500), is_failure=True)
LOST = ResponseLost('the connection was lost')
NOT_RUN = NotRun('status 503', reported_by_upstream=True)


def make_route(name='r', idempotent=True, attempts=3, target=0.5, timeout=1.0):
    return Route(
        name,
        '',
        '/',
        idempotent=idempotent,
        timeout=timedelta(seconds=timeout),
        target_latency=timedelta(seconds=target),
        attempts=attempts,
        priority=1,
        parts=(WeightedService(SERVICE, 1),),
    )


@dataclass
class Sent:
    """One attempt; ``end`` is how it ended."""

    upstream: str
    at: float
    end: str = ''


@dataclass
class System:
    """``script`` has the duration and result of each attempt, in order."""

    share: float = 0.5
    upstreams: int = 4
    slots: int = 4
    script: list = field(default_factory=list)

    def __post_init__(self):
        self.loop = VirtualLoop()
        self.clock = LoopClock(self.loop)
        self.sent = []
        self.lines = []
        self.registry = CollectorRegistry()
        reach = UpstreamReach(self.clock)
        self.crash_watch = CrashWatch(self.clock, reach)
        self.dispatcher = Dispatcher(
            SimpleNamespace(call=self.call),
            'a',
            Bounds(),
            self.clock,
            Random(1),
            EntryMetrics(self.registry),
            RequestLog(self.clock, self.log),
            self.crash_watch,
            TermsTable(),
            reach,
        )
        self.dispatcher.selector.refresh_load = self.refresh
        self.hedged_calls = self.dispatcher.hedged_calls
        self.hedged_calls.apply_settings(Hedging(self.share))
        for number in range(self.upstreams):
            key = f'i-{number}'
            entry = RegisteredUpstream(
                key, SERVICE, key, 'a', self.slots, False, 1, 1
            )
            self.dispatcher.apply_upstream_change(UpstreamChange(key, entry))
        self.placer = self.dispatcher.placer(SERVICE)

    def log(self, event, **fields):
        self.lines.append(fields | {'event': event})

    async def refresh(self, service, state):
        state.report(1.0, self.loop.time())

    async def call(self, state, outgoing, deadline, before_send):
        before_send()
        sent = Sent(state.key, self.loop.time())
        self.sent.append(sent)
        duration, result = await self.next_result(state, outgoing)
        try:
            async with asyncio.timeout_at(deadline):
                await asyncio.sleep(duration)
        except TimeoutError:
            sent.end = 'timeout'
            return ResponseLost('no response in time', is_timeout=True)
        except asyncio.CancelledError:
            sent.end = 'cancelled'
            raise
        sent.end = 'ended'
        return result

    async def next_result(self, state, outgoing):
        return self.script.pop(0)

    def prepare(self, route, median=0.1, delay=0.2, requests=500):
        """Make the durations of a route known, and fill the budgets."""
        durations = RouteDurations(0)
        for _ in range(90):
            durations.record(median, 0)
        for _ in range(10):
            durations.record(delay, 0)
        self.hedged_calls.durations[route.name] = durations
        for _ in range(requests):
            self.hedged_calls.limit(SERVICE).count_request(0)
            self.dispatcher.retry_budget(SERVICE).count_request(0)

    def context(self, route, request_id='r1', outgoing=None):
        now = self.loop.time()
        return RequestContext(
            SimpleNamespace(is_detached=False, caller_disconnected=False),
            outgoing or SimpleNamespace(request_id=request_id),
            route,
            SERVICE,
            1,
            now,
            now + route.timeout.total_seconds(),
            now + route.target_latency.total_seconds(),
        )

    def run(self, coroutine):
        try:
            return self.loop.run_until_complete(coroutine)
        finally:
            self.loop.close()

    def serve(self, route=None, **options):
        """Serve one request, and return its response and its context."""
        route = route or make_route()
        self.prepare(route, **options)
        context = self.context(route)
        return self.run(self.dispatcher.run(context)), context

    def count(self, name, **labels):
        labels = {'service': SERVICE, **labels}
        return self.registry.get_sample_value(f'{name}_total', labels) or 0

    def hedges(self, outcome):
        return self.count('crocus_entry_hedges', outcome=outcome)

    def unsent(self, reason):
        return self.count('crocus_entry_hedges_not_sent', reason=reason)

    def in_flight(self):
        return sum(one.in_flight for one in self.placer.upstreams.values())
