"""Policies of the placement benchmark: the product and simple ones."""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable
from datetime import timedelta
from random import Random
from types import SimpleNamespace
from typing import TYPE_CHECKING, Any

from prometheus_client import CollectorRegistry

from crocusproxy.entry.call_results import NotRun, Responded, ResponseLost
from crocusproxy.entry.crash_watch import CrashWatch
from crocusproxy.entry.dispatcher import Dispatcher
from crocusproxy.entry.metrics import EntryMetrics
from crocusproxy.entry.request_context import RequestContext
from crocusproxy.entry.request_log import RequestLog
from crocusproxy.entry.responses import CallerResponse
from crocusproxy.entry.settings import Bounds
from crocusproxy.placement.upstream_reach import UpstreamReach
from crocusproxy.placement.upstream_terms import TermsTable
from crocusproxy.protocol.home_feed import UpstreamChange
from crocusproxy.routes.model import (
    RegisteredUpstream,
    Route,
    WeightedService,
)
from standins.virtual_time import LoopClock

from .platform_servers import ModelServer

if TYPE_CHECKING:
    from .placement import Model
    from .placement_figures import RequestRecord

SERVICE = 's'
DOMAINS = ('a', 'b', 'c')
PROBE_CHECK_INTERVAL_SECONDS = 0.05
#: Age of a load report above which the product probes in the background.
BACKGROUND_PROBE_AGE_SECONDS = 0.3


class RandomPolicy:
    """Sends at random without queueing, and retries if a server is full."""

    max_attempts = 3

    def __init__(self, model: Model) -> None:
        self.model = model
        self.in_flight: dict[str, int] = defaultdict(int)

    async def run_background(self) -> None:
        """Do nothing; the policy has no state to update."""

    async def serve(
        self, kind: dict, work: float, record: RequestRecord, deadline: float
    ) -> bool:
        try:
            async with asyncio.timeout_at(deadline):
                for _ in range(self.max_attempts):
                    if await self._send(self.choose(), work):
                        return True
        except TimeoutError:
            return False
        return False

    def choose(self) -> ModelServer:
        return self.model.random.choice(list(self.model.servers.values()))

    async def _send(self, server: ModelServer, work: float) -> bool:
        self.in_flight[server.key] += 1
        try:
            return await self.model.call(server, work)
        finally:
            self.in_flight[server.key] -= 1


class LeastInFlight(RandomPolicy):
    """Sends to the server with the fewest requests in flight of this entry."""

    def choose(self) -> ModelServer:
        servers = list(self.model.servers.values())
        least = min(self.in_flight[one.key] for one in servers)
        return self.model.random.choice(
            [one for one in servers if self.in_flight[one.key] == least]
        )


class Product:
    """The product's dispatcher; with ``is_informed`` it knows all speeds."""

    is_informed = False

    def __init__(self, model: Model) -> None:
        self.model = model
        self.probing: set[asyncio.Task[None]] = set()
        clock = LoopClock(model.loop)
        self.dispatcher = Dispatcher(
            SimpleNamespace(call=self.call),  # type: ignore[arg-type]
            DOMAINS[0],
            Bounds(),
            clock,
            Random(model.random.random()),
            EntryMetrics(CollectorRegistry()),
            RequestLog(clock, lambda *_, **__: None),
            CrashWatch(clock, UpstreamReach(clock)),
            TermsTable(),
            UpstreamReach(clock),
        )
        self.dispatcher.selector.refresh_load = self.refresh
        for server in model.servers.values():
            entry = RegisteredUpstream(
                server.key,
                SERVICE,
                server.key,
                server.domain,
                server.parameters.slots,
                False,
                1,
                1,
            )
            change = UpstreamChange(server.key, entry)
            self.dispatcher.apply_upstream_change(change)

    async def run_background(self) -> None:
        queues = asyncio.create_task(self.dispatcher.run_queues())
        placer = self.dispatcher.placer(SERVICE)
        try:
            while True:
                await asyncio.sleep(PROBE_CHECK_INTERVAL_SECONDS)
                for state in placer.upstreams.values():
                    age = self.model.now() - state.reported_at
                    is_urgent = placer.queue and state.has_slot
                    if is_urgent or age > BACKGROUND_PROBE_AGE_SECONDS:
                        self._start_probe(state)
        finally:
            queues.cancel()
            await asyncio.wait((queues, *self.probing))

    def _start_probe(self, state: Any) -> None:
        task = asyncio.create_task(self.refresh(SERVICE, state))
        self.probing.add(task)
        task.add_done_callback(self.probing.discard)

    async def refresh(self, service: str, state: Any) -> None:
        server = self.model.servers[state.key]
        slowdown = await self.model.probe(server)
        state.report(slowdown, self.model.now())

    async def call(self, state, outgoing, deadline, before_send):
        server = self.model.servers[state.key]
        before_send()
        try:
            async with asyncio.timeout_at(deadline):
                if not await self.model.call(server, outgoing.work):
                    return NotRun('server full', reported_by_upstream=True)
        except TimeoutError:
            return ResponseLost('late', is_timeout=True)
        now = self.model.now()
        state.report(server.reported_slowdown(now), now)
        return Responded(CallerResponse(200), is_failure=False)

    async def serve(
        self, kind: dict, work: float, record: RequestRecord, deadline: float
    ) -> bool:
        if self.is_informed:
            self._report_all_slowdowns()
        context = RequestContext(
            SimpleNamespace(is_detached=False, caller_disconnected=False),
            SimpleNamespace(request_id='', work=work),
            _route(kind),
            SERVICE,
            1,
            record.arrived_at,
            deadline,
            record.target_at,
        )
        answer = await self.dispatcher.run(context)
        return isinstance(answer, CallerResponse)

    def _report_all_slowdowns(self) -> None:
        now = self.model.now()
        for state in self.dispatcher.placer(SERVICE).upstreams.values():
            server = self.model.servers[state.key]
            slowdown = server.reported_slowdown(now)
            for hidden in server.slownesses:
                if (
                    hidden.start <= now < hidden.end
                    and server.rank < hidden.share
                ):
                    slowdown *= hidden.factor
            state.report(slowdown, now)


class Informed(Product):
    """The product with perfect knowledge of all speeds, without probes."""

    is_informed = True

    async def refresh(self, service: str, state: Any) -> None:
        self._report_all_slowdowns()


POLICIES: dict[str, Callable[[Model], Any]] = {
    'random': RandomPolicy,
    'least_in_flight': LeastInFlight,
    'product': Product,
    'informed': Informed,
}


def _route(kind: dict) -> Route:
    return Route(
        kind['name'],
        '',
        '/',
        idempotent=kind['idempotent'],
        timeout=timedelta(milliseconds=kind['deadline_ms']),
        target_latency=timedelta(milliseconds=kind['aim_ms']),
        attempts=3,
        priority=kind['priority'],
        parts=(WeightedService(SERVICE, 1),),
    )
