"""The policy of the product, driven through its own decisions."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from random import Random
from typing import TYPE_CHECKING

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

from .policies import SHED_HINT, Policy
from .simulation import Job, Request

if TYPE_CHECKING:
    from .policy import Run

_NEVER = timedelta(seconds=-1)


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
        for stuck in self.balancer.stuck_requests(self.run.monotonic()):
            sent = self.sent.get((stuck.upstream.key, stuck.ticket))
            if sent is None or sent.rescued:
                continue
            if stuck.is_running and options.get('hedge', 1) and not self.queue:
                self.hedge(sent)
            elif not stuck.is_running and options.get('move', 1):
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
        self.process_queue()

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

    def process_queue(self) -> None:
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
