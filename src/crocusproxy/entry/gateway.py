"""Handling of callers' requests: checks, routing and forwarding."""

from collections.abc import Awaitable
from dataclasses import replace
from math import inf

from ..accounts.directory import (
    AccountDirectory,
    Authenticated,
    Identity,
    Rejected,
)
from ..clock import Clock
from ..membership.catalog import Catalog
from ..routes.model import (
    CallerLimits,
    ClientAccount,
    RegisteredUpstream,
    Route,
    RouteConfig,
)
from ..routes.table import RouteTable
from .call_results import NotRun, ResponseLost
from .caller_connection import CallerConnection, CallerRequest
from .dispatcher import Dispatcher
from .header_names import HeaderNames
from .home_forwarder import HomeForwarder
from .metrics import EntryMetrics
from .overflow import OverflowTargets
from .quota_gate import QuotaGate
from .refusals import (
    BODY_TOO_LARGE,
    CONFIG_BEHIND,
    DISPATCHER_REPLACED,
    INVALID_DEADLINE,
    KEY_UNKNOWN,
    NO_ROUTE,
    NO_SPARE_SLOT,
    NOT_READY,
    SHUTTING_DOWN,
    TIMED_OUT,
    UPSTREAM_FAILED,
)
from .request_context import RequestContext
from .request_log import RequestLog
from .responses import CallerResponse, Refusal
from .start_wait import StartWait
from .upstream_call import OutgoingRequest
from .upstream_messages import (
    HOP_HEADER,
    OVERFLOW_HEADER,
    RESPONDER_HEADER,
    SERVICE_HEADER,
)
from .warm_up_watch import WarmUpWatch

_NO_UPSTREAM = 'no_upstream'


