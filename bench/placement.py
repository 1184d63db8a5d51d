"""Benchmark of the placement on the platform's servers, in virtual time.

``python -m bench.placement --scenario FILE`` runs one scenario with each
policy. The product's own ``Dispatcher`` is used, with its placer, its budget
and its probes before use; only the network and the servers are modelled.
"""

from __future__ import annotations

import asyncio
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from datetime import timedelta
from importlib import import_module
from pathlib import Path
from random import Random
from statistics import fmean
from types import SimpleNamespace
from typing import Any

import fire
import yaml
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
from standins.virtual_time import LoopClock, VirtualLoop

from .platform_servers import ModelServer, ServerParameters, Slowness

SCENARIOS = Path(__file__).with_name('scenarios') / 'placement'
SERVICE = 's'
DOMAINS = ('a', 'b', 'c')
NEAR_SECONDS = 0.0001
LATE_CREDIT_SHARE = 0.1
WINDOW_SECONDS = 2.0
PROBE_CHECK_INTERVAL_SECONDS = 0.05
#: Age of a load report above which the product probes in the background.
BACKGROUND_PROBE_AGE_SECONDS = 0.3


@dataclass
class RequestRecord:
    """One request, with the credit that it can earn and has earned.

    Times are virtual seconds; a response by ``target_at`` earns ``worth``.
    """

    kind: str
    arrived_at: float
    worth: float
    target_at: float
    earned: float = 0
    is_served: bool = False


@dataclass
class RunCounts:
    """Requests of a run, and the sends and probes made for them.

    ``far_sends`` go to other failure domains.
    """

    sends: int = 0
    far_sends: int = 0
    probes: int = 0
    requests: list[RequestRecord] = field(default_factory=list)


class Model:
    """Servers, their network and one policy."""

    def __init__(self, scenario: dict, policy: str, seed: int) -> None:
        self.scenario = scenario
        self.loop = VirtualLoop()
        self.random = Random(seed)
        self.far_seconds = scenario['far_ms'] / 1000
        self.counts = RunCounts()
        parameters = ServerParameters(**scenario['terms'])
        slownesses = tuple(
            Slowness(**one) for one in scenario.get('slownesses', ())
        )
        self.servers = {}
        for number in range(scenario['servers']):
            key = f'i-{number}'
            self.servers[key] = ModelServer(
                key,
                DOMAINS[number % len(DOMAINS)],
                parameters,
                Random(self.random.random()),
                slownesses,
                rank=self.random.random(),
            )
        self.policy = POLICIES[policy](self)

    def delay(self, server: ModelServer) -> float:
        """Return the one-way network delay to a server, in seconds."""
        is_near = server.domain == DOMAINS[0]
        return NEAR_SECONDS if is_near else self.far_seconds

    def now(self) -> float:
        return self.loop.time()

    async def call(self, server: ModelServer, work: float) -> bool:
        """Send a request; return False if the server was full."""
        self.counts.sends += 1
        self.counts.far_sends += server.domain != DOMAINS[0]
        await asyncio.sleep(self.delay(server))
        ran = await server.run(work)
        await asyncio.sleep(self.delay(server))
        return ran

    async def probe(self, server: ModelServer) -> float:
        """Return the slowdown that a server reports."""
        self.counts.probes += 1
        await asyncio.sleep(self.delay(server))
        slowdown = server.reported_slowdown(self.now())
        await asyncio.sleep(self.delay(server))
        return slowdown

    def play(self) -> dict[str, float]:
        """Run the scenario and return its figures."""
        try:
            self.loop.run_until_complete(self._play())
        finally:
            self.loop.close()
        return figures(self.counts)

    async def _play(self) -> None:
        background = asyncio.create_task(self.policy.run_background())
        running = []
        seconds = self.scenario['seconds']
        kinds = self.scenario['kinds']
        rate = sum(kind['per_s'] for kind in kinds)
        while self.now() < seconds:
            await asyncio.sleep(
                self.random.expovariate(rate * self._surge_factor())
            )
            kind = self.random.choices(kinds, [one['per_s'] for one in kinds])[
                0
            ]
            running.append(asyncio.create_task(self._serve(kind)))
        await asyncio.gather(*running)
        background.cancel()
        await asyncio.wait((background,))

    def _surge_factor(self) -> float:
        now = self.now()
        for surge in self.scenario.get('surges', ()):
            if surge['start'] <= now < surge['end']:
                return surge['factor']
        return 1.0

    async def _serve(self, kind: dict) -> None:
        """Serve one request and record its result for the caller."""
        now = self.now()
        is_late = self.random.random() < self.scenario['late_share']
        lateness = self.scenario['late_ms'] / 1000 if is_late else 0.0
        record = RequestRecord(
            kind['name'],
            now,
            kind['worth'],
            now + kind['aim_ms'] / 1000 - lateness,
        )
        self.counts.requests.append(record)
        work = kind['work_ms'] / 1000
        work *= self.random.lognormvariate(0, self.scenario['work_spread'])
        deadline = now + kind['deadline_ms'] / 1000 - lateness
        record.is_served = await self.policy.serve(kind, work, record, deadline)
        if record.is_served:
            in_time = self.now() <= record.target_at
            record.earned = record.worth * (1 if in_time else LATE_CREDIT_SHARE)


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


