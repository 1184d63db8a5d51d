"""Serving of routed requests, here or by another instance."""

from collections.abc import Awaitable, Iterable
from dataclasses import replace

from ..clock import Clock
from ..routes.model import ClientAccount, RegisteredUpstream
from .call_results import NotRun, ResponseLost
from .caller_request import RequestStage
from .dispatcher import Dispatcher
from .home_forwarder import HomeForwarder
from .overflow import OverflowTargets
from .quota_gate import QuotaGate
from .refusals import (
    DISPATCHER_REPLACED,
    NO_SPARE_SLOT,
    TIMED_OUT,
    UPSTREAM_FAILED,
)
from .request_context import RequestContext
from .request_log import RequestLog
from .responses import CallerResponse, Refusal
from .upstream_messages import OVERFLOW_HEADER, RESPONDER_HEADER

_NO_UPSTREAM = 'no_upstream'


class RequestServer:
    """Forwards requests to the instance that dispatches them, or dispatches.

    Without ``forwarder`` and ``overflow_targets``, this instance dispatches all
    requests; without ``quota_gate``, no quotas apply.
    """

    def __init__(
        self, dispatcher: Dispatcher, clock: Clock, request_log: RequestLog
    ) -> None:
        self.dispatcher = dispatcher
        self.clock = clock
        self.request_log = request_log
        self.forwarder: HomeForwarder | None = None
        self.overflow_targets: OverflowTargets | None = None
        self.quota_gate: QuotaGate | None = None

    def apply_accounts(self, accounts: Iterable[ClientAccount] | None) -> None:
        """Use the quotas of a new configuration."""
        if self.quota_gate is not None:
            self.quota_gate.apply_accounts(accounts)

    async def serve(self, context: RequestContext) -> CallerResponse | Refusal:
        """Return the response to a request, or the refusal."""
        headers = context.outgoing_request.message.headers
        if OVERFLOW_HEADER in headers:
            if not self.dispatcher.placer(context.service).has_spare_slots():
                return NO_SPARE_SLOT
        elif not context.is_forwarded:
            response = await self._serve_elsewhere(context)
            if response is not None:
                return response
        return await self._dispatch(context)

    async def _dispatch(
        self, context: RequestContext
    ) -> CallerResponse | Refusal:
        refusal = self._take_token(context)
        if refusal is not None:
            return refusal
        try:
            response = await self.dispatcher.run(context)
        except BaseException:
            if not context.send_count:
                self._refund(context)
            raise
        if isinstance(response, Refusal):
            self._refund(context)
            return await self._serve_by_successor(context, response)
        if context.is_forwarded:
            return _with_responder(response, context.responder)
        return response

    def _take_token(self, context: RequestContext) -> Refusal | None:
        """Take a token of the account's quota, or return the refusal.

        A domain home that sends a request to another one has taken it.
        """
        headers = context.outgoing_request.message.headers
        if self.quota_gate is None or OVERFLOW_HEADER in headers:
            return None
        return self.quota_gate.admit(context)

    def _refund(self, context: RequestContext) -> None:
        if self.quota_gate is not None:
            self.quota_gate.refund(context)

    async def _serve_by_successor(
        self, context: RequestContext, refusal: Refusal
    ) -> CallerResponse | Refusal:
        """Let the instance that dispatches now serve a request, if any.

        It has replaced this one while the request waited here.
        """
        is_unsent = not context.send_count and not context.may_have_run
        has_time = self._now() < context.deadline
        if not (is_unsent and has_time):
            return refusal
        if not self._successor(context):
            return await self._overflow_after_evacuation(context, refusal)
        if context.is_forwarded:
            return DISPATCHER_REPLACED
        response = await self._serve_elsewhere(context)
        return refusal if response is None else response

    async def _overflow_after_evacuation(
        self, context: RequestContext, refusal: Refusal
    ) -> CallerResponse | Refusal:
        """Ask another domain home for a request that waited or was forwarded.

        The home assigns the callers of an evacuated failure domain to another
        one a moment after its upstreams are out of service.
        """
        headers = context.outgoing_request.message.headers
        is_evacuated = bool(self.dispatcher.evacuated)
        if self.forwarder is None or OVERFLOW_HEADER in headers:
            return refusal
        if not (is_evacuated and refusal.code == _NO_UPSTREAM):
            return refusal
        response = await self._overflow(self.forwarder, context)
        return refusal if response is None else response

    def _successor(self, context: RequestContext) -> str:
        if self.forwarder is None:
            return ''
        return self.forwarder.home_address(context.service)

    async def _serve_elsewhere(
        self, context: RequestContext
    ) -> CallerResponse | Refusal | None:
        """Return another home's response, or None if this one dispatches."""
        if self.forwarder is None:
            return None
        address = self._successor(context)
        if not address:
            refusal = self._take_token(context)
            if refusal is not None:
                return refusal
            return await self._overflow(self.forwarder, context)
        response = await self._forward(self.forwarder, context)
        if response is None and self._successor(context) not in {'', address}:
            response = await self._forward(self.forwarder, context)
        return response

    async def _forward(
        self, forwarder: HomeForwarder, context: RequestContext
    ) -> CallerResponse | Refusal | None:
        return await self._await_forward(
            context,
            forwarder.forward(
                context.outgoing_request,
                context.deadline,
                context.config_version,
                context.service,
                is_chosen=len(context.route.parts) > 1,
            ),
        )

    async def _overflow(
        self, forwarder: HomeForwarder, context: RequestContext
    ) -> CallerResponse | Refusal | None:
        """Ask another domain home, once, if the own upstreams are full."""
        targets = self.overflow_targets
        service = context.service
        if targets is None:
            return None
        if not self.dispatcher.placer(service).is_short_of_slots():
            return None
        address = targets.choose(service, context.received_at)
        if not address:
            return None
        response = await self._await_forward(
            context,
            forwarder.send_overflow(
                address,
                context.outgoing_request,
                context.deadline,
                context.config_version,
                service,
            ),
        )
        if response is None:
            targets.decline(address, service, self._now())
        else:
            self.request_log.log_overflow(context, address)
            if self.quota_gate is not None:
                self.quota_gate.settle(context, response)
        return response

    async def _await_forward(
        self,
        context: RequestContext,
        exchange: Awaitable[CallerResponse | NotRun | ResponseLost],
    ) -> CallerResponse | Refusal | None:
        """Return the response, or None if this instance dispatches.

        If the caller leaves, the connection to the home closes. The home then
        drops the request unless it may be running at an upstream.
        """
        context.request.stage = RequestStage.FORWARDED
        result = await exchange
        if isinstance(result, NotRun):
            return None
        budget = self.dispatcher.retry_budget(context.service)
        budget.count_forwarded(self._now())
        if isinstance(result, CallerResponse):
            return result
        self.request_log.log_forward_failure(context, result.reason)
        return self._after_lost_response(context, result)

    def _after_lost_response(
        self, context: RequestContext, result: ResponseLost
    ) -> Refusal | None:
        """Return the refusal, or None if this instance dispatches."""
        context.may_have_run = True
        if result.is_timeout:
            return TIMED_OUT
        return None if self._may_send_again(context) else UPSTREAM_FAILED

    def _may_send_again(self, context: RequestContext) -> bool:
        """Return whether this instance may send a request of a lost home.

        The home may have sent it, so this is a retry.
        """
        route = context.route
        if not route.idempotent or route.attempts <= 1:
            return False
        budget = self.dispatcher.retry_budget(context.service)
        if not budget.try_spend(self._now()):
            return False
        context.send_count += 1
        return True

    def _now(self) -> float:
        return self.clock.monotonic().total_seconds()


def _with_responder(
    response: CallerResponse, responder: RegisteredUpstream | None
) -> CallerResponse:
    """Name the upstream that responded, for the forwarding instance."""
    if responder is None:
        return response
    name = f'{responder.key} {responder.started_at}'
    header = (RESPONDER_HEADER.encode(), name.encode())
    return replace(response, headers=(*response.headers, header))
