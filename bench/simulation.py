"""Virtual time, upstreams and faults of the routing benchmark."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random
from typing import Any, Callable

CRASH_DELAY_SECONDS = 0.001  # from the start of a crashing request


class EventQueue:
    """Events of one run by time, in virtual seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self.heap: list = []
        self.sequence = 0

    def schedule(self, delay: float, action: Callable, *args: Any) -> None:
        self.sequence += 1
        heappush(self.heap, (self.now + delay, self.sequence, action, args))

    def run(self, until: float) -> None:
        while self.heap and self.heap[0][0] <= until:
            self.now, _, action, args = heappop(self.heap)
            action(*args)


@dataclass(slots=True, eq=False)
class Request:
    """One call; ``service_seconds`` is its service time at full speed.

    The service time is the same for every policy.
    """

    number: int
    sent_at: float
    service_seconds: float
    entry: int
    caller: str
    deadline: float
    idempotent: bool = True
    is_crashing: bool = False
    is_hidden: bool = False  # sent by the older balancer
    is_done: bool = False
    tried_upstreams: frozenset = frozenset()
    pending_copies: list = field(default_factory=list)
    attempts: int = 0

    @property
    def fingerprint(self) -> str:
        """The same for a third of the requests, as for a popular page."""
        if self.is_crashing or self.number % 3:
            return str(self.number)
        return 'popular'


@dataclass(slots=True, eq=False)
class Job:
    """A request or probe at an upstream.

    ``reply(result, report)`` is called once, when it ends.
    """

    service_seconds: float
    reply: Callable
    is_crashing: bool = False
    remaining_seconds: float = 0.0
    updated_at: float = 0.0
    started_at: float = 0.0
    version: int = 0
    is_closed: bool = False
    load_at_arrival: int = 0  # jobs running and waiting at the upstream


@dataclass(frozen=True)
class FaultWindow:
    """A fault of one server from ``start`` to ``end``.

    ``kind`` is slow (with a ``factor``), fails, absent, draining, lies or
    exaggerates.
    """

    kind: str
    server: int
    start: float
    end: float
    factor: float = 1.0


@dataclass(slots=True, eq=False)
class Server:
    """An upstream with slots, a queue limit and shedding."""

    events: EventQueue
    index: int
    domain: int
    slots: int
    queue_limit: int
    report_lag_seconds: float = 0.0
    factor: float = 1.0
    active_faults: set = field(default_factory=set)
    running: list = field(default_factory=list)
    waiting: deque = field(default_factory=deque)
    past_loads: deque = field(default_factory=deque)
    busy_seconds: float = 0.0
    crash_count: int = 0

    def receive(self, job: Job) -> None:
        job.load_at_arrival = len(self.running) + len(self.waiting)
        if 'absent' in self.active_faults:
            self.finish(job, 'failed')
        elif 'fails' in self.active_faults:
            self.finish(job, 'failed')
        elif len(self.running) < self.slots:
            self.start(job)
        elif len(self.waiting) >= self.queue_limit:
            self.finish(job, 'rejected')
        else:
            self.waiting.append(job)

    def start(self, job: Job) -> None:
        job.remaining_seconds, job.updated_at = (
            job.service_seconds,
            self.events.now,
        )
        job.started_at = job.updated_at
        self.running.append(job)
        if job.is_crashing:
            self.events.schedule(CRASH_DELAY_SECONDS, self.crash)
        self.schedule_completion(job)

    def schedule_completion(self, job: Job) -> None:
        job.version += 1
        delay = job.remaining_seconds * self.factor
        self.events.schedule(delay, self.complete, job, job.version)

    def complete(self, job: Job, version: int) -> None:
        if job.version != version or job.is_closed:
            return
        self.remove_running(job)
        self.finish(job, 'answered')

    def remove_running(self, job: Job) -> None:
        self.running.remove(job)
        self.busy_seconds += self.events.now - job.started_at
        if self.waiting:
            self.start(self.waiting.popleft())

    def finish(self, job: Job, result: str) -> None:
        job.is_closed = True
        job.reply(result, self.report())

    def cancel(self, job: Job, even_running: bool) -> None:
        """Withdraw a queued job; a running one only with ``even_running``."""
        if job.is_closed:
            return
        if job in self.waiting:
            self.waiting.remove(job)
            self.finish(job, 'not_run')
        elif even_running:
            self.remove_running(job)
            self.finish(job, 'cancelled')

    def crash(self) -> None:
        self.crash_count += 1
        lost_jobs = [*self.running, *self.waiting]
        self.running.clear()
        self.waiting.clear()
        for job in lost_jobs:
            self.finish(job, 'crashed')
        self.active_faults.add('absent')
        self.events.schedule(2.0, self.active_faults.discard, 'absent')

    def set_factor(self, factor: float) -> None:
        for job in self.running:
            job.remaining_seconds -= (
                self.events.now - job.updated_at
            ) / self.factor
            job.updated_at = self.events.now
        self.factor = factor
        for job in self.running:
            self.schedule_completion(job)

    def report(self) -> tuple[int, int, bool]:
        """Return requests in flight, requests queued and the drain notice.

        They may be stale or false, depending on the scenario.
        """
        if 'lies' in self.active_faults:
            return 0, 0, False
        if 'exaggerates' in self.active_faults:
            return self.slots, 100, False
        load = (len(self.running), len(self.waiting))
        now = self.events.now
        if self.report_lag_seconds:
            self.past_loads.append((now, load))
            while (
                self.past_loads
                and self.past_loads[0][0] < now - self.report_lag_seconds
            ):
                load = self.past_loads.popleft()[1]
        return *load, 'draining' in self.active_faults


