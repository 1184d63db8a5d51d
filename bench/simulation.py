"""Virtual time, upstreams and faults that the routing policies run against."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random
from typing import Any, Callable

CRASH_AFTER = 0.001  # seconds from the start of a crashing request to its crash


class World:
    """Event queue of one run; times are virtual seconds."""

    def __init__(self) -> None:
        self.now = 0.0
        self.events: list = []
        self.count = 0

    def at(self, delay: float, action: Callable, *args: Any) -> None:
        self.count += 1
        heappush(self.events, (self.now + delay, self.count, action, args))

    def run(self, until: float) -> None:
        while self.events and self.events[0][0] <= until:
            self.now, _, action, args = heappop(self.events)
            action(*args)


@dataclass(slots=True, eq=False)
class Request:
    """``demand`` is the service time at full speed, equal for every policy."""

    number: int
    sent: float
    demand: float
    entry: int
    caller: str
    deadline: float
    idempotent: bool = True
    crashes: bool = False
    hidden: bool = False  # sent by the older balancer
    done: bool = False
    tried: frozenset = frozenset()
    copies: list = field(default_factory=list)
    attempts: int = 0

    @property
    def fingerprint(self) -> str:
        """A third of the requests are equal, as for a popular page."""
        if self.crashes or self.number % 3:
            return str(self.number)
        return 'popular'


@dataclass(slots=True, eq=False)
class Job:
    """A request or probe at an upstream; ``reply(result, report)`` ends it."""

    demand: float
    reply: Callable
    crashes: bool = False
    left: float = 0.0
    since: float = 0.0
    began: float = 0.0
    version: int = 0
    closed: bool = False
    load: int = 0  # at the upstream when the job arrived


@dataclass(frozen=True)
class Window:
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

    world: World
    index: int
    domain: int
    slots: int
    queue_limit: int
    report_lag: float = 0.0
    factor: float = 1.0
    marks: set = field(default_factory=set)
    running: list = field(default_factory=list)
    waiting: deque = field(default_factory=deque)
    past: deque = field(default_factory=deque)
    busy: float = 0.0
    crashes: int = 0

    def receive(self, job: Job) -> None:
        job.load = len(self.running) + len(self.waiting)
        if 'absent' in self.marks:
            self.end(job, 'failed')
        elif 'fails' in self.marks:
            self.end(job, 'failed')
        elif len(self.running) < self.slots:
            self.start(job)
        elif len(self.waiting) >= self.queue_limit:
            self.end(job, 'rejected')
        else:
            self.waiting.append(job)

    def start(self, job: Job) -> None:
        job.left, job.since = job.demand, self.world.now
        job.began = job.since
        self.running.append(job)
        if job.crashes:
            self.world.at(CRASH_AFTER, self.crash)
        self.schedule(job)

    def schedule(self, job: Job) -> None:
        job.version += 1
        delay = job.left * self.factor
        self.world.at(delay, self.complete, job, job.version)

    def complete(self, job: Job, version: int) -> None:
        if job.version != version or job.closed:
            return
        self.leave(job)
        self.end(job, 'answered')

    def leave(self, job: Job) -> None:
        self.running.remove(job)
        self.busy += self.world.now - job.began
        if self.waiting:
            self.start(self.waiting.popleft())

    def end(self, job: Job, result: str) -> None:
        job.closed = True
        job.reply(result, self.report())

    def cancel(self, job: Job, even_running: bool) -> None:
        """Withdraw a job; a running one only if its result is not needed."""
        if job.closed:
            return
        if job in self.waiting:
            self.waiting.remove(job)
            self.end(job, 'not_run')
        elif even_running:
            self.leave(job)
            self.end(job, 'cancelled')

    def crash(self) -> None:
        self.crashes += 1
        lost = [*self.running, *self.waiting]
        self.running.clear()
        self.waiting.clear()
        for job in lost:
            self.end(job, 'crashed')
        self.marks.add('absent')
        self.world.at(2.0, self.marks.discard, 'absent')

    def set_factor(self, factor: float) -> None:
        for job in self.running:
            job.left -= (self.world.now - job.since) / self.factor
            job.since = self.world.now
        self.factor = factor
        for job in self.running:
            self.schedule(job)

    def report(self) -> tuple[int, int, bool]:
        """Return in flight, queued and the drain notice, possibly stale."""
        if 'lies' in self.marks:
            return 0, 0, False
        if 'exaggerates' in self.marks:
            return self.slots, 100, False
        load = (len(self.running), len(self.waiting))
        now = self.world.now
        if self.report_lag:
            self.past.append((now, load))
            while self.past and self.past[0][0] < now - self.report_lag:
                load = self.past.popleft()[1]
        return *load, 'draining' in self.marks


def windows(scenario: dict, random: Random, seconds: float) -> list[Window]:
    """Expand the scenario's faults into windows, the same for each policy."""
    found: list[Window] = []
    for fault in scenario.get('faults', ()):
        found.extend(_EXPAND[fault['kind']](fault, scenario, random, seconds))
    return sorted(found, key=lambda one: one.start)


def _plain(fault: dict, *_: Any) -> list[Window]:
    start = fault['at']
    return [
        Window(
            fault['kind'],
            server,
            start,
            start + fault.get('for', 1e9),
            fault.get('factor', 1.0),
        )
        for server in fault['servers']
    ]


def _noisy(
    fault: dict, scenario: dict, random: Random, seconds: float
) -> list[Window]:
    found: list[Window] = []
    free = [0.0] * scenario['servers']
    now = 0.0
    while now < seconds:
        now += random.expovariate(1000 / fault['every_ms'])
        length = random.uniform(*fault['lasts_ms']) / 1000
        server = random.randrange(scenario['servers'])
        if free[server] <= now:
            free[server] = now + length
            found.append(
                Window('slow', server, now, now + length, fault['factor'])
            )
    return found


def _cold(fault: dict, *_: Any) -> list[Window]:
    """A server that joins late and gains speed in eight steps."""
    start, warm, factor = fault['at'], fault['warms_s'], fault['factor']
    found: list[Window] = []
    for server in fault['servers']:
        found.append(Window('absent', server, 0, start))
        for step in range(8):
            begin = start + warm * step / 8
            speed = factor + (1 - factor) * step / 8
            found.append(Window('slow', server, begin, begin + warm / 8, speed))
    return found


def _drain(fault: dict, *_: Any) -> list[Window]:
    """A notice in response headers, and the end of service later."""
    found: list[Window] = []
    for server in fault['servers']:
        stop = fault['at'] + fault['notice_s']
        found.append(Window('draining', server, fault['at'], 1e9))
        found.append(Window('absent', server, stop, 1e9))
    return found


_EXPAND = {
    'slow': _plain,
    'fails': _plain,
    'lies': _plain,
    'exaggerates': _plain,
    'noisy': _noisy,
    'cold': _cold,
    'drain': _drain,
}
