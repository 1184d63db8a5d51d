"""The policy of the product, run with its own balancer, queue and budget."""

from __future__ import annotations

from dataclasses import dataclass
from datetime import timedelta
from random import Random
from typing import TYPE_CHECKING

from crocusproxy.config.model import Service, Upstream
from crocusproxy.limits.caller_queue import CallerQueue
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

from .policies import SHED_RETRY_AFTER, Policy
from .simulation import Job, Request

if TYPE_CHECKING:
    from .policy_run import Run

_NEVER = timedelta(seconds=-1)


@dataclass(slots=True, eq=False)
class SentRequest:
    """A request sent to an upstream, until its reply arrives."""

    request: Request
    upstream: Upstream
    ticket: int
    job: Job
    sent_at: timedelta
    is_rescued: bool = False


class Home:
    """One home: the product's balancer and queue, and a simple dispatcher."""

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
        self.queue: CallerQueue[Request] = CallerQueue(
            crocus.service.queue, crocus.service.queue
        )
        self.budget = RetryBudget(crocus.service.retry_share)
        self.sent: dict[tuple[str, int], SentRequest] = {}
        self.crashed_at: dict[str, timedelta] = {}
        self.rescue_interval_seconds = run.options.get('tick_ms', 2) / 1e3
        if self.rescue_interval_seconds:
            run.events.schedule(
                self.rescue_interval_seconds, self.rescue_stuck_requests
            )

    def rescue_stuck_requests(self) -> None:
        """Move or hedge the requests that are stuck at slow upstreams."""
        options = self.run.options
        for stuck in self.balancer.stuck_requests(self.run.monotonic()):
            sent = self.sent.get((stuck.upstream.key, stuck.ticket))
            if sent is None or sent.is_rescued:
                continue
            if stuck.is_running and options.get('hedge', 1) and not self.queue:
                self.hedge(sent)
            elif not stuck.is_running and options.get('move', 1):
                sent.is_rescued = True
                self.withdraw(sent, even_running=False)
        if self.run.events.now < self.run.seconds:
            self.run.events.schedule(
                self.rescue_interval_seconds, self.rescue_stuck_requests
            )

    def withdraw(self, sent: SentRequest, even_running: bool) -> None:
        target = self.run.servers[self.crocus.index_by_key[sent.upstream.key]]
        self.run.deliver(
            self.entry, target.index, target.cancel, sent.job, even_running
        )

    def hedge(self, sent: SentRequest) -> None:
        request = sent.request
        if not request.idempotent:
            return
        tried_upstreams = request.tried_upstreams | {sent.upstream.key}
        choice = self.choose(request, tried_upstreams)
        if isinstance(choice, Dispatch) and self.budget.try_spend():
            sent.is_rescued = True
            request.tried_upstreams = tried_upstreams
            self.run.retries += 1
            self.send(request, choice.upstream)

    def choose(self, request: Request, tried_upstreams: frozenset) -> Choice:
        info = RequestInfo(
            request.caller,
            request.idempotent,
            request.fingerprint,
            tried_upstreams,
        )
        return self.balancer.choose(info)

    def arrive(self, request: Request) -> None:
        request.entry = self.entry
        self.budget.record_call()
        self.place(request)

    def place(self, request: Request) -> None:
        if not self.try_dispatch(request):
            deadline = timedelta(seconds=request.deadline)
            full = self.queue.push(
                request, request.caller, deadline, self.run.monotonic()
            )
            if full is not None:
                self.run.refused(request)

    def try_dispatch(self, request: Request) -> bool:
        choice = self.choose(request, request.tried_upstreams)
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
        job = Job(request.service_seconds, None, request.is_crashing)
        sent = SentRequest(request, upstream, ticket, job, now)
        self.sent[upstream.key, ticket] = sent
        request.pending_copies.append(sent)
        target = self.run.servers[self.crocus.index_by_key[upstream.key]]

        def reply(result: str, report: tuple) -> None:
            self.run.deliver(
                self.entry, target.index, self.on_reply, sent, result, report
            )

        job.reply = reply
        self.run.deliver(self.entry, target.index, target.receive, job)

    def on_reply(self, sent: SentRequest, result: str, report: tuple) -> None:
        if self.entry in self.run.lost_entries:
            return
        request, upstream = sent.request, sent.upstream
        self.sent.pop((upstream.key, sent.ticket))
        request.pending_copies.remove(sent)
        self.report_outcome(sent, result, report)
        if result == 'crashed' and sent.sent_at > self.crashed_at.get(
            upstream.key, _NEVER
        ):
            self.handle_crash(sent)
        if result == 'answered':
            self.balancer.suspects.answered(request.fingerprint)
            self.run.answered(request, sent.job)
            for copy in request.pending_copies:
                self.withdraw(copy, even_running=True)
        elif not request.is_done and not request.pending_copies:
            self.retry(request, upstream, result)
        self.process_queue()

    def handle_crash(self, sent: SentRequest) -> None:
        """Report the loss of all connections to an upstream, once per crash."""
        key, now = sent.upstream.key, self.run.monotonic()
        self.crashed_at[key] = now
        lost_fingerprints = {
            other.request.fingerprint
            for other in self.sent.values()
            if other.upstream.key == key
        }
        lost_fingerprints.add(sent.request.fingerprint)
        for home in self.crocus.homes.values():
            home.balancer.suspects.crashed(
                Crash(key, frozenset(lost_fingerprints), now)
            )

    def report_outcome(
        self, sent: SentRequest, result: str, report: tuple
    ) -> None:
        now = self.run.monotonic()
        outcome = {
            'answered': Answered(now - sent.sent_at),
            'rejected': Rejected(SHED_RETRY_AFTER),
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

    def retry(self, request: Request, upstream: Upstream, result: str) -> None:
        request.tried_upstreams |= {upstream.key}
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
            entry = self.queue.pop(now)
            if entry is None:
                break
            if not self.try_dispatch(entry.item):
                self.queue.give_back(entry)
                break
        for request in self.queue.expired(now):
            self.run.failed(request)


class Crocus(Policy):
    """Callers send to the homes that the locator returned."""

    def __init__(self, run: Run, random: Random) -> None:
        super().__init__(run, random)
        options = run.options
        self.home_count = int(options.get('homes', 1))
        self.service = Service(
            's',
            homes=self.home_count,
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
        self.index_by_key = {
            upstream.key: number
            for number, upstream in enumerate(self.upstreams)
        }
        self.homes = {
            entry: Home(self, entry, random) for entry in range(run.entries)
        }

    def arrive(self, request: Request) -> None:
        live = [
            entry for entry in self.homes if entry not in self.run.lost_entries
        ]
        homes = live[: self.home_count]
        home = homes[caller_number(request.caller) % len(homes)]
        self.homes[home].arrive(request)


def caller_number(caller: str) -> int:
    return int(caller[1:])
