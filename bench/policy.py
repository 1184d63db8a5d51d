"""Routing benchmark in virtual time; see bench/README.md.

``python -m bench.policy --scenario FILE --seed N --json``
"""

from __future__ import annotations

import sys
from datetime import datetime, timedelta, timezone
from importlib import import_module
from json import dumps
from multiprocessing import get_context
from pathlib import Path
from random import Random
from typing import Any, Callable

import fire
import yaml

from .crocus_policy import Crocus
from .policies import (
    LeastInflight,
    Oracle,
    Policy,
    ProbePool,
    RandomPolicy,
    TwoChoices,
)
from .policy_report import check, print_ratios, print_table
from .simulation import Job, Request, Server, Window, World, windows

PROCESSES = 4
TARGET_SEEDS = 10
SHORT_SECONDS = 8
SHORT_POLICIES = ('least_inflight', 'crocus', 'oracle')
SHORT_MARGIN = 1.1  # one seed over a short time scatters more
SCENARIOS = Path(__file__).with_name('scenarios')
WARM_UP = 1.0  # seconds at the start that are not measured
RESEND_AFTER = 0.024  # locate again and send: three trips of 8 ms
POLICIES: dict[str, Callable[[Run, Random], Policy]] = {
    'random': RandomPolicy,
    'least_inflight': LeastInflight,
    'two_choices': TwoChoices,
    'probe_pool': ProbePool,
    'crocus': Crocus,
    'oracle': Oracle,
}
DEFAULTS = {
    'servers': 15,
    'slots': 2,
    'entries': 14,
    'failure_domains': 3,
    'loads': [0.8],
    'seconds': 20,
    'service_ms': 10,
    'near_ms': 0.1,
    'far_ms': 1.5,
    'queue_limit': 50,
    'deadline_ms': 1000,
    'callers': 200,
    'idempotent_share': 0.9,
}