def fault_windows(
    scenario: dict, random: Random, seconds: float
) -> list[FaultWindow]:
    """Return the windows of the faults, the same for each policy."""
    windows: list[FaultWindow] = []
    for fault in scenario.get('faults', ()):
        windows.extend(
            _WINDOWS_BY_KIND[fault['kind']](fault, scenario, random, seconds)
        )
    return sorted(windows, key=lambda window: window.start)


def _constant_windows(fault: dict, *_: Any) -> list[FaultWindow]:
    start = fault['at']
    return [
        FaultWindow(
            fault['kind'],
            server,
            start,
            start + fault.get('for', 1e9),
            fault.get('factor', 1.0),
        )
        for server in fault['servers']
    ]


def _noisy_windows(
    fault: dict, scenario: dict, random: Random, seconds: float
) -> list[FaultWindow]:
    windows: list[FaultWindow] = []
    slow_until = [0.0] * scenario['servers']
    now = 0.0
    while now < seconds:
        now += random.expovariate(1000 / fault['every_ms'])
        length = random.uniform(*fault['lasts_ms']) / 1000
        server = random.randrange(scenario['servers'])
        if slow_until[server] <= now:
            slow_until[server] = now + length
            windows.append(
                FaultWindow('slow', server, now, now + length, fault['factor'])
            )
    return windows


def _cold_windows(fault: dict, *_: Any) -> list[FaultWindow]:
    """A server that joins late and speeds up in eight steps."""
    start, warm_up, factor = fault['at'], fault['warms_s'], fault['factor']
    windows: list[FaultWindow] = []
    for server in fault['servers']:
        windows.append(FaultWindow('absent', server, 0, start))
        for step in range(8):
            begin = start + warm_up * step / 8
            step_factor = factor + (1 - factor) * step / 8
            windows.append(
                FaultWindow(
                    'slow', server, begin, begin + warm_up / 8, step_factor
                )
            )
    return windows


def _drain_windows(fault: dict, *_: Any) -> list[FaultWindow]:
    """A drain notice in responses, and absence after the notice period."""
    windows: list[FaultWindow] = []
    for server in fault['servers']:
        stop = fault['at'] + fault['notice_s']
        windows.append(FaultWindow('draining', server, fault['at'], 1e9))
        windows.append(FaultWindow('absent', server, stop, 1e9))
    return windows


_WINDOWS_BY_KIND = {
    'slow': _constant_windows,
    'fails': _constant_windows,
    'lies': _constant_windows,
    'exaggerates': _constant_windows,
    'noisy': _noisy_windows,
    'cold': _cold_windows,
    'drain': _drain_windows,
}
