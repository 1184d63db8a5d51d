"""Schedules the requests of one service: balancer, queue, retry budget."""

import asyncio
from collections.abc import Callable, Mapping
from datetime import timedelta

from ..clock import Clock
from ..config.model import Service, Upstream
from ..limits.caller_queue import CallerQueue, QueueEntry
from ..limits.refusal import Refuse
from ..limits.retry_budget import RetryBudget
from ..measurement.planning import KnownLoad
from ..routing.balancer import Balancer
from ..routing.results import (
    Cancelled,
    Dispatch,
    LoadReport,
    RequestInfo,
    Result,
)

# Capacity can become free by time alone, for example when an ejection ends.
_QUEUE_POLL_SECONDS = 0.02
_DRAIN_RENEWAL_INTERVAL = timedelta(seconds=30)
_STUCK_CHECK_INTERVAL = timedelta(milliseconds=5)


class Assignment:
    """A request assigned to an upstream; it counts as in flight there.

    ``ticket`` is the balancer's id of the request. ``withdraw`` is called if
    the request is queued at an upstream that is probably slow.
    """

    __slots__ = ('withdraw', 'ticket', 'scheduler', 'started_at', 'upstream')

    def __init__(
        self,
        scheduler: 'ServiceScheduler',
        upstream: Upstream,
        started_at: timedelta,
        fingerprint: str = '',
    ) -> None:
        self.scheduler = scheduler
        self.upstream = upstream
        self.started_at = started_at
        self.withdraw: Callable[[], None] | None = None
        self.ticket = scheduler.balancer.started(
            upstream, started_at, fingerprint
        )
        scheduler.last_request_at = started_at
        scheduler.assignments[upstream.key, self.ticket] = self

    def finish(self, result: Result) -> None:
        """Record the result of the request and dispatch queued requests."""
        scheduler = self.scheduler
        now = scheduler.clock.monotonic()
        scheduler.assignments.pop((self.upstream.key, self.ticket), None)
        scheduler.balancer.finished(self.upstream, result, now, self.ticket)
        scheduler.withdraw_stuck(now)
        if len(scheduler.queue):
            scheduler.process_queue()


class _QueuedRequest:
    __slots__ = ('future', 'info')

    def __init__(self, info: RequestInfo) -> None:
        loop = asyncio.get_running_loop()
        self.info = info
        self.future: asyncio.Future[Assignment | Refuse] = loop.create_future()

    def resolve(self, decision: Assignment | Refuse) -> None:
        if not self.future.done():
            self.future.set_result(decision)

    def release(self) -> None:
        """Finish an assignment that was made too late to be used."""
        if not self.future.done() or self.future.cancelled():
            return
        decision = self.future.result()
        if isinstance(decision, Assignment):
            decision.finish(Cancelled())


