"""Plays callers, a placer and upstreams in virtual time.

Counts what the callers get: a response in time has the full value, a late one
a tenth, and a refused caller tries again once or twice.
"""

from collections import Counter, defaultdict
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from heapq import heappop, heappush
from itertools import count
from random import Random

from crocusproxy.clock import ManualClock
from crocusproxy.placement.placer import ServicePlacer
from crocusproxy.placement.requests import Placed, PlacementRequest
from crocusproxy.routes.model import RegisteredUpstream

TICK_SECONDS = 0.01
FRESH_LOAD_SECONDS = 0.03
LATE_VALUE = 0.1
#: Share of its remaining time that a refused caller waits at most.
MAX_HONOURED_SHARE = 1 / 3


@dataclass(frozen=True)
class Kind:
    """Requests of a route; times in seconds, ``rate`` per second."""

    name: str
    rate: float
    priority: int = 1
    service: float = 0.2
    target: float = 0.6
    deadline: float = 2.0
    value: float = 1.0


@dataclass(frozen=True)
class Servers:
    """Upstreams; slow ones take ``slow_factor`` times as long for a phase."""

    number: int
    slots: int
    knee_factor: float = 1.0
    knee_share: float = 0.8
    slow_share: float = 0.0
    slow_factor: float = 5.0
    phase_seconds: float = 0.15
    spread: float = 0.3


@dataclass
class Outcomes:
    """What the callers of a group of requests got."""

    sent: int = 0
    in_time: int = 0
    late: int = 0

    @property
    def answered(self):
        return (self.in_time + self.late) / self.sent

    @property
    def value(self):
        return (self.in_time + LATE_VALUE * self.late) / self.sent

    @property
    def in_time_share(self):
        return self.in_time / self.sent


@dataclass(frozen=True)
class Call:
    kind: Kind
    account: str
    arrived_at: float
    retries: int


@dataclass
class Load:
    """Arrivals; ``factor`` and ``account`` depend on the time and the draw."""

    kinds: tuple[Kind, ...]
    seconds: float
    factor: Callable[[float], float] = lambda now: 1.0
    account: Callable[[float, Random], str] = lambda now, random: ''
    max_factor: float = 2.5
    #: Only calls that arrive from this second on are counted.
    counted_from: float = 0.0
    counted_until: float = 1e9


@dataclass
class Server:
    servers: Servers
    random: Random
    offset: float
    phase: int = -1
    is_slow: bool = False
    running: int = 0

    def slowdown(self, now):
        phase = int((now + self.offset) / self.servers.phase_seconds)
        if phase != self.phase:
            self.phase = phase
            self.is_slow = self.random.random() < self.servers.slow_share
        return self.servers.slow_factor if self.is_slow else 1.0

    def duration(self, seconds, now):
        seconds *= self.slowdown(now)
        if self.running + 1 >= self.servers.knee_share * self.servers.slots:
            seconds *= self.servers.knee_factor
        return seconds * self.random.lognormvariate(0, self.servers.spread)


class LoadModel:
    """One service, its upstreams and callers."""

    def __init__(self, servers, load, seed=1):
        self.load = load
        self.random = Random(seed)
        self.clock = ManualClock()
        self.placer = ServicePlacer('s', 'a', self.clock, Random(seed))
        self.servers = {}
        for number in range(servers.number):
            key = str(number)
            self.servers[key] = Server(
                servers, Random(f'{seed}{key}'), self.random.random()
            )
            self.placer.put(
                RegisteredUpstream(
                    key, 's', key, 'a', servers.slots, False, 1, 1
                )
            )
        self.sequence = count()
        self.events = []
        self.groups = defaultdict(Outcomes)
        self.refusals = Counter()
        self.retry_afters = []
        self.max_queue = 0

    def at(self, time, action):
        heappush(self.events, (time, next(self.sequence), action))

    def now(self):
        return self.clock.monotonic().total_seconds()

    def play(self):
        """Run to the end and return the outcomes by kind, account and all."""
        rate = sum(kind.rate for kind in self.load.kinds)
        time = 0.0
        while time < self.load.seconds:
            time += self.random.expovariate(rate * self.load.max_factor)
            self.at(time, self.arrive)
        for step in range(int((self.load.seconds + 5) / TICK_SECONDS)):
            self.at(step * TICK_SECONDS, self.tick)
        while self.events:
            time, _, action = heappop(self.events)
            elapsed = time - self.now()
            if elapsed > 0:
                self.clock.advance(timedelta(seconds=elapsed))
            action()
        return self.groups

    def tick(self):
        if self.placer.queue:
            for state in self.placer.upstreams.values():
                if state.has_slot and self.now() - state.reported_at > 0.05:
                    self.report(state)
            self.placer.process_queue()
        self.max_queue = max(self.max_queue, len(self.placer.queue))

    def report(self, state):
        now = self.now()
        state.report(self.servers[state.key].slowdown(now), now)

    def arrive(self):
        now = self.now()
        if self.random.random() > self.load.factor(now) / self.load.max_factor:
            return
        kinds = self.load.kinds
        (kind,) = self.random.choices(kinds, [one.rate for one in kinds])
        call = Call(
            kind,
            self.load.account(now, self.random),
            now,
            self.random.randint(1, 2),
        )
        for group in self.groups_of(call):
            group.sent += 1
        self.send(call, 0)

    def groups_of(self, call):
        if self.load.counted_from <= call.arrived_at < self.load.counted_until:
            return (
                self.groups['all'],
                self.groups[call.kind.name],
                self.groups[f'account {call.account}'],
            )
        return ()

    def send(self, call, retries):
        kind = call.kind
        now = self.now()
        if now + kind.service > call.arrived_at + kind.deadline:
            return
        request = PlacementRequest(
            kind.priority,
            kind.service,
            call.arrived_at + kind.target,
            call.arrived_at + kind.deadline,
            **({'account': call.account} if call.account else {}),
        )
        self.placer.place(
            request,
            lambda decision: self.at(
                self.now(), lambda: self.decided(call, retries, decision)
            ),
        )

    def decided(self, call, retries, decision):
        now = self.now()
        if not isinstance(decision, Placed):
            self.refusals[decision.code] += 1
            wait = decision.retry_after.total_seconds()
            self.retry_afters.append(wait)
            remaining = call.arrived_at + call.kind.deadline - now
            if retries < call.retries:
                wait = min(wait, MAX_HONOURED_SHARE * remaining)
                self.at(now + wait, lambda: self.send(call, retries + 1))
            return
        state = decision.upstream
        server = self.servers[state.key]
        if now - state.reported_at > FRESH_LOAD_SECONDS:
            # The dispatcher probes, and chooses again if it is slow.
            self.report(state)
            if state.slowdown > 2:
                self.placer.release(decision)
                self.send(call, retries)
                return
        duration = server.duration(call.kind.service, now)
        server.running += 1
        self.at(now + duration, lambda: self.end(call, decision, server))

    def end(self, call, placed, server):
        server.running -= 1
        self.report(placed.upstream)
        self.placer.release(placed, answered=True)
        took = self.now() - call.arrived_at
        for group in self.groups_of(call):
            group.in_time += took <= call.kind.target
            group.late += call.kind.target < took <= call.kind.deadline


def capacity(servers, in_flight=None):
    """Return the service seconds per second that upstreams can serve."""
    return servers.number * (in_flight or servers.slots)