class Gateway:
    """Serves the requests of all callers of this process.

    ``is_draining`` is set during shutdown; each response then closes its
    connection. The process may end at monotonic second ``ends_at``; requests
    with a later deadline are refused.
    """

    def __init__(
        self,
        catalog: Catalog,
        dispatcher: Dispatcher,
        header_names: HeaderNames,
        clock: Clock,
        metrics: EntryMetrics,
        request_log: RequestLog,
    ) -> None:
        self.dispatcher = dispatcher
        self.header_names = header_names
        self.clock = clock
        self.metrics = metrics
        self.request_log = request_log
        self.forwarder: HomeForwarder | None = None
        self.overflow_targets: OverflowTargets | None = None
        self.quota_gate: QuotaGate | None = None
        self.limits = CallerLimits()
        self.is_draining = False
        self.ends_at = inf
        self.connections: set[CallerConnection] = set()
        self.table: RouteTable | None = None
        self.directory: AccountDirectory | None = None
        self.in_flight = 0
        catalog.on_config.append(self.apply_config)
        self.start_wait = StartWait(catalog, clock)
        self.warm_up_watch = WarmUpWatch(catalog, clock)
        catalog.on_upstream.append(dispatcher.apply_upstream_change)
        catalog.on_evacuation.append(dispatcher.apply_evacuated)

    def apply_config(self, config: RouteConfig) -> None:
        """Route requests by a new configuration."""
        self.table = RouteTable(config)
        self.limits = config.limits
        self.directory = None
        if config.accounts is not None:
            self.directory = AccountDirectory(
                config.accounts, self.header_names.authorization
            )
        if self.quota_gate is not None:
            self.quota_gate.apply_accounts(config.accounts)

    def has_unsent_bytes(self) -> bool:
        """Return whether a response waits for a caller that reads slowly."""
        return any(one.has_unsent_bytes() for one in self.connections)

    async def handle(self, request: CallerRequest) -> CallerResponse:
        """Return the response to a request."""
        self.in_flight += 1
        request_id = request.message.headers.get(
            self.header_names.request_id, ''
        )
        try:  # noqa: WPS501 - also when the caller disconnects
            response = await self._respond(request, request_id)
        finally:
            self.in_flight -= 1
        if isinstance(response, Refusal):
            self.metrics.count_refusal(response.code)
            self.request_log.log_refusal(request_id, response)
            return self._refusal_response(response, request_id)
        return response

    async def _respond(
        self, request: CallerRequest, request_id: str
    ) -> CallerResponse | Refusal:
        table = await self._wait_for_table()
        if isinstance(table, Refusal):
            return table
        route = self._find_route(request, table)
        if isinstance(route, Refusal):
            return route
        identity = self._identify(request, route)
        self.metrics.count_authentication(identity)
        if isinstance(identity, Rejected):
            return KEY_UNKNOWN
        return await self._read_and_serve(request, request_id, route, table)

    async def _read_and_serve(
        self,
        request: CallerRequest,
        request_id: str,
        route: Route,
        table: RouteTable,
    ) -> CallerResponse | Refusal:
        deadline_header = request.message.headers.get(
            self.header_names.deadline
        )
        try:
            caller_timeout = _parse_timeout(deadline_header)
        except ValueError:
            return INVALID_DEADLINE
        body = await self._read_body(request)
        if body is None:
            return BODY_TOO_LARGE
        # The key may have been removed while the body arrived.
        identity = self._identify(request, route)
        if isinstance(identity, Rejected):
            return KEY_UNKNOWN
        outgoing_request = OutgoingRequest(
            request_id, request.message, body, route.idempotent, identity
        )
        return await self._serve(
            self._create_context(
                request, outgoing_request, route, table, caller_timeout
            )
        )

    async def _wait_for_table(self) -> RouteTable | Refusal:
        await self.start_wait.wait()
        return NOT_READY if self.table is None else self.table

    def _create_context(
        self,
        request: CallerRequest,
        outgoing_request: OutgoingRequest,
        route: Route,
        table: RouteTable,
        caller_timeout: float | None,
    ) -> RequestContext:
        received_at = request.received_at.total_seconds()
        timing = self.dispatcher.timing
        return RequestContext(
            request,
            outgoing_request,
            route,
            _service_of(request, route) or table.service_for(route),
            table.config.version,
            received_at,
            received_at + _time_limit(caller_timeout, route),
            received_at + timing.seconds_to_target(route, caller_timeout),
            account=_account_of(outgoing_request.identity),
        )

    def _identify(
        self, request: CallerRequest, route: Route
    ) -> Identity | Rejected | None:
        """Return who has sent a request, None without client accounts."""
        if self.directory is None:
            return None
        return self.directory.authenticate(request.message.headers, route)

    def _find_route(
        self, request: CallerRequest, table: RouteTable
    ) -> Route | Refusal:
        headers = request.message.headers
        if _needs_newer_config(headers.get(HOP_HEADER), table.config.version):
            return CONFIG_BEHIND
        route = table.find(headers.get('Host', ''), request.message.path)
        return NO_ROUTE if route is None else route

    async def _read_body(self, request: CallerRequest) -> bytes | None:
        """Return the whole body, or None if it is too large."""
        limit = self.limits.body_bytes
        length = request.message.headers.get('Content-Length', '0')
        if int(length) > limit:
            return None
        payload = request.payload
        chunks: list[bytes] = []
        size = 0
        while not payload.at_eof():
            chunk = await payload.readany()
            chunks.append(chunk)
            size += len(chunk)
            if size > limit:
                return None
        return b''.join(chunks)

    async def _serve(self, context: RequestContext) -> CallerResponse | Refusal:
        if context.deadline > self.ends_at:
            return SHUTTING_DOWN
        headers = context.outgoing_request.message.headers
        if OVERFLOW_HEADER in headers:
            if not self.dispatcher.placer(context.service).has_spare_slots():
                return NO_SPARE_SLOT
        elif HOP_HEADER not in headers:
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
        if HOP_HEADER in context.outgoing_request.message.headers:
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
        if HOP_HEADER in context.outgoing_request.message.headers:
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
        """Return the response, or None if this instance dispatches."""
        context.request.is_detached = not context.route.idempotent
        result = await exchange
        context.request.is_detached = False
        if isinstance(result, CallerResponse):
            return result
        if isinstance(result, NotRun):
            return None
        self.request_log.log_forward_failure(context, result.reason)
        return self._after_lost_response(context, result)

    def _after_lost_response(
        self, context: RequestContext, result: ResponseLost
    ) -> Refusal | None:
        """Return the refusal, or None if this instance dispatches."""
        context.may_have_run = True
        if result.is_timeout:
            return TIMED_OUT
        return None if context.route.idempotent else UPSTREAM_FAILED

    def _now(self) -> float:
        return self.clock.monotonic().total_seconds()

    def _refusal_response(
        self, refusal: Refusal, request_id: str
    ) -> CallerResponse:
        headers = (
            (self.header_names.request_id.encode(), request_id.encode()),
        )
        return refusal.response(headers if request_id else ())


def _account_of(identity: Identity | None) -> ClientAccount | None:
    return identity.account if isinstance(identity, Authenticated) else None


def _with_responder(
    response: CallerResponse, responder: RegisteredUpstream | None
) -> CallerResponse:
    """Name the upstream that responded, for the forwarding instance."""
    if responder is None:
        return response
    name = f'{responder.key} {responder.started_at}'
    header = (RESPONDER_HEADER.encode(), name.encode())
    return replace(response, headers=(*response.headers, header))


def _service_of(request: CallerRequest, route: Route) -> str:
    """Return the service that the forwarding instance has chosen, if any."""
    headers = request.message.headers
    service = headers.get(OVERFLOW_HEADER, '')
    if not service and HOP_HEADER in headers:
        service = headers.get(SERVICE_HEADER, '')
    is_part = any(part.service == service for part in route.parts)
    return service if is_part else ''


def _time_limit(caller_timeout: float | None, route: Route) -> float:
    """Return the seconds within which a response is due."""
    timeout = route.timeout.total_seconds()
    return timeout if caller_timeout is None else min(caller_timeout, timeout)


def _parse_timeout(text: str | None) -> float | None:
    """Convert the deadline header to seconds, None if it is missing.

    Raises:
        ValueError: the value is not a number or is negative.
    """
    if text is None:
        return None
    milliseconds = float(text)
    if not milliseconds >= 0:
        raise ValueError(text)
    return milliseconds / 1000


def _needs_newer_config(required_version: str | None, version: int) -> bool:
    return (
        required_version is not None
        and required_version.isdecimal()
        and int(required_version) > version
    )