class ServiceScheduler:
    """Assigns each request to an upstream, queues it or refuses it."""

    def __init__(
        self,
        service: Service,
        balancer: Balancer,
        clock: Clock,
        queued_per_caller: int,
    ) -> None:
        self.service = service
        self.balancer = balancer
        self.clock = clock
        self.queue: CallerQueue[_QueuedRequest] = CallerQueue(
            service.queue, queued_per_caller
        )
        self.budget = RetryBudget(service.retry_share)
        self.upstreams: tuple[Upstream, ...] = ()
        self.leaving_upstreams: frozenset[str] = frozenset()
        # Called with an upstream whose response contains a drain notice.
        self.on_drain: Callable[[Upstream], None] = balancer.drain
        self.queue_timer: asyncio.TimerHandle | None = None
        self.assignments: dict[tuple[str, int], Assignment] = {}
        self.stuck_checked_at = timedelta()
        self.renew_drains_at = timedelta()
        self.reported_at: dict[str, timedelta] = {}
        self.last_request_at: timedelta | None = None

    def update(self, service: Service, upstreams: tuple[Upstream, ...]) -> None:
        """Apply a newer configuration."""
        self.service = service
        self.upstreams = upstreams
        self.balancer.service = service
        self.balancer.update(upstreams)
        self.queue.limit = service.queue
        self.budget.share = service.retry_share
        current_keys = {upstream.key for upstream in upstreams}
        self.reported_at = {
            key: at
            for key, at in self.reported_at.items()
            if key in current_keys
        }
        self.drain(self.leaving_upstreams)

    def drain(self, leaving_keys: frozenset[str]) -> None:
        """Send no new requests to the leaving upstreams of the instance list.

        The state of an upstream that is no longer leaving is reset.
        """
        returned_keys = self.leaving_upstreams - leaving_keys
        self.leaving_upstreams = leaving_keys
        if returned_keys:
            # Removing an upstream and adding it again resets its state.
            remaining = [
                one for one in self.upstreams if one.key not in returned_keys
            ]
            self.balancer.update(remaining)
            self.balancer.update(self.upstreams)
        self._renew_drains(self.clock.monotonic())
        self.process_queue()

    def report(self, upstream: Upstream, load: LoadReport) -> None:
        """Apply the load report of a response or a probe."""
        self.reported_at[upstream.key] = load.at
        self.balancer.report(upstream, load)

    def known_loads(
        self, probed_at: Mapping[str, timedelta]
    ) -> tuple[KnownLoad, ...]:
        """Return the load state of each upstream, to plan probes."""
        return tuple(
            KnownLoad(
                upstream.key,
                upstream.slots,
                self.balancer.in_flight(upstream),
                self.reported_at.get(upstream.key),
                probed_at.get(upstream.key),
                can_be_chosen=not self.balancer.is_draining(upstream),
            )
            for upstream in self.upstreams
        )

    async def admit(
        self,
        info: RequestInfo,
        caller: str,
        deadline: timedelta,
    ) -> Assignment | Refuse:
        """Return an assignment, after queueing if necessary, or a refusal."""
        now = self.clock.monotonic()
        if deadline <= now:
            return self._deadline_refusal()
        if self.leaving_upstreams and now >= self.renew_drains_at:
            self._renew_drains(now)
        if not len(self.queue):
            choice = self.balancer.choose(info)
            if isinstance(choice, Dispatch):
                return Assignment(self, choice.upstream, now, info.fingerprint)
            if isinstance(choice, Refuse):
                return choice
        queued = _QueuedRequest(info)
        refusal = self.queue.push(queued, caller, deadline, now)
        if refusal is not None:
            return refusal
        self.process_queue()
        return await self._wait_for_assignment(queued, deadline - now)

    def process_queue(self) -> None:
        """Assign queued requests to upstreams with free capacity."""
        while len(self.queue):
            if not self.balancer.has_room():
                break
            if not self._dispatch_next(self.clock.monotonic()):
                break
        if len(self.queue) and self.queue_timer is None:
            loop = asyncio.get_running_loop()
            self.queue_timer = loop.call_later(
                _QUEUE_POLL_SECONDS, self._poll_queue
            )

    def withdraw_stuck(self, now: timedelta) -> None:
        """Withdraw stuck requests that their upstream has not started to run.

        The balancer reports a request as stuck if its upstream is probably
        slow.
        """
        if now - self.stuck_checked_at < _STUCK_CHECK_INTERVAL:
            return
        self.stuck_checked_at = now
        stuck_requests = self.balancer.stuck_requests(now)
        if (
            not stuck_requests
            or len(self.queue)
            or not self.balancer.has_room()
        ):
            # A withdrawn request might find no upstream with capacity.
            return
        for stuck in stuck_requests:
            assignment = self.assignments.get(
                (stuck.upstream.key, stuck.ticket)
            )
            if assignment and assignment.withdraw and not stuck.is_running:
                assignment.withdraw()

    def _renew_drains(self, now: timedelta) -> None:
        # The balancer drops a notice after a minute, because an upstream that
        # sent it in a response may have been restarted.
        self.renew_drains_at = now + _DRAIN_RENEWAL_INTERVAL
        for upstream in self.upstreams:
            if upstream.key in self.leaving_upstreams:
                self.balancer.drain(upstream)

    def _dispatch_next(self, now: timedelta) -> bool:
        """Process one queued request; return False if none can proceed."""
        entry = self.queue.pop(now)
        if entry is None:
            return False
        # The future is done if the request was cancelled or refused.
        return entry.item.future.done() or self._assign(entry, now)

    def _assign(
        self, entry: QueueEntry[_QueuedRequest], now: timedelta
    ) -> bool:
        queued = entry.item
        choice = self.balancer.choose(queued.info)
        if isinstance(choice, Dispatch):
            fingerprint = queued.info.fingerprint
            queued.resolve(Assignment(self, choice.upstream, now, fingerprint))
            return True
        if isinstance(choice, Refuse):
            queued.resolve(choice)
            return True
        # Only upstreams that this request has already tried have capacity.
        self.queue.give_back(entry)
        return False

    def _deadline_refusal(self) -> Refuse:
        return Refuse('deadline_exceeded', self.queue.retry_after())

    def _poll_queue(self) -> None:
        self.queue_timer = None
        for expired in self.queue.expired(self.clock.monotonic()):
            expired.resolve(self._deadline_refusal())
        self.process_queue()

    async def _wait_for_assignment(
        self,
        queued: _QueuedRequest,
        remaining: timedelta,
    ) -> Assignment | Refuse:
        timer = asyncio.get_running_loop().call_later(
            remaining.total_seconds(),
            lambda: queued.resolve(self._deadline_refusal()),
        )
        try:
            return await queued.future
        except asyncio.CancelledError:
            queued.release()
            raise
        finally:
            timer.cancel()
