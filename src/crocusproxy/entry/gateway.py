"""Handling of callers' requests: routing, authentication and checks."""

import asyncio
from math import inf

from aiohttp import StreamReader

from ..accounts.directory import (
    AccountDirectory,
    Authenticated,
    Identity,
    Rejected,
)
from ..clock import Clock
from ..http_server.input_limits import InputBudget, ReceiveBuffers
from ..membership.catalog import Catalog
from ..placement.warm_up import WarmUpTolerance
from ..routes.model import (
    CallerLimits,
    ClientAccount,
    Route,
    RouteConfig,
)
from ..routes.table import RouteTable
from .caller_connection import CallerConnection
from .caller_request import CallerRequest
from .connection_end import ConnectionEnd
from .dispatcher import Dispatcher
from .header_names import HeaderNames
from .metrics import EntryMetrics
from .refusals import (
    BODY_TOO_LARGE,
    CONFIG_BEHIND,
    EXPIRED,
    INVALID_DEADLINE,
    KEY_UNKNOWN,
    NO_ROUTE,
    NOT_READY,
    SHUTTING_DOWN,
)
from .request_context import RequestContext
from .request_intake import RefusedBodyError
from .request_log import RequestLog
from .request_server import RequestServer
from .responses import CallerResponse, Refusal
from .start_wait import StartWait
from .turns import Turns
from .unread_responses import UnreadResponses
from .upstream_call import OutgoingRequest
from .upstream_messages import (
    HOP_HEADER,
    OVERFLOW_HEADER,
    SERVICE_HEADER,
)
from .warm_up_watch import WarmUpWatch

#: Connections that are checked before other work may run, as thousands at once
#: would delay requests by tens of milliseconds.
_CHECKED_AT_ONCE = 64


