"""Takes requests from callers: checks, routes and answers them."""

from math import inf

from ..clock import Clock
from ..membership.catalog import Catalog
from ..routes.model import CallerLimits, Route, RouteConfig
from ..routes.table import RouteTable
from .call_ends import NotRun, ResponseLost
from .caller_connection import CallerConnection, CallerRequest
from .dialect import Dialect
from .dispatcher import Dispatcher
from .home_forwarder import HomeForwarder
from .metrics import EntryMetrics
from .progress import Progress
from .refusals import (
    BAD_DEADLINE,
    BODY_TOO_LARGE,
    CONFIG_BEHIND,
    FAILED,
    NO_ROUTE,
    NOT_READY,
    SHUTTING_DOWN,
    TIMED_OUT,
)
from .request_log import RequestLog
from .responses import CallerResponse, Refusal
from .start_wait import StartWait
from .upstream_call import OutgoingRequest
from .upstream_messages import HOP_HEADER


class Gateway:
    """Serves the requests of all callers of this process.

    ``closing`` is set during shutdown; each response then ends its connection.
    The process may end at monotonic second ``ends_at``; a request that may take
    longer than that is refused.
    """

    def __init__(
        self,
        catalog: Catalog,
        dispatcher: Dispatcher,
        dialect: Dialect,
        clock: Clock,
        metrics: EntryMetrics,
        request_log: RequestLog,
    ) -> None:
        self.dispatcher = dispatcher
        self.dialect = dialect
        self.clock = clock
        self.metrics = metrics
        self.request_log = request_log
        self.forwarder: HomeForwarder | None = None
        self.limits = CallerLimits()
        self.closing = False
        self.ends_at = inf
        self.connections: set[CallerConnection] = set()
        self.table: RouteTable | None = None
        self.in_flight = 0
        catalog.on_config.append(self.apply_config)
        self.start_wait = StartWait(catalog, clock)
        catalog.on_upstream.append(dispatcher.apply_upstream_change)

    def apply_config(self, config: RouteConfig) -> None:
        """Route by a newer configuration from now on."""
        self.table = RouteTable(config)
        self.limits = config.limits

    async def handle(self, request: CallerRequest) -> CallerResponse:
        """Return the response to a request."""
        self.in_flight += 1
        request_id = request.message.headers.get(self.dialect.request_id, '')
        try:  # noqa: WPS501 - also when the caller goes away
            answer = await self._answer(request, request_id)
        finally:
            self.in_flight -= 1
        if isinstance(answer, Refusal):
            self.metrics.refused(answer.code)
            self.request_log.refused(request_id, answer)
            return self._response(answer, request_id)
        return answer

    async def _answer(
        self, request: CallerRequest, request_id: str
    ) -> CallerResponse | Refusal:
        table = await self._usable_table()
        if isinstance(table, Refusal):
            return table
        route = self._route(request, table)
        if isinstance(route, Refusal):
            return route
        text = request.message.headers.get(self.dialect.deadline)
        try:
            wait = _seconds(text)
        except ValueError:
            return BAD_DEADLINE
        body = await self._body(request)
        if body is None:
            return BODY_TOO_LARGE
        outgoing = OutgoingRequest(
            request_id, request.message, body, route.idempotent
        )
        return await self._serve(
            self._progress(request, outgoing, route, table, wait)
        )

    async def _usable_table(self) -> RouteTable | Refusal:
        await self.start_wait.wait()
        return NOT_READY if self.table is None else self.table

    def _progress(
        self,
        request: CallerRequest,
        outgoing: OutgoingRequest,
        route: Route,
        table: RouteTable,
        wait: float | None,
    ) -> Progress:
        started = request.received.total_seconds()
        timing = self.dispatcher.timing
        return Progress(
            request,
            outgoing,
            route,
            table.service_for(route),
            table.config.version,
            started,
            started + _time_limit(wait, route),
            started + timing.seconds_to_target(route, wait),
        )

    def _route(
        self, request: CallerRequest, table: RouteTable
    ) -> Route | Refusal:
        headers = request.message.headers
        if _is_newer(headers.get(HOP_HEADER), table.config.version):
            return CONFIG_BEHIND
        route = table.find(headers.get('Host', ''), request.message.path)
        return NO_ROUTE if route is None else route

    async def _body(self, request: CallerRequest) -> bytes | None:
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

    async def _serve(self, progress: Progress) -> CallerResponse | Refusal:
        if progress.deadline > self.ends_at:
            return SHUTTING_DOWN
        if HOP_HEADER not in progress.outgoing.message.headers:
            answer = await self._forward(progress)
            if answer is not None:
                return answer
        return await self.dispatcher.run(progress)

    async def _forward(
        self, progress: Progress
    ) -> CallerResponse | Refusal | None:
        """Return the home's response, or None if this instance dispatches."""
        if self.forwarder is None:
            return None
        progress.request.detached = not progress.route.idempotent
        end = await self.forwarder.forward(
            progress.outgoing, progress.deadline, progress.version
        )
        progress.request.detached = False
        if isinstance(end, CallerResponse):
            return end
        if isinstance(end, NotRun):
            return None
        self.request_log.forward_failed(progress, end.reason)
        return self._after_broken_forward(progress, end)

    def _after_broken_forward(
        self, progress: Progress, end: ResponseLost
    ) -> Refusal | None:
        progress.may_have_run = True
        if end.timed_out:
            return TIMED_OUT
        return None if progress.route.idempotent else FAILED

    def _response(self, refusal: Refusal, request_id: str) -> CallerResponse:
        headers = ((self.dialect.request_id.encode(), request_id.encode()),)
        return refusal.response(headers if request_id else ())


def _time_limit(wait: float | None, route: Route) -> float:
    """Return the seconds within which a response is due."""
    timeout = route.timeout.total_seconds()
    return timeout if wait is None else min(wait, timeout)


def _seconds(text: str | None) -> float | None:
    """Return a number of milliseconds in seconds, None if there is none.

    Raises:
        ValueError: it is no number, or negative.
    """
    if text is None:
        return None
    milliseconds = float(text)
    if not milliseconds >= 0:
        raise ValueError(text)
    return milliseconds / 1000


def _is_newer(hop: str | None, version: int) -> bool:
    return hop is not None and hop.isdigit() and int(hop) > version
