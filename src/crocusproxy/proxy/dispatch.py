"""Dispatch of a request to upstreams of its service."""

from collections.abc import Callable

from aiohttp import web

from ..clock import Clock
from ..ledger.ledger import Ledger
from ..limits.refusal import Refuse
from ..routing.results import RequestInfo
from .attempt import Attempt, Broke, NotRun
from .claims import claim
from .inbound import Inbound
from .pool import ConnectionPool
from .problems import RefusalError
from .relay import Relay
from .service import ServiceRoute
from .settings import Limits


class Dispatcher:
    """Sends requests to upstreams, and again where that is safe.

    ``routes`` is keyed by service. Without a ledger every keyed request is
    refused.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        clock: Clock,
        limits: Limits,
        ledger: Ledger | None = None,
    ) -> None:
        self.pool = pool
        self.clock = clock
        self.limits = limits
        self.ledger = ledger
        self.routes: dict[str, ServiceRoute] = {}

    async def run(self, inbound: Inbound, relay: Relay) -> web.StreamResponse:
        """Return the final response of a request.

        Raises:
            RefusalError: there is no upstream response to pass on.
        """
        route = self.routes.get(inbound.service)
        if route is None:
            raise RefusalError('service_unknown')
        route.budget.record_call()
        if inbound.key:
            return await self._run_keyed(route, inbound, relay)
        return await self._attempts(route, relay, None)

    async def _run_keyed(
        self, route: ServiceRoute, inbound: Inbound, relay: Relay
    ) -> web.StreamResponse:
        ledger = self.ledger
        if ledger is None:
            raise RefusalError('platform_unavailable', 'no ledger')
        if len(route.queue) >= route.queue.limit:
            # A claim for a request that cannot be queued is wasted.
            raise RefusalError(
                'queue_full', retry_after=route.queue.retry_after()
            )
        nonce = await claim(ledger, inbound)
        try:  # noqa: WPS501 - also when the caller goes away
            response = await self._attempts(
                route, relay, lambda: ledger.may_dispatch(nonce)
            )
        finally:
            if not inbound.written:
                await ledger.void(nonce)
        if inbound.written:
            await ledger.complete(nonce, response.status)
        return response

    async def _attempts(
        self,
        route: ServiceRoute,
        relay: Relay,
        may_send: Callable[[], bool] | None,
    ) -> web.StreamResponse:
        inbound = relay.inbound
        excluded: frozenset[str] = frozenset()
        last: NotRun | Broke | None = None
        for _ in range(self.limits.attempts):
            info = RequestInfo(
                inbound.caller, not inbound.key, excluded=excluded
            )
            ticket = await route.admit(info, inbound.caller, inbound.deadline)
            if isinstance(ticket, Refuse):
                return _give_up(last, ticket, relay)
            answer = await Attempt(
                ticket,
                relay,
                self.pool,
                self.clock,
                may_send,
                self.limits.buffered_response,
            ).run()
            if isinstance(answer, web.StreamResponse):
                return answer
            last = _to_report(last, answer)
            excluded |= {ticket.upstream.key}
            if not _may_repeat(route, inbound, answer, excluded):
                break
        return _give_up(last, None, relay)


def _may_repeat(
    route: ServiceRoute,
    inbound: Inbound,
    failure: NotRun | Broke,
    tried: frozenset[str],
) -> bool:
    if len(tried) >= len(route.upstreams):
        return False
    if isinstance(failure, Broke):
        if inbound.key or failure.refusal.code == 'deadline_exceeded':
            return False
    elif failure.message is None:
        # A connection that was not opened has cost the upstreams nothing.
        return True
    return route.budget.try_spend()


def _to_report(
    earlier: NotRun | Broke | None, later: NotRun | Broke
) -> NotRun | Broke:
    """Prefer a failure that says more than that a connection was missed."""
    if isinstance(later, NotRun) and later.message is None:
        return earlier or later
    return later


def _give_up(
    last: NotRun | Broke | None, refuse: Refuse | None, relay: Relay
) -> web.StreamResponse:
    if isinstance(last, Broke):
        raise last.refusal
    if last is not None and last.message is not None:
        outcome = relay.inbound.outcome_now()
        return relay.whole(last.message, last.body, outcome=outcome)
    if refuse is None:
        raise RefusalError('no_upstream', 'no upstream could be reached')
    raise RefusalError(refuse.code, retry_after=refuse.retry_after or None)
