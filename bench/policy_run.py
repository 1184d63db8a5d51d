"""One run of the routing benchmark: arrivals, faults and figures."""

from __future__ import annotations

from datetime import datetime, timedelta, timezone
from random import Random
from typing import Any, Callable

from .crocus_policy import Crocus
from .policies import (
    LeastInflight,
    Oracle,
    Policy,
    ProbePool,
    RandomPolicy,
    TwoChoices,
)
from .simulation import (
    EventQueue,
    FaultWindow,
    Job,
    Request,
    Server,
    fault_windows,
)

WARM_UP_SECONDS = 1.0  # at the start, not measured
RESEND_DELAY_SECONDS = 0.024  # locate again and send: three trips of 8 ms
POLICIES: dict[str, Callable[[Run, Random], Policy]] = {
    'random': RandomPolicy,
    'least_inflight': LeastInflight,
    'two_choices': TwoChoices,
    'probe_pool': ProbePool,
    'crocus': Crocus,
    'oracle': Oracle,
}


class Run:
    """One policy in one scenario; also the clock of the product's balancer."""

    def __init__(
        self, scenario: dict, policy: str, load: float, seed: int, options: dict
    ) -> None:
        self.scenario, self.load, self.options = scenario, load, options
        self.events = EventQueue()
        self.random = Random(f'arrivals {seed}')
        self.hidden_random = Random(f'hidden {seed}')
        self.seconds = scenario['seconds']
        self.domains = scenario['failure_domains']
        self.entries = scenario['entries']
        self.fault_windows = fault_windows(
            scenario, Random(f'faults {seed}'), self.seconds
        )
        self.servers = [
            self.new_server(index) for index in range(scenario['servers'])
        ]
        self.near_seconds, self.far_seconds = (
            scenario['near_ms'] / 1e3,
            scenario['far_ms'] / 1e3,
        )
        self.lost_entries: set[int] = set()
        self.open_requests: dict[int, Request] = {}
        self.latencies: list[float] = []
        self.calls = self.probes = self.retries = self.moves = 0
        self.failures = self.late = self.innocents_refused = 0
        self.wasted_slot_seconds = 0.0
        self.policy = POLICIES[policy](self, Random(f'policy {seed}'))
        self.is_oracle = policy == 'oracle'

    def new_server(self, index: int) -> Server:
        return Server(
            self.events,
            index,
            index % self.domains,
            self.scenario['slots'],
            self.scenario['queue_limit'],
            self.scenario.get('report_lag_ms', 0) / 1e3,
        )

    def monotonic(self) -> timedelta:
        return timedelta(seconds=self.events.now)

    def now(self) -> datetime:
        return datetime(2026, 1, 1, tzinfo=timezone.utc) + self.monotonic()

    def deliver(
        self, entry: int, server: int, action: Callable, *args: Any
    ) -> None:
        """Run ``action`` after the one-way network delay."""
        is_near = entry % self.domains == self.servers[server].domain
        self.events.schedule(
            self.near_seconds if is_near else self.far_seconds, action, *args
        )

    def play(self) -> dict:
        for window in self.fault_windows:
            self.events.schedule(window.start, self.begin_fault, window)
            self.events.schedule(window.end, self.end_fault, window)
        loss = self.scenario.get('entry_lost')
        if loss and not self.is_oracle:
            self.events.schedule(loss['at'], self.lose_entry, loss['entry'])
        if 'crash' in self.scenario:
            self.events.schedule(WARM_UP_SECONDS, self.send_crashing_request, 0)
        self.arrive(0)
        self.events.run(self.seconds + 5)
        return self.figures()

    def begin_fault(self, window: FaultWindow) -> None:
        server = self.servers[window.server]
        if window.kind == 'slow':
            server.set_factor(window.factor)
        else:
            server.active_faults.add(window.kind)

    def end_fault(self, window: FaultWindow) -> None:
        server = self.servers[window.server]
        if window.kind == 'slow':
            server.set_factor(1.0)
        else:
            server.active_faults.discard(window.kind)

    def rate(self) -> float:
        """Return the present arrival rate per second."""
        slots = self.scenario['servers'] * self.scenario['slots']
        rate = self.load * slots * 1000 / self.scenario['service_ms']
        for surge in self.scenario.get('surges', ()):
            if surge['at'] <= self.events.now < surge['at'] + surge['for']:
                rate *= surge['factor']
        return rate

    def arrive(self, number: int) -> None:
        generator = self.random
        service_seconds = generator.expovariate(
            1000 / self.scenario['service_ms']
        )
        request = self.new_request(number, service_seconds)
        is_hidden = generator.random() < self.scenario.get('hidden_share', 0)
        request.is_hidden = is_hidden
        if self.events.now < self.seconds:
            self.events.schedule(
                generator.expovariate(self.rate()), self.arrive, number + 1
            )
        if is_hidden and not self.is_oracle:
            self.arrive_hidden(request)
            return
        if self.is_measured(request):
            self.calls += 1
        self.open_requests[number] = request
        self.policy.arrive(request)

    def new_request(self, number: int, service_seconds: float) -> Request:
        generator = self.random
        entry, caller = (
            generator.randrange(self.entries),
            generator.randrange(200),
        )
        return Request(
            number,
            self.events.now,
            service_seconds,
            self.live_entry(entry),
            f'c{caller % self.scenario["callers"]}',
            self.events.now + self.scenario['deadline_ms'] / 1e3,
            generator.random() < self.scenario['idempotent_share'],
        )

    def arrive_hidden(self, request: Request) -> None:
        """Send at random, as the older balancer in failure domain 0 does."""
        server = self.servers[self.hidden_random.randrange(len(self.servers))]
        job = Job(request.service_seconds, lambda *_: None)
        self.deliver(0, server.index, server.receive, job)

    def live_entry(self, entry: int) -> int:
        """Return ``entry``, or the next one that is not lost."""
        while entry in self.lost_entries:
            entry = (entry + 1) % self.entries
        return entry

    def lose_entry(self, entry: int) -> None:
        """Stop an entry; callers retry idempotent requests at another one."""
        self.lost_entries.add(entry)
        for request in tuple(self.open_requests.values()):
            if request.entry == entry and request.idempotent:
                request.entry = self.live_entry(entry)
                self.retries += 1
                self.events.schedule(
                    RESEND_DELAY_SECONDS, self.policy.arrive, request
                )
            elif request.entry == entry:
                self.failed(request)

    def send_crashing_request(self, resend: int, number: int = 0) -> None:
        crash = self.scenario['crash']
        if not resend:
            number = -int(self.events.now * 1000)
            self.events.schedule(
                crash['every_s'], self.send_crashing_request, 0
            )
        if resend <= crash['resends'] and self.events.now < self.seconds:
            request = self.new_request(number, 0.05)
            request.is_crashing, request.attempts = True, 0
            request.idempotent = True
            self.policy.arrive(request)
            self.events.schedule(
                crash['resend_after_ms'] / 1e3,
                self.send_crashing_request,
                resend + 1,
                number,
            )

    def is_measured(self, request: Request) -> bool:
        is_skipped = request.is_hidden or request.is_crashing
        return request.sent_at >= WARM_UP_SECONDS and not is_skipped

    def answered(self, request: Request, job: Job | None = None) -> None:
        if request.is_done:
            self.wasted_slot_seconds += job.service_seconds if job else 0
            return
        latency = self.events.now - request.sent_at
        if self.is_measured(request):
            self.late += self.events.now > request.deadline
        self.finish(request, latency)

    def failed(self, request: Request) -> None:
        """Record a failed or refused call with its deadline as latency."""
        if request.is_done:
            return
        if self.is_measured(request):
            self.failures += 1
        self.finish(request, request.deadline - request.sent_at)

    def refused(self, request: Request, code: str = '') -> None:
        if code == 'request_suspected' and not request.is_crashing:
            self.innocents_refused += 1
        self.failed(request)

    def finish(self, request: Request, latency: float) -> None:
        request.is_done = True
        self.open_requests.pop(request.number, None)
        if self.is_measured(request):
            self.latencies.append(latency)

    def figures(self) -> dict:
        self.latencies.sort()
        busy = sum(server.busy_seconds for server in self.servers) or 1.0
        calls = max(self.calls, 1)
        return {
            'p50_ms': self.quantile(0.5),
            'p99_ms': self.quantile(0.99),
            'p999_ms': self.quantile(0.999),
            'failed': self.failures,
            'late': self.late,
            'retries': round(self.retries / calls, 5),
            'probes_per_call': round(self.probes / calls, 4),
            'wasted_slot_share': round(self.wasted_slot_seconds / busy, 5),
            'moves': round(self.moves / calls, 5),
            'crashed': sum(server.crash_count for server in self.servers),
            'innocents_refused': self.innocents_refused,
        }

    def quantile(self, share: float) -> float:
        if not self.latencies:
            return 0.0
        index = min(int(len(self.latencies) * share), len(self.latencies) - 1)
        return round(self.latencies[index] * 1000, 2)