class Gateway:
    """Serves the requests of all callers of this process.

    ``is_draining`` is set during shutdown; each connection then closes after
    the requests that have started. The process may end after monotonic second
    ``ends_at``, so all responses are due by then. With ``refuses_late``,
    requests with a later deadline are refused: another instance has more time.
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
        self.request_server = RequestServer(dispatcher, clock, request_log)
        self.limits = CallerLimits()
        self.is_draining = False
        self.ends_at = inf
        self.refuses_late = False
        self.connections: set[CallerConnection] = set()
        self.turns = Turns()
        self.unread_responses = UnreadResponses()
        self.input_budget = InputBudget()
        self.receive_buffers = ReceiveBuffers()
        self.table: RouteTable | None = None
        self.directory: AccountDirectory | None = None
        self.in_flight = 0
        catalog.on_config.append(self.apply_config)
        self.start_wait = StartWait(catalog, clock)
        bounds = dispatcher.bounds
        self.warm_up_watch = WarmUpWatch(
            catalog,
            clock,
            tolerance=WarmUpTolerance(
                bounds.warm_up_overage, bounds.warm_up_slack
            ),
        )
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
        self.request_server.apply_accounts(config.accounts)

    async def enforce_timeouts(self) -> None:
        """Close connections after a timeout, some at a time."""
        connections = tuple(self.connections)
        for number, connection in enumerate(connections, 1):
            connection.enforce_timeouts(self.clock.monotonic())
            if not number % _CHECKED_AT_ONCE:
                await asyncio.sleep(0)

    def end_idle_connections(self) -> bool:
        """End idle connections; return whether callers still receive."""
        now = self.clock.monotonic()
        are_receiving = False
        for connection in tuple(self.connections):
            if connection.end_if_idle(now):
                are_receiving = True
        return are_receiving

    def has_open_requests(self) -> bool:
        """Return whether a request is at work, or waits behind another one."""
        return self.in_flight > 0 or any(
            connection.has_requests() for connection in self.connections
        )

    async def handle(self, request: CallerRequest) -> CallerResponse:
        """Return the response to a request."""
        self.in_flight += 1
        try:  # noqa: WPS501 - also when the caller disconnects
            response = await self._respond(request)
        finally:
            self.in_flight -= 1
        if isinstance(response, Refusal):
            return self.refuse(request, response)
        return response

    def refuse(
        self, request: CallerRequest, refusal: Refusal
    ) -> CallerResponse:
        """Record a refusal and return its response."""
        self.metrics.count_refusal(refusal.code)
        self.request_log.log_refusal(request.request_id, refusal)
        return self._refusal_response(refusal, request.request_id)

    def record_rejection(self, code: str, error_type: str) -> None:
        """Record input that is no request and was refused."""
        self.metrics.count_refusal(code)
        self.request_log.log_rejection(code, error_type)

    def record_end(self, end: ConnectionEnd) -> None:
        """Record a connection that ended with requests open."""
        self.metrics.count_open_requests(end)
        self.request_log.log_connection_end(end)

    async def _respond(
        self, request: CallerRequest
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
        return await self._read_and_serve(request, identity, route, table)

    async def _read_and_serve(
        self,
        request: CallerRequest,
        identity: Identity | None,
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
        directory = self.directory
        deadline = _deadline_of(request, caller_timeout, route)
        body = await self._read_body_until(deadline, request)
        if isinstance(body, Refusal):
            return body
        if self.directory is not directory:
            # The key may have been removed while the body arrived.
            current_identity = self._identify(request, route)
            if isinstance(current_identity, Rejected):
                return KEY_UNKNOWN
            identity = current_identity
        outgoing_request = OutgoingRequest(
            request.request_id,
            request.message,
            body,
            route.idempotent,
            identity,
        )
        context = self._create_context(
            request, outgoing_request, route, table, caller_timeout
        )
        if context.deadline > self.ends_at:
            if self.refuses_late:
                return SHUTTING_DOWN
            context.deadline = self.ends_at
        return await self.request_server.serve(context)

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
            _deadline_of(request, caller_timeout, route),
            received_at
            + timing.seconds_to_target(route, caller_timeout, received_at),
            account=_account_of(outgoing_request.identity),
            is_forwarded=HOP_HEADER in request.message.headers,
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

    async def _read_body_until(
        self, deadline: float, request: CallerRequest
    ) -> bytes | Refusal:
        """Return the whole body, or the refusal of the request.

        A caller that sends no more would keep the request open forever.
        """
        remaining = None
        if not request.payload.is_eof():
            remaining = deadline - self.clock.monotonic().total_seconds()
        try:
            async with asyncio.timeout(remaining):
                body = await self._read_body(request)
        except TimeoutError:
            return EXPIRED
        except RefusedBodyError as error:
            # The body keeps the error, and its frames would keep the body.
            error.with_traceback(None)
            return error.refusal
        return BODY_TOO_LARGE if body is None else body

    async def _read_body(self, request: CallerRequest) -> bytes | None:
        """Return the whole body, or None if it is too large."""
        limit = self.limits.body_bytes
        length = request.message.headers.get('Content-Length', '0')
        if int(length) > limit:
            return None
        return await _read_up_to(limit, request.payload)

    def _refusal_response(
        self, refusal: Refusal, request_id: str
    ) -> CallerResponse:
        headers = (
            (self.header_names.request_id.encode(), request_id.encode()),
        )
        return refusal.response(headers if request_id else ())


async def _read_up_to(limit: int, payload: StreamReader) -> bytes | None:
    """Return the whole payload, or None if it has more than ``limit`` bytes."""
    chunks: list[bytes] = []
    size = 0
    try:  # noqa: WPS229, WPS501 - a frame of an error would keep the chunks
        while not payload.at_eof():
            chunk = await payload.readany()
            chunks.append(chunk)
            size += len(chunk)
            if size > limit:
                return None
        return b''.join(chunks)
    finally:
        chunks.clear()


def _account_of(identity: Identity | None) -> ClientAccount | None:
    return identity.account if isinstance(identity, Authenticated) else None


def _service_of(request: CallerRequest, route: Route) -> str:
    """Return the service that the forwarding instance has chosen, if any."""
    headers = request.message.headers
    service = headers.get(OVERFLOW_HEADER, '')
    if not service and HOP_HEADER in headers:
        service = headers.get(SERVICE_HEADER, '')
    is_part = any(part.service == service for part in route.parts)
    return service if is_part else ''


def _deadline_of(
    request: CallerRequest, caller_timeout: float | None, route: Route
) -> float:
    """Return the monotonic second at which a response is due."""
    timeout = route.timeout.total_seconds()
    if caller_timeout is not None:
        timeout = min(caller_timeout, timeout)
    return request.received_at.total_seconds() + timeout


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
