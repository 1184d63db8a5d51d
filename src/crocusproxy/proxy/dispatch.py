"""Dispatches a request to upstreams of its service."""

from collections.abc import Callable

from aiohttp import web

from ..clock import Clock
from ..ledger.ledger import Ledger
from ..limits.refusal import Refuse
from ..routing.results import RequestInfo
from .attempt import Attempt, NotRun, ResponseLost, Withdrawn
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
    """Sends requests to upstreams and retries where that is safe.

    ``schedulers`` is keyed by service. Without a ledger, every keyed request
    is refused.
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
            RefusalError: there is no upstream response to return.
        """
        scheduler = self.schedulers.get(inbound.service)
        if scheduler is None:
            raise RefusalError('service_unknown')
        scheduler.budget.record_call()
        if inbound.key:
            return await self._run_keyed(scheduler, inbound, writer)
        return await self._run_attempts(scheduler, writer, None)

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
            # Avoids a claim for a request that would not be queued.
            raise RefusalError(
                'queue_full', retry_after=scheduler.queue.retry_after()
            )
        nonce = await claim(ledger, inbound)
        try:  # noqa: WPS501 - also when the caller disconnects
            response = await self._run_attempts(
                scheduler, writer, lambda: ledger.may_dispatch(nonce)
            )
        finally:
            if not inbound.may_have_run:
                await ledger.void(nonce)
        if inbound.may_have_run:
            await ledger.complete(nonce, response.status)
        return response

    async def _run_attempts(
        self,
        scheduler: ServiceScheduler,
        writer: ResponseWriter,
        may_send: Callable[[], bool] | None,
    ) -> web.StreamResponse:
        inbound = writer.inbound
        excluded: frozenset[str] = frozenset()
        failure: NotRun | ResponseLost | None = None
        for earlier_attempts in range(self.limits.attempts):
            self.crash_watch.check(inbound)
            assignment = await self._admit(scheduler, inbound, excluded)
            if isinstance(assignment, Refuse):
                return _final_response(failure, assignment, writer)
            excluded |= {assignment.upstream.key}
            has_other_upstreams = len(excluded) < len(scheduler.upstreams)
            # A request is withdrawn at most once, in its first attempt. It may
            # have run, so a keyed request is never withdrawn.
            may_withdraw = (
                has_other_upstreams and not earlier_attempts and not inbound.key
            )
            result = await self._run_attempt(
                assignment, writer, may_send, may_withdraw=may_withdraw
            )
            if isinstance(result, web.StreamResponse):
                return result
            may_retry = has_other_upstreams and _may_retry(
                scheduler, inbound, failure, result
            )
            failure = _preferred_failure(failure, result)
            if not may_retry:
                break
        return _final_response(failure, None, writer)

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

    async def _run_attempt(
        self,
        assignment: Assignment,
        writer: ResponseWriter,
        may_send: Callable[[], bool] | None,
        *,
        may_withdraw: bool,
    ) -> web.StreamResponse | NotRun | ResponseLost | Withdrawn:
        attempt = Attempt(
            assignment,
            writer,
            self.pool,
            self.clock,
            may_send,
            self.limits.buffered_response,
        )
        if may_withdraw:
            attempt.allow_withdrawal()
        try:  # noqa: WPS501 - also when the caller disconnects
            result = await attempt.run()
        finally:
            if attempt.exchange.write_started:
                self.metrics.record_send(writer.inbound.service, attempt.result)
        if isinstance(result, web.StreamResponse):
            self.crash_watch.record_answered(writer.inbound)
        return result


def _may_retry(
    scheduler: ServiceScheduler,
    inbound: InboundRequest,
    earlier: NotRun | ResponseLost | None,
    failure: NotRun | ResponseLost | Withdrawn,
) -> bool:
    if isinstance(failure, Withdrawn):
        return True
    if isinstance(failure, ResponseLost):
        if inbound.key or failure.refusal.code == 'deadline_exceeded':
            return False
        # A request that crashes upstreams must reach at most two.
        if isinstance(earlier, ResponseLost):
            return False
    elif failure.message is None:
        # A failed connection attempt puts no load on the upstreams.
        return True
    return scheduler.budget.try_spend()


def _preferred_failure(
    earlier: NotRun | ResponseLost | None,
    later: NotRun | ResponseLost | Withdrawn,
) -> NotRun | ResponseLost | None:
    """Prefer a lost response or a rejection to a failed connection."""
    if isinstance(later, Withdrawn):
        return earlier
    if isinstance(later, NotRun) and later.message is None:
        return earlier or later
    return later


def _final_response(
    failure: NotRun | ResponseLost | None,
    refusal: Refuse | None,
    writer: ResponseWriter,
) -> web.StreamResponse:
    """Return or raise the result of a request without further attempts.

    The failure of an attempt takes precedence over ``refusal``, except for a
    connection that could not be opened.
    """
    if isinstance(failure, ResponseLost):
        raise failure.refusal
    if failure is not None and failure.message is not None:
        outcome = writer.inbound.current_outcome()
        return writer.complete_response(
            failure.message, failure.body, outcome=outcome
        )
    if refusal is None:
        raise RefusalError('no_upstream', 'no upstream could be reached')
    raise RefusalError(refusal.code, retry_after=refusal.retry_after)
