"""The routing policies that the benchmark compares."""

from __future__ import annotations

from collections import deque
from datetime import timedelta
from random import Random
from typing import TYPE_CHECKING

from .simulation import FaultWindow, Job, Request

if TYPE_CHECKING:
    from .policy_run import Run

MAX_ATTEMPTS = 3  # of a request, for policies without a retry budget
PROBE_SECONDS = 0.0002  # for which a probe occupies a slot
_NEVER = timedelta(seconds=-1)
SHED_RETRY_AFTER = timedelta(milliseconds=20)


class Policy:
    """Base class of the policies; each entry sees only its own messages."""

    def __init__(self, run: Run, random: Random) -> None:
        self.run = run
        self.random = random
        self.server_indexes = list(range(len(run.servers)))

    def arrive(self, request: Request) -> None:
        self.send(request, self.pick(request))

    def pick(self, request: Request) -> int:
        raise NotImplementedError

    def send(self, request: Request, server: int) -> Job:
        request.attempts += 1
        job = Job(request.service_seconds, None, request.is_crashing)
        sent_at, entry = self.run.events.now, request.entry

        def reply(result: str, report: tuple) -> None:
            self.run.deliver(
                entry, server, self.on_reply, request, server, result, job,
                sent_at, entry,
            )  # fmt: skip

        job.reply = reply
        target = self.run.servers[server]
        self.run.deliver(entry, server, target.receive, job)
        return job

    def on_reply(self, request, server, result, job, sent_at, entry) -> None:
        if entry in self.run.lost_entries:
            return
        self.on_end(entry, server, result, self.run.events.now - sent_at, job)
        if result == 'answered':
            self.run.answered(request, job)
        elif request.attempts < MAX_ATTEMPTS and (
            request.idempotent or result == 'rejected'
        ):
            self.run.retries += 1
            self.arrive(request)
        else:
            self.run.failed(request)

    def on_end(self, entry, server, result, latency, job) -> None:
        """Update the policy's state after a reply."""


class RandomPolicy(Policy):
    """Chooses at random."""

    def pick(self, request: Request) -> int:
        return self.random.choice(self.server_indexes)


class LeastInflight(Policy):
    """Chooses the server with the fewest requests in flight of the entry."""

    def __init__(self, run: Run, random: Random) -> None:
        super().__init__(run, random)
        self.counts = [[0] * len(run.servers) for _ in range(run.entries)]

    def candidates(self) -> list[int]:
        return self.server_indexes

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

    def on_end(self, entry, server, result, latency, job) -> None:
        self.counts[entry][server] -= 1


class TwoChoices(LeastInflight):
    """Chooses as LeastInflight among two random servers."""

    def candidates(self) -> list[int]:
        return self.random.sample(self.server_indexes, 2)


class ProbePool(Policy):
    """Two choices out of a pool of recent replies to probes sent in advance.

    Each reply is used once. Upstreams above the hot quantile of in-flight
    requests are avoided; among the others the lowest latency wins.
    """

    pool_size = 16
    probes_per_call = 2
    max_age_seconds = 0.1
    hot_quantile = 0.75

    def __init__(self, run: Run, random: Random) -> None:
        super().__init__(run, random)
        self.pools = [deque(maxlen=self.pool_size) for _ in range(run.entries)]
        self.latency_by_load: list[dict[int, float]] = [{} for _ in run.servers]

    def arrive(self, request: Request) -> None:
        for _ in range(self.probes_per_call):
            self.probe(request.entry)
        super().arrive(request)

    def probe(self, entry: int) -> None:
        self.run.probes += 1
        server = self.random.choice(self.server_indexes)
        target = self.run.servers[server]

        def on_arrival() -> None:
            load = len(target.running) + len(target.waiting)
            latency = self.latency_by_load[server].get(load, 0.0)
            reply = (load, latency, server, self.run.events.now)
            self.run.deliver(entry, server, self.pools[entry].append, reply)
            self.run.wasted_slot_seconds += PROBE_SECONDS
            target.receive(Job(PROBE_SECONDS, lambda *_: None))

        self.run.deliver(entry, server, on_arrival)

    def pick(self, request: Request) -> int:
        pool = self.pools[request.entry]
        oldest = self.run.events.now - self.max_age_seconds
        while pool and pool[0][3] < oldest:
            pool.popleft()
        if len(pool) < 2:
            return self.random.choice(self.server_indexes)
        loads = sorted(reply[0] for reply in pool)
        hot = loads[int(len(loads) * self.hot_quantile)]
        cold = [reply for reply in pool if reply[0] < hot]
        best = (
            min(cold, key=lambda candidate: candidate[1]) if cold else min(pool)
        )
        pool.remove(best)
        return best[2]

    def on_end(self, entry, server, result, latency, job) -> None:
        # Upstreams know their latency at each load and report it to probes.
        if result == 'answered':
            average = self.latency_by_load[server].get(
                job.load_at_arrival, latency
            )
            self.latency_by_load[server][job.load_at_arrival] = (
                average + (latency - average) / 20
            )


class Oracle(Policy):
    """One queue that knows each service time and each fault in advance."""

    def __init__(self, run: Run, random: Random) -> None:
        super().__init__(run, random)
        self.slots_free_at = [[0.0] * server.slots for server in run.servers]
        self.faults: list[list[FaultWindow]] = [[] for _ in run.servers]
        for window in run.fault_windows:
            self.faults[window.server].append(window)

    def arrive(self, request: Request) -> None:
        if request.is_crashing:
            self.run.refused(request)
            return
        best = (1e12, 0)
        for server, free_at in enumerate(self.slots_free_at):
            start = max(free_at[0], request.sent_at)
            best = min(
                best,
                (self.end_time(server, start, request.service_seconds), server),
            )
        slots = self.slots_free_at[best[1]]
        slots[0] = best[0]
        slots.sort()
        delay = best[0] - self.run.events.now
        self.run.events.schedule(delay, self.run.answered, request)

    def end_time(self, server: int, start: float, remaining: float) -> float:
        """Return when a request that starts at ``start`` ends."""
        now, factor = start, 1.0
        for window in self.faults[server]:
            if window.end <= now or window.kind in {
                'draining',
                'lies',
                'exaggerates',
            }:
                continue
            if now + remaining <= window.start:
                break
            if window.kind != 'slow':
                now = window.end if window.start <= now else now
                continue
            remaining -= max(0, window.start - now)
            now, factor = max(now, window.start), window.factor
            if now + remaining * factor <= window.end:
                return now + remaining * factor
            remaining -= (window.end - now) / factor
            now = window.end
        return now + remaining
