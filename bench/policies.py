"""The routing policies that the benchmark compares."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass
from datetime import timedelta
from random import Random
from typing import TYPE_CHECKING, Callable

from crocusproxy.config.model import Service, Upstream
from crocusproxy.limits.queue import DeadlineQueue
from crocusproxy.limits.retry_budget import RetryBudget
from crocusproxy.routing.balancer import Balancer
from crocusproxy.routing.crash import Crash
from crocusproxy.routing.results import (
    Answered,
    Cancelled,
    Choice,
    Dispatch,
    Failed,
    LoadReport,
    Rejected,
    RequestInfo,
    Wait,
)

from .simulation import Job, Request, Window

if TYPE_CHECKING:
    from .policy import Run

ATTEMPTS = 3  # of one request, by policies without a retry budget
PROBE_DEMAND = 0.0002  # seconds that a probe occupies a slot
_NEVER = timedelta(seconds=-1)
SHED_HINT = timedelta(milliseconds=20)


class Policy:
    """Base of the policies: each entry sees its own messages only."""

    def __init__(self, run: Run, random: Random) -> None:
        self.run = run
        self.random = random
        self.members = list(range(len(run.servers)))

    def arrive(self, request: Request) -> None:
        self.send(request, self.pick(request))

    def pick(self, request: Request) -> int:
        raise NotImplementedError

    def send(self, request: Request, server: int) -> Job:
        request.attempts += 1
        job = Job(request.demand, None, request.crashes)
        sent, entry = self.run.world.now, request.entry

        def reply(result: str, report: tuple) -> None:
            self.run.later(
                entry, server, self.back, request, server, result, job, sent,
                entry,
            )  # fmt: skip

        job.reply = reply
        target = self.run.servers[server]
        self.run.later(entry, server, target.receive, job)
        return job

    def back(self, request, server, result, job, sent, entry) -> None:
        if entry in self.run.lost:
            return
        self.ended(entry, server, result, self.run.world.now - sent, job)
        if result == 'answered':
            self.run.answered(request, job)
        elif request.attempts < ATTEMPTS and (
            request.idempotent or result == 'rejected'
        ):
            self.run.retries += 1
            self.arrive(request)
        else:
            self.run.failed(request)

    def ended(self, entry, server, result, latency, job) -> None:
        """Learn from the end of a request."""


class RandomPolicy(Policy):
    def pick(self, request: Request) -> int:
        return self.random.choice(self.members)


class LeastInflight(Policy):
    def __init__(self, run: Run, random: Random) -> None:
        super().__init__(run, random)
        self.counts = [[0] * len(run.servers) for _ in range(run.entries)]

    def candidates(self) -> list[int]:
        return self.members

    def pick(self, request: Request) -> int:
        counts = self.counts[request.entry]
        offered = self.candidates()
        least = min(counts[server] for server in offered)
        return self.random.choice(
            [server for server in offered if counts[server] == least]
        )

    def send(self, request: Request, server: int) -> Job:
        self.counts[request.entry][server] += 1
        return super().send(request, server)

    def ended(self, entry, server, result, latency, job) -> None:
        self.counts[entry][server] -= 1


class TwoChoices(LeastInflight):
    def candidates(self) -> list[int]:
        return self.random.sample(self.members, 2)


class ProbePool(Policy):
    """Two choices out of a pool of recent answers to probes sent ahead.

    Each answer is used once. Upstreams above the hot quantile of in-flight
    requests are avoided; among the others the lowest latency wins.
    """

    pool_size = 16
    probes_per_call = 2
    max_age = 0.1  # seconds
    hot_quantile = 0.75

    def __init__(self, run: Run, random: Random) -> None:
        super().__init__(run, random)
        self.pools = [deque(maxlen=self.pool_size) for _ in range(run.entries)]
        self.latency: list[dict[int, float]] = [{} for _ in run.servers]

    def arrive(self, request: Request) -> None:
        for _ in range(self.probes_per_call):
            self.probe(request.entry)
        super().arrive(request)

    def probe(self, entry: int) -> None:
        self.run.probes += 1
        server = self.random.choice(self.members)
        target = self.run.servers[server]

        def arrived() -> None:
            load = len(target.running) + len(target.waiting)
            latency = self.latency[server].get(load, 0.0)
            answer = (load, latency, server, self.run.world.now)
            self.run.later(entry, server, self.pools[entry].append, answer)
            self.run.wasted += PROBE_DEMAND
            target.receive(Job(PROBE_DEMAND, lambda *_: None))

        self.run.later(entry, server, arrived)

    def pick(self, request: Request) -> int:
        pool = self.pools[request.entry]
        oldest = self.run.world.now - self.max_age
        while pool and pool[0][3] < oldest:
            pool.popleft()
        if len(pool) < 2:
            return self.random.choice(self.members)
        loads = sorted(answer[0] for answer in pool)
        hot = loads[int(len(loads) * self.hot_quantile)]
        cold = [answer for answer in pool if answer[0] < hot]
        best = min(cold, key=lambda one: one[1]) if cold else min(pool)
        pool.remove(best)
        return best[2]

    def ended(self, entry, server, result, latency, job) -> None:
        # Upstreams know their latencies at each load, so probes may tell them.
        if result == 'answered':
            known = self.latency[server].get(job.load, latency)
            self.latency[server][job.load] = known + (latency - known) / 20


class Oracle(Policy):
    """One queue that knows each demand and each fault in advance."""

    def __init__(self, run: Run, random: Random) -> None:
        super().__init__(run, random)
        self.free = [[0.0] * server.slots for server in run.servers]
        self.faults: list[list[Window]] = [[] for _ in run.servers]
        for window in run.windows:
            self.faults[window.server].append(window)

    def arrive(self, request: Request) -> None:
        if request.crashes:
            self.run.refused(request)
            return
        best = (1e12, 0)
        for server, free in enumerate(self.free):
            start = max(free[0], request.sent)
            best = min(best, (self.end(server, start, request.demand), server))
        slots = self.free[best[1]]
        slots[0] = best[0]
        slots.sort()
        delay = best[0] - self.run.world.now
        self.run.world.at(delay, self.run.answered, request)

    def end(self, server: int, start: float, demand: float) -> float:
        now, factor = start, 1.0
        for window in self.faults[server]:
            if window.end <= now or window.kind in {
                'draining',
                'lies',
                'exaggerates',
            }:
                continue
            if now + demand <= window.start:
                break
            if window.kind != 'slow':
                now = window.end if window.start <= now else now
                continue
            demand -= max(0, window.start - now)
            now, factor = max(now, window.start), window.factor
            if now + demand * factor <= window.end:
                return now + demand * factor
            demand -= (window.end - now) / factor
            now = window.end
        return now + demand


@dataclass(slots=True, eq=False)
class Sent:
    """A request on its way to and from an upstream."""

    request: Request
    upstream: Upstream
    ticket: int
    job: Job
    at: timedelta
    rescued: bool = False


class Home:
    """One home: the real balancer and queue, with a dispatcher around them."""

    def __init__(self, crocus: Crocus, entry: int, random: Random) -> None:
        run = crocus.run
        self.crocus, self.run, self.entry = crocus, run, entry
        self.balancer = Balancer(
            crocus.service,
            crocus.upstreams,
            f'fd{entry % run.domains}',
            run,
            random,
        )
        self.queue: DeadlineQueue[Request] = DeadlineQueue(
            crocus.service.queue, crocus.service.queue
        )
        self.budget = RetryBudget(crocus.service.retry_share)
        self.sent: dict[tuple[str, int], Sent] = {}
        self.crashed: dict[str, timedelta] = {}
        self.tick = run.options.get('tick_ms', 2) / 1e3
        if self.tick:
            run.world.at(self.tick, self.sweep)

    def sweep(self) -> None:
        """Move or hedge the requests that are stuck at slow upstreams."""
        options = self.run.options
        for rescue in self.balancer.rescues(self.run.monotonic()):
            sent = self.sent.get((rescue.upstream.key, rescue.ticket))
            if sent is None or sent.rescued:
                continue
            if rescue.is_running and options.get('hedge', 1) and not self.queue:
                self.hedge(sent)
            elif not rescue.is_running and options.get('move', 1):
                sent.rescued = True
                self.withdraw(sent, even_running=False)
        if self.run.world.now < self.run.seconds:
            self.run.world.at(self.tick, self.sweep)

    def withdraw(self, sent: Sent, even_running: bool) -> None:
        target = self.run.servers[self.crocus.index[sent.upstream.key]]
        self.run.later(
            self.entry, target.index, target.cancel, sent.job, even_running
        )

    def hedge(self, sent: Sent) -> None:
        request = sent.request
        if not request.idempotent:
            return
        tried = request.tried | {sent.upstream.key}
        choice = self.choose(request, tried)
        if isinstance(choice, Dispatch) and self.budget.try_spend():
            sent.rescued = True
            request.tried = tried
            self.run.retries += 1
            self.send(request, choice.upstream)

    def choose(self, request: Request, tried: frozenset) -> Choice:
        info = RequestInfo(
            request.caller, request.idempotent, request.fingerprint, tried
        )
        return self.balancer.choose(info)

    def arrive(self, request: Request) -> None:
        request.entry = self.entry
        self.budget.record_call()
        self.place(request)

    def place(self, request: Request) -> None:
        if not self.offer(request):
            deadline = timedelta(seconds=request.deadline)
            full = self.queue.push(
                request, request.caller, deadline, self.run.monotonic()
            )
            if full is not None:
                self.run.refused(request)

    def offer(self, request: Request) -> bool:
        choice = self.choose(request, request.tried)
        match choice:
            case Dispatch(upstream):
                self.send(request, upstream)
            case Wait():
                return False
            case refusal:
                self.run.refused(request, refusal.code)
        return True

    def send(self, request: Request, upstream: Upstream) -> None:
        now = self.run.monotonic()
        ticket = self.balancer.started(upstream, now, request.fingerprint)
        job = Job(request.demand, None, request.crashes)
        sent = Sent(request, upstream, ticket, job, now)
        self.sent[upstream.key, ticket] = sent
        request.copies.append(sent)
        target = self.run.servers[self.crocus.index[upstream.key]]

        def reply(result: str, report: tuple) -> None:
            self.run.later(
                self.entry, target.index, self.back, sent, result, report
            )

        job.reply = reply
        self.run.later(self.entry, target.index, target.receive, job)

    def back(self, sent: Sent, result: str, report: tuple) -> None:
        if self.entry in self.run.lost:
            return
        request, upstream = sent.request, sent.upstream
        self.sent.pop((upstream.key, sent.ticket))
        request.copies.remove(sent)
        self.learn(sent, result, report)
        if result == 'crashed' and sent.at > self.crashed.get(
            upstream.key, _NEVER
        ):
            self.crash(sent)
        if result == 'answered':
            self.balancer.suspects.answered(request.fingerprint)
            self.run.answered(request, sent.job)
            for copy in request.copies:
                self.withdraw(copy, even_running=True)
        elif not request.done and not request.copies:
            self.again(request, upstream, result)
        self.pump()

    def crash(self, sent: Sent) -> None:
        """All connections to an upstream dropped; told once per crash."""
        key, now = sent.upstream.key, self.run.monotonic()
        self.crashed[key] = now
        lost = {
            one.request.fingerprint
            for one in self.sent.values()
            if one.upstream.key == key
        }
        lost.add(sent.request.fingerprint)
        for home in self.crocus.homes.values():
            home.balancer.suspects.crashed(Crash(key, frozenset(lost), now))

    def learn(self, sent: Sent, result: str, report: tuple) -> None:
        now = self.run.monotonic()
        outcome = {
            'answered': Answered(now - sent.at),
            'rejected': Rejected(SHED_HINT),
            'not_run': Cancelled(),
            'cancelled': Cancelled(),
        }.get(result, Failed())
        upstream = sent.upstream
        self.balancer.finished(upstream, outcome, now, sent.ticket)
        in_flight, queued, draining = report
        load = LoadReport(in_flight, upstream.slots, queued, now)
        self.balancer.report(upstream, load)
        if draining:
            self.balancer.drain(upstream)

    def again(self, request: Request, upstream: Upstream, result: str) -> None:
        request.tried |= {upstream.key}
        if result == 'not_run':
            self.run.moves += 1
            self.place(request)
            return
        safe = request.idempotent or result == 'rejected'
        if safe and self.budget.try_spend():
            self.run.retries += 1
            self.place(request)
        else:
            self.run.failed(request)

    def pump(self) -> None:
        now = self.run.monotonic()
        while self.queue and self.balancer.has_room():
            request = self.queue.pop(now)
            if request is None:
                break
            if not self.offer(request):
                self.place(request)
                break
        for request in self.queue.expired(now):
            self.run.failed(request)


class Crocus(Policy):
    """Callers send to the homes that the locator named."""

    def __init__(self, run: Run, random: Random) -> None:
        super().__init__(run, random)
        options = run.options
        self.count = int(options.get('homes', 1))
        self.service = Service(
            's',
            homes=self.count,
            depth=int(options.get('depth', 3)),
            queue=int(options.get('queue', 512)),
        )
        self.upstreams = [
            Upstream(
                f'u{server.index}',
                's',
                f'127.0.0.1:{9000 + server.index}',
                f'fd{server.domain}',
                server.slots,
            )
            for server in run.servers
        ]
        self.index = {
            upstream.key: number
            for number, upstream in enumerate(self.upstreams)
        }
        self.homes = {
            entry: Home(self, entry, random) for entry in range(run.entries)
        }

    def arrive(self, request: Request) -> None:
        live = [one for one in self.homes if one not in self.run.lost]
        homes = live[: self.count]
        home = homes[hash_of(request.caller) % len(homes)]
        self.homes[home].arrive(request)


def hash_of(caller: str) -> int:
    return int(caller[1:])


POLICIES: dict[str, Callable[[Run, Random], Policy]] = {
    'random': RandomPolicy,
    'least_inflight': LeastInflight,
    'two_choices': TwoChoices,
    'probe_pool': ProbePool,
    'crocus': Crocus,
    'oracle': Oracle,
}