class Run:
    """One policy in one scenario; also the clock of the real balancer."""

    def __init__(
        self, scenario: dict, policy: str, load: float, seed: int, options: dict
    ) -> None:
        self.scenario, self.load, self.options = scenario, load, options
        self.world = World()
        self.random = Random(f'arrivals {seed}')
        self.hidden_random = Random(f'hidden {seed}')
        self.seconds = scenario['seconds']
        self.domains = scenario['failure_domains']
        self.entries = scenario['entries']
        self.windows = windows(scenario, Random(f'faults {seed}'), self.seconds)
        self.servers = [
            self.server(index) for index in range(scenario['servers'])
        ]
        self.near, self.far = (
            scenario['near_ms'] / 1e3,
            scenario['far_ms'] / 1e3,
        )
        self.lost: set[int] = set()
        self.open: dict[int, Request] = {}
        self.latencies: list[float] = []
        self.calls = self.probes = self.retries = self.moves = 0
        self.failures = self.late = self.innocents = 0
        self.wasted = 0.0
        self.policy = POLICIES[policy](self, Random(f'policy {seed}'))
        self.is_oracle = policy == 'oracle'

    def server(self, index: int) -> Server:
        return Server(
            self.world,
            index,
            index % self.domains,
            self.scenario['slots'],
            self.scenario['queue_limit'],
            self.scenario.get('report_lag_ms', 0) / 1e3,
        )

    def monotonic(self) -> timedelta:
        return timedelta(seconds=self.world.now)

    def now(self) -> datetime:
        return datetime(2026, 1, 1, tzinfo=timezone.utc) + self.monotonic()

    def later(
        self, entry: int, server: int, action: Callable, *args: Any
    ) -> None:
        near = entry % self.domains == self.servers[server].domain
        self.world.at(self.near if near else self.far, action, *args)

    def play(self) -> dict:
        for window in self.windows:
            self.world.at(window.start, self.begin, window)
            self.world.at(window.end, self.end, window)
        lost = self.scenario.get('entry_lost')
        if lost and not self.is_oracle:
            self.world.at(lost['at'], self.lose, lost['entry'])
        if 'crash' in self.scenario:
            self.world.at(WARM_UP, self.crash_call, 0)
        self.arrive(0)
        self.world.run(self.seconds + 5)
        return self.figures()

    def begin(self, window: Window) -> None:
        server = self.servers[window.server]
        if window.kind == 'slow':
            server.set_factor(window.factor)
        else:
            server.marks.add(window.kind)

    def end(self, window: Window) -> None:
        server = self.servers[window.server]
        if window.kind == 'slow':
            server.set_factor(1.0)
        else:
            server.marks.discard(window.kind)

    def rate(self) -> float:
        slots = self.scenario['servers'] * self.scenario['slots']
        rate = self.load * slots * 1000 / self.scenario['service_ms']
        for surge in self.scenario.get('surges', ()):
            if surge['at'] <= self.world.now < surge['at'] + surge['for']:
                rate *= surge['factor']
        return rate

    def arrive(self, number: int) -> None:
        draw = self.random
        demand = draw.expovariate(1000 / self.scenario['service_ms'])
        request = self.request(number, demand)
        hidden = draw.random() < self.scenario.get('hidden_share', 0)
        request.hidden = hidden
        if self.world.now < self.seconds:
            self.world.at(
                draw.expovariate(self.rate()), self.arrive, number + 1
            )
        if hidden and not self.is_oracle:
            self.arrive_hidden(request)
            return
        if self.measured(request):
            self.calls += 1
        self.open[number] = request
        self.policy.arrive(request)

    def request(self, number: int, demand: float) -> Request:
        draw = self.random
        entry, caller = draw.randrange(self.entries), draw.randrange(200)
        return Request(
            number,
            self.world.now,
            demand,
            self.live(entry),
            f'c{caller % self.scenario["callers"]}',
            self.world.now + self.scenario['deadline_ms'] / 1e3,
            draw.random() < self.scenario['idempotent_share'],
        )

    def arrive_hidden(self, request: Request) -> None:
        """The older balancer, in failure domain 0, sends at random."""
        server = self.servers[self.hidden_random.randrange(len(self.servers))]
        job = Job(request.demand, lambda *_: None)
        self.later(0, server.index, server.receive, job)

    def live(self, entry: int) -> int:
        while entry in self.lost:
            entry = (entry + 1) % self.entries
        return entry

    def lose(self, entry: int) -> None:
        """An entry dies; callers send idempotent requests elsewhere."""
        self.lost.add(entry)
        for request in tuple(self.open.values()):
            if request.entry == entry and request.idempotent:
                request.entry = self.live(entry)
                self.retries += 1
                self.world.at(RESEND_AFTER, self.policy.arrive, request)
            elif request.entry == entry:
                self.failed(request)

    def crash_call(self, resend: int, number: int = 0) -> None:
        crash = self.scenario['crash']
        if not resend:
            number = -int(self.world.now * 1000)
            self.world.at(crash['every_s'], self.crash_call, 0)
        if resend <= crash['resends'] and self.world.now < self.seconds:
            request = self.request(number, 0.05)
            request.crashes, request.attempts = True, 0
            request.idempotent = True
            self.policy.arrive(request)
            self.world.at(
                crash['resend_after_ms'] / 1e3,
                self.crash_call,
                resend + 1,
                number,
            )

    def measured(self, request: Request) -> bool:
        skipped = request.hidden or request.crashes
        return request.sent >= WARM_UP and not skipped

    def answered(self, request: Request, job: Job | None = None) -> None:
        if request.done:
            self.wasted += job.demand if job else 0
            return
        latency = self.world.now - request.sent
        if self.measured(request):
            self.late += self.world.now > request.deadline
        self.close(request, latency)

    def failed(self, request: Request) -> None:
        """A failed or refused call counts with the whole deadline."""
        if request.done:
            return
        if self.measured(request):
            self.failures += 1
        self.close(request, request.deadline - request.sent)

    def refused(self, request: Request, code: str = '') -> None:
        if code == 'request_suspected' and not request.crashes:
            self.innocents += 1
        self.failed(request)

    def close(self, request: Request, latency: float) -> None:
        request.done = True
        self.open.pop(request.number, None)
        if self.measured(request):
            self.latencies.append(latency)

    def figures(self) -> dict:
        self.latencies.sort()
        busy = sum(server.busy for server in self.servers) or 1.0
        calls = max(self.calls, 1)
        return {
            'p50_ms': self.quantile(0.5),
            'p99_ms': self.quantile(0.99),
            'p999_ms': self.quantile(0.999),
            'failed': self.failures,
            'late': self.late,
            'retries': round(self.retries / calls, 5),
            'probes_per_call': round(self.probes / calls, 4),
            'wasted_slot_share': round(self.wasted / busy, 5),
            'moves': round(self.moves / calls, 5),
            'crashed': sum(server.crashes for server in self.servers),
            'innocents_refused': self.innocents,
        }

    def quantile(self, share: float) -> float:
        if not self.latencies:
            return 0.0
        index = min(int(len(self.latencies) * share), len(self.latencies) - 1)
        return round(self.latencies[index] * 1000, 2)


