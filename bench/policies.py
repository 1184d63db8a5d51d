"""The routing policies that the benchmark compares."""

from __future__ import annotations

from collections import deque
from datetime import timedelta
from random import Random
from typing import TYPE_CHECKING

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
