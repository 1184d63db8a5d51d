"""Dispatch of a request to upstreams of its service."""

from collections.abc import Callable

from aiohttp import web

from ..clock import Clock
from ..ledger.ledger import Ledger
from ..limits.refusal import Refuse
from ..routing.results import RequestInfo
from .attempt import Attempt, Moved, NotRun, ResponseLost
from .claims import claim
from .crashes import CrashWatch
from .inbound import InboundRequest
from .metrics import ProxyMetrics
from .pool import ConnectionPool
from .problems import RefusalError
from .response_writer import ResponseWriter
from .service import Assignment, ServiceScheduler
from .settings import ProxyLimits


class Dispatcher:
    """Sends requests to upstreams, and again where that is safe.

    ``schedulers`` is keyed by service. Without a ledger every keyed request is
    refused.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        clock: Clock,
        limits: ProxyLimits,
        crash_watch: CrashWatch,
        metrics: ProxyMetrics,
        ledger: Ledger | None = None,
    ) -> None:
        self.metrics = metrics
        self.crash_watch = crash_watch
        self.pool = pool
        self.clock = clock
        self.limits = limits
        self.ledger = ledger
        self.schedulers: dict[str, ServiceScheduler] = {}

    async def run(
        self, inbound: InboundRequest, writer: ResponseWriter
    ) -> web.StreamResponse:
        """Return the final response of a request.

        Raises:
            RefusalError: there is no upstream response to pass on.
        """
        scheduler = self.schedulers.get(inbound.service)
        if scheduler is None:
            raise RefusalError('service_unknown')
        scheduler.budget.record_call()
        if inbound.key:
            return await self._run_keyed(scheduler, inbound, writer)
        return await self._attempts(scheduler, writer, None)

    async def _run_keyed(
        self,
        scheduler: ServiceScheduler,
        inbound: InboundRequest,
        writer: ResponseWriter,
    ) -> web.StreamResponse:
        ledger = self.ledger
        if ledger is None:
            raise RefusalError('platform_unavailable', 'no ledger')
        if len(scheduler.queue) >= scheduler.queue.limit:
            # A claim for a request that cannot be queued is wasted.
            raise RefusalError(
                'queue_full', retry_after=scheduler.queue.retry_after()
            )
        nonce = await claim(ledger, inbound)
        try:  # noqa: WPS501 - also when the caller goes away
            response = await self._attempts(
                scheduler, writer, lambda: ledger.may_dispatch(nonce)
            )
        finally:
            if not inbound.written:
                await ledger.void(nonce)
        if inbound.written:
            await ledger.complete(nonce, response.status)
        return response

    async def _attempts(
        self,
        scheduler: ServiceScheduler,
        writer: ResponseWriter,
        may_send: Callable[[], bool] | None,
    ) -> web.StreamResponse:
        inbound = writer.inbound
        excluded: frozenset[str] = frozenset()
        last: NotRun | ResponseLost | None = None
        for number in range(self.limits.attempts):
            self.crash_watch.check(inbound)
            assignment = await self._admit(scheduler, inbound, excluded)
            if isinstance(assignment, Refuse):
                return _give_up(last, assignment, writer)
            excluded |= {assignment.upstream.key}
            others = len(excluded) < len(scheduler.upstreams)
            may_move = others and not number and not inbound.key
            answer = await self._attempt(
                assignment, writer, may_send, may_move=may_move
            )
            if isinstance(answer, web.StreamResponse):
                return answer
            repeat = others and _may_repeat(scheduler, inbound, last, answer)
            last = _to_report(last, answer)
            if not repeat:
                break
        return _give_up(last, None, writer)

    async def _admit(
        self,
        scheduler: ServiceScheduler,
        inbound: InboundRequest,
        excluded: frozenset[str],
    ) -> Assignment | Refuse:
        info = RequestInfo(
            inbound.caller,
            not inbound.key,
            self.crash_watch.fingerprint(inbound),
            excluded,
        )
        return await scheduler.admit(info, inbound.caller, inbound.deadline)

    async def _attempt(
        self,
        assignment: Assignment,
        writer: ResponseWriter,
        may_send: Callable[[], bool] | None,
        *,
        may_move: bool,
    ) -> web.StreamResponse | NotRun | ResponseLost | Moved:
        attempt = Attempt(
            assignment,
            writer,
            self.pool,
            self.clock,
            may_send,
            self.limits.buffered_response,
        )
        if may_move:
            attempt.allow_move()
        try:  # noqa: WPS501 - also when the caller goes away
            answer = await attempt.run()
        finally:
            if attempt.exchange.sent:
                self.metrics.sent(writer.inbound.service, attempt.end)
        if isinstance(answer, web.StreamResponse):
            self.crash_watch.answered(writer.inbound)
        return answer


def _may_repeat(
    scheduler: ServiceScheduler,
    inbound: InboundRequest,
    earlier: NotRun | ResponseLost | None,
    failure: NotRun | ResponseLost | Moved,
) -> bool:
    if isinstance(failure, Moved):
        return True
    if isinstance(failure, ResponseLost):
        if inbound.key or failure.refusal.code == 'deadline_exceeded':
            return False
        # A request that crashes upstreams costs two of them at most.
        if isinstance(earlier, ResponseLost):
            return False
    elif failure.message is None:
        # A connection that was not opened has cost the upstreams nothing.
        return True
    return scheduler.budget.try_spend()


def _to_report(
    earlier: NotRun | ResponseLost | None, later: NotRun | ResponseLost | Moved
) -> NotRun | ResponseLost | None:
    """Prefer a failure that says more than that a connection was missed."""
    if isinstance(later, Moved):
        return earlier
    if isinstance(later, NotRun) and later.message is None:
        return earlier or later
    return later


def _give_up(
    last: NotRun | ResponseLost | None,
    refuse: Refuse | None,
    writer: ResponseWriter,
) -> web.StreamResponse:
    if isinstance(last, ResponseLost):
        raise last.refusal
    if last is not None and last.message is not None:
        outcome = writer.inbound.outcome_now()
        return writer.complete_response(
            last.message, last.body, outcome=outcome
        )
    if refuse is None:
        raise RefusalError('no_upstream', 'no upstream could be reached')
    raise RefusalError(refuse.code, retry_after=refuse.retry_after)