def read(path: str | Path) -> dict:
    """Read a scenario; absent fields take their defaults."""
    text = Path(path).read_text(encoding='utf-8')
    return {**DEFAULTS, 'name': Path(path).stem, **yaml.safe_load(text)}


def play(task: tuple) -> dict:
    scenario, policy, load, seed, options, tune = task
    for name, setting in (part.split('=') for part in tune.split(',') if part):
        module, _, constant = name.rpartition('.')
        target = import_module(f'crocusproxy.{module}')
        if not hasattr(target, constant):
            raise AttributeError(f'{name} is not a constant of {module}')
        setattr(target, constant, float(setting))
    figures = Run(scenario, policy, load, seed, options).play()
    labels = {'scenario': scenario['name'], 'seed': seed, 'policy': policy}
    return {**labels, 'load': load, **figures}


def play_all(tasks: list[tuple], processes: int) -> list[dict]:
    if processes == 1 or len(tasks) == 1:
        return [play(task) for task in tasks]
    with get_context('spawn').Pool(processes) as pool:
        return pool.map(play, tasks, chunksize=1)


def run(short: bool) -> bool:
    """Print the table and check the bounds, with fixed seeds."""
    scenarios = [read(path) for path in sorted(SCENARIOS.glob('*.yaml'))]
    if short:
        scenarios = [
            {**one, 'seconds': SHORT_SECONDS}
            for one in scenarios
            if one.get('short')
        ]
    tasks = [
        (scenario, policy, load, seed, scenario.get('crocus', {}), '')
        for scenario in scenarios
        for load, seeds in bench_loads(scenario, short)
        for policy in (SHORT_POLICIES if short else POLICIES)
        for seed in range(seeds)
    ]
    rows = play_all(tasks, PROCESSES)
    print_table(rows)
    margin = SHORT_MARGIN if short else 1.0
    return all([check(scenario, rows, margin) for scenario in scenarios])


def bench_loads(scenario: dict, short: bool) -> list[tuple[float, int]]:
    """Return each load with its number of seeds; targets get the most."""
    bounded = {bound['load'] for bound in scenario.get('bounds', ())}
    if short:
        return [(load, 1) for load in bounded]
    return [
        (load, TARGET_SEEDS if load in bounded else 1)
        for load in scenario['loads']
    ]


def main(
    scenario: str,
    seed: int = 1,
    seeds: int = 1,
    json: bool = False,  # noqa: A002
    policies: str = ','.join(POLICIES),
    load: float | None = None,
    processes: int = 1,
    tune: str = '',
    **options: Any,
) -> None:
    """Run the policies of one scenario, from ``seed`` on for ``seeds`` runs.

    ``tune`` sets constants, such as ``routing.balancer.REMOTE_COST=0.2``; other
    options, such as ``--homes 4``, go to the crocus policy.
    """
    wanted = read(scenario)
    names = (
        policies if isinstance(policies, (tuple, list)) else policies.split(',')
    )
    loads = wanted['loads'] if load is None else [load]
    tasks = [
        (
            wanted,
            name,
            one,
            number,
            {**wanted.get('crocus', {}), **options},
            tune,
        )
        for one in loads
        for name in names
        for number in range(seed, seed + seeds)
    ]
    rows = play_all(tasks, processes)
    if json:
        for row in rows:
            print(dumps(row))
    else:
        print_table(rows)
        print_ratios(rows, loads, names)


if __name__ == '__main__':
    sys.modules['bench.policy'] = sys.modules['__main__']
    fire.Fire(main)