def figures(counts: RunCounts) -> dict[str, float]:
    """Return the shares of the credit, and the sends and probes used."""
    requests = counts.requests
    kinds = {one.kind for one in requests}
    # The last window is incomplete, as the load ends within it.
    windows = range(int(requests[-1].arrived_at / WINDOW_SECONDS))
    by_window = sorted(
        credit(
            [
                one
                for one in requests
                if int(one.arrived_at / WINDOW_SECONDS) == window
            ]
        )
        for window in windows
    )
    return {
        'credit': credit(requests),
        'windows': fmean(by_window[:2]),
        'kind': min(
            credit([one for one in requests if one.kind == kind])
            for kind in kinds
        ),
        'served': sum(one.is_served for one in requests) / len(requests),
        'far': counts.far_sends / max(counts.sends, 1),
        'probes': counts.probes / len(requests),
    }


def credit(requests: list[RequestRecord]) -> float:
    """Return the credit earned, as a share of the credit owed."""
    owed = sum(one.worth for one in requests)
    return sum(one.earned for one in requests) / owed


def worth(row: dict[str, float]) -> float:
    """Return the shares weighted as by the users, without their prices."""
    return (
        0.28 * row['credit']
        + 0.4 * row['windows']
        + 0.2 * row['served']
        + 0.12 * row['kind']
    )


def set_constants(tune: str) -> None:
    """Set constants of ``src/crocusproxy``.

    An example of ``tune`` is ``placement.refusals.QUEUED_PER_SLOT=9``.
    """
    for name, setting in (part.split('=') for part in tune.split(',') if part):
        module, _, constant = name.rpartition('.')
        target = import_module(f'crocusproxy.{module}')
        if not hasattr(target, constant):
            raise AttributeError(f'{name} is not a constant of {module}')
        setattr(target, constant, float(setting))


def mean_of(rows: list[dict[str, float]]) -> dict[str, float]:
    return {name: fmean(row[name] for row in rows) for name in rows[0]}


def play(path: Path, policy: str, seeds: int) -> dict[str, float]:
    """Return the mean figures of a policy over a number of seeds."""
    scenario = yaml.safe_load(path.read_text())
    row = mean_of(
        [Model(scenario, policy, seed).play() for seed in range(seeds)]
    )
    return {'worth': worth(row), **row}


def main(
    scenario: str = '',
    seeds: int = 3,
    policies: str = ','.join(POLICIES),
    tune: str = '',
) -> None:
    """Print the figures of each policy.

    Args:
        scenario: a file; by default all files in ``scenarios/placement``.
        seeds: number of runs that the figures are means of.
        policies: names, separated by commas.
        tune: constants to set, such as
            ``placement.upstream_state.SLOW_THRESHOLD=99``.
    """
    set_constants(','.join(tune) if isinstance(tune, tuple) else tune)
    paths = [Path(scenario)] if scenario else sorted(SCENARIOS.glob('*.yaml'))
    names = policies.split(',') if isinstance(policies, str) else policies
    for path in paths:
        for name in names:
            row = play(path, name, seeds)
            cells = ' '.join(
                f'{label} {figure:.3f}' for label, figure in row.items()
            )
            print(f'{path.stem:16} {name:16} {cells}', flush=True)


if __name__ == '__main__':
    fire.Fire(main)
