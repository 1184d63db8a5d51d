"""Serves callers' requests: route, place, send, and answer."""

import asyncio
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from datetime import timedelta
from random import Random

from ..clock import Clock
from ..limits.shared_budget import RepeatBudget
from ..logs import log
from ..membership.catalog import Catalog
from ..placement.placer import (
    Decision,
    Demand,
    Placed,
    Refused,
    ServicePlacer,
)
from ..placement.upstream_state import SLOW, UpstreamState
from ..protocol.home_feed import UpstreamChange
from ..routes.model import CallerLimits, Route, RouteConfig
from ..routes.table import RouteTable
from ..routes.timing import RouteTiming
from .caller_connection import CallerConnection, CallerRequest
from .dialect import Dialect
from .home_forwarder import BEHIND_STATUS, HomeForwarder
from .responses import CallerResponse, Refusal
from .settings import Bounds
from .upstream_call import (
    Broken,
    CallEnd,
    NotRun,
    OutgoingRequest,
    Responded,
    UpstreamCaller,
)
from .upstream_messages import HOP_HEADER

_NOT_READY = Refusal(
    503,
    'not_ready',
    'no configuration has been received yet',
    timedelta(milliseconds=100),
)
_NO_ROUTE = Refusal(404, 'no_route', 'no route covers this host and path')
_BODY_TOO_LARGE = Refusal(413, 'body_too_large', 'the body is too large')
_BAD_DEADLINE = Refusal(400, 'deadline_invalid', 'the deadline is no number')
_TIMED_OUT = Refusal(504, 'timed_out', 'no response arrived in time')
_FAILED = Refusal(502, 'upstream_failed', 'no usable response arrived')
_BEHIND = Refusal(
    BEHIND_STATUS, 'config_behind', 'the sender has a newer configuration'
)
_EXPIRED = Refusal(503, 'expired', 'the time ran out before the request ran')
_TICK_SECONDS = 0.01
#: A load reported within this many seconds is as good as a new one.
FRESH_AT_CHOICE = 0.03
_MAX_LOOKS = 3


#: Asks one upstream of a service for its load.
Refresh = Callable[[str, UpstreamState], Awaitable[None]]


@dataclass(slots=True)
class _Progress:
    """One request on its way; times are monotonic seconds."""

    request: CallerRequest
    outgoing: OutgoingRequest
    route: Route
    service: str
    started: float
    until: float
    target_at: float
    tried: frozenset[str] = frozenset()
    may_have_run: bool = False
    sends: int = 0


class Gateway:
    """Serves the requests of all callers of this process.

    ``closing`` is set during shutdown; each response then ends its connection.
    """

    def __init__(
        self,
        catalog: Catalog,
        caller: UpstreamCaller,
        dialect: Dialect,
        failure_domain: str,
        bounds: Bounds,
        clock: Clock,
        random: Random,
    ) -> None:
        self.catalog = catalog
        self.caller = caller
        self.dialect = dialect
        self.failure_domain = failure_domain
        self.bounds = bounds
        self.clock = clock
        self.random = random
        self.refresh: Refresh = _no_refresh
        self.forwarder: HomeForwarder | None = None
        self.timing = RouteTiming()
        self.limits = CallerLimits()
        self.closing = False
        self.connections: set[CallerConnection] = set()
        self.table: RouteTable | None = None
        self.placers: dict[str, ServicePlacer] = {}
        self.budgets: dict[str, RepeatBudget] = {}
        self.in_flight = 0
        self.last_request = float()
        catalog.on_config.append(self.use_config)
        catalog.on_upstream.append(self.use_upstream)

    def use_config(self, config: RouteConfig) -> None:
        """Route by a newer configuration from now on."""
        self.table = RouteTable(config)
        self.limits = config.limits

    def use_upstream(self, change: UpstreamChange) -> None:
        """Take in a change of the list of upstreams."""
        entry = change.entry
        for placer in self.placers.values():
            if entry is None or placer.service != entry.service:
                placer.remove(change.key)
        if entry is not None:
            self.placer(entry.service).put(entry)

    def placer(self, service: str) -> ServicePlacer:
        """Return the placer of a service, created on first use."""
        placer = self.placers.get(service)
        if placer is None:
            placer = ServicePlacer(
                service, self.failure_domain, self.clock, self.random
            )
            self.placers[service] = placer
        return placer

    async def run(self) -> None:
        """Refuse what has waited for too long, until cancelled."""
        while True:
            await asyncio.sleep(_TICK_SECONDS)
            for placer in self.placers.values():
                if placer.queue:
                    placer.pump()

    async def handle(self, request: CallerRequest) -> CallerResponse:
        """Return the response to a request."""
        self.in_flight += 1
        try:  # noqa: WPS501 - also when the caller goes away
            return await self._handle(request)
        finally:
            self.in_flight -= 1

    async def _handle(self, request: CallerRequest) -> CallerResponse:
        request_id = request.message.headers.get(self.dialect.request_id, '')
        table = self.table
        if table is None:
            return self._refuse(request_id, _NOT_READY)
        route = self._route(request, table)
        if isinstance(route, Refusal):
            return self._refuse(request_id, route)
        text = request.message.headers.get(self.dialect.deadline)
        try:
            wait = _seconds(text)
        except ValueError:
            return self._refuse(request_id, _BAD_DEADLINE)
        body = await self._body(request)
        if body is None:
            return self._refuse(request_id, _BODY_TOO_LARGE)
        started = request.received.total_seconds()
        until = started + _time_limit(wait, route)
        target_at = started + self.timing.target_left(route, wait)
        outgoing = OutgoingRequest(
            request_id, request.message, body, route.idempotent
        )
        service = table.service_for(route)
        return await self._serve(
            _Progress(
                request, outgoing, route, service, started, until, target_at
            )
        )

    def _route(
        self, request: CallerRequest, table: RouteTable
    ) -> Route | Refusal:
        headers = request.message.headers
        if _is_newer(headers.get(HOP_HEADER), table.config.version):
            return _BEHIND
        route = table.find(headers.get('Host', ''), request.message.path)
        return _NO_ROUTE if route is None else route

    async def _body(self, request: CallerRequest) -> bytes | None:
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

    async def _serve(self, progress: _Progress) -> CallerResponse:
        if HOP_HEADER not in progress.outgoing.message.headers:
            response = await self._forward(progress)
            if response is not None:
                return response
        return await self._dispatch(progress)

    async def _forward(self, progress: _Progress) -> CallerResponse | None:
        """Return the home's response, or None if this instance dispatches."""
        if self.forwarder is None or self.table is None:
            return None
        progress.request.detached = not progress.route.idempotent
        end = await self.forwarder.forward(
            progress.outgoing, progress.until, self.table.config.version
        )
        progress.request.detached = False
        if isinstance(end, CallerResponse):
            return end
        if isinstance(end, NotRun):
            return None
        log(
            'forward_failed',
            request_id=progress.outgoing.request_id,
            reason=end.reason,
        )
        progress.may_have_run = True
        if progress.route.idempotent and not end.timed_out:
            return None
        return self._end(progress, end, None)

    async def _dispatch(self, progress: _Progress) -> CallerResponse:
        now = self._now()
        self.last_request = now
        self._budget(progress.service).count_request(now)
        last: Broken | NotRun | Responded | None = None
        while True:
            decision = await self._place(progress)
            if isinstance(decision, Refused):
                return self._end(progress, last, decision)
            end = await self._send(progress, decision)
            if isinstance(end, Responded) and not end.failed:
                return end.response
            last = _worse(last, end)
            if not self._may_repeat(progress, end):
                return self._end(progress, last, None)

    async def _place(self, progress: _Progress) -> Decision:
        """Choose an upstream, and look again if it turns out to be slow."""
        placer = self.placer(progress.service)
        decision = await self._decide(progress)
        for _ in range(_MAX_LOOKS):
            if isinstance(decision, Refused):
                return decision
            state = decision.upstream
            if self._now() - state.reported_at < FRESH_AT_CHOICE:
                return decision
            try:  # noqa: WPS501 - also when the caller goes away
                await self.refresh(progress.service, state)
            except asyncio.CancelledError:
                placer.release(decision)
                raise
            if state.slowdown < SLOW:
                return decision
            placer.release(decision)
            decision = await self._decide(progress)
        return decision

    async def _decide(self, progress: _Progress) -> Decision:
        route = progress.route
        demand = Demand(
            route.priority,
            self.timing.expected_work(route),
            progress.target_at,
            progress.until,
            route.idempotent,
            progress.tried,
        )
        decided: asyncio.Future[Decision] = (
            asyncio.get_running_loop().create_future()
        )
        placer = self.placer(progress.service)
        waiting = placer.place(demand, decided.set_result)
        try:
            return await asyncio.shield(decided)
        except asyncio.CancelledError:
            placer.withdraw(waiting)
            if decided.done():
                _release_if_placed(placer, decided.result())
            raise

    async def _send(self, progress: _Progress, placed: Placed) -> CallEnd:
        upstream = placed.upstream
        progress.tried |= {upstream.key}
        sent_at = self._now()
        alone = upstream.in_flight == 1 and upstream.slowdown < SLOW
        slowdown = upstream.slowdown
        age = sent_at - upstream.reported_at

        def on_sent() -> None:  # noqa: WPS430
            progress.sends += 1
            if not progress.route.idempotent:
                progress.request.detached = True

        try:  # noqa: WPS501 - also when the caller goes away
            end = await self.caller.call(
                upstream, progress.outgoing, progress.until, on_sent
            )
        finally:
            self.placer(progress.service).release(placed)
        progress.request.detached = False
        log(
            'call_ended',
            dl=progress.outgoing.message.headers.get(self.dialect.deadline),
            to=progress.route.timeout.total_seconds(),
            service=progress.service,
            upstream=upstream.key,
            far=upstream.is_far,
            prio=progress.route.priority,
            tl=progress.route.target_latency.total_seconds(),
            wait=round(sent_at - progress.started, 4),
            took=round(self._now() - sent_at, 4),
            slow0=slowdown,
            age=round(age, 4),
            slow1=upstream.slowdown,
            age1=round(self._now() - upstream.reported_at, 4),
            inflight=upstream.in_flight,
            end=type(end).__name__,
        )
        if alone and isinstance(end, Responded) and not end.failed:
            self.timing.took(progress.route, self._now() - sent_at)
        self._note(progress, upstream, end)
        return end

    def _note(
        self, progress: _Progress, upstream: UpstreamState, end: CallEnd
    ) -> None:
        now = self._now()
        match end:
            case Responded(failed=False):
                upstream.succeeded()
                return
            case Responded():
                upstream.failure_rate += 0.1 * (1 - upstream.failure_rate)
                reason = 'status'
                progress.may_have_run = True
            case NotRun(reached=True, retry_after=pause):
                upstream.shed(now, pause)
                reason = end.reason
            case NotRun():
                upstream.failed(now)
                reason = end.reason
            case Broken(timed_out=timed_out):
                progress.may_have_run = True
                reason = end.reason
                if not timed_out:
                    upstream.failed(now)
        log(
            'send_failed',
            request_id=progress.outgoing.request_id,
            upstream=upstream.key,
            reason=reason,
            milliseconds=round((now - progress.started) * 1000),
        )

    def _may_repeat(self, progress: _Progress, end: CallEnd) -> bool:
        now = self._now()
        if now >= progress.until or progress.request.gone:
            return False
        if isinstance(end, NotRun) and not end.reached:
            return len(progress.tried) < 2 * progress.route.attempts + 2
        if not isinstance(end, NotRun) and not progress.route.idempotent:
            return False
        if progress.sends >= progress.route.attempts:
            return False
        return self._budget(progress.service).try_spend(now)

    def _end(
        self,
        progress: _Progress,
        last: CallEnd | None,
        refused: Refused | None,
    ) -> CallerResponse:
        if isinstance(last, Responded):
            return last.response
        request_id = progress.outgoing.request_id
        if progress.may_have_run:
            late = isinstance(last, Broken) and last.timed_out
            return self._refuse(request_id, _TIMED_OUT if late else _FAILED)
        if refused is not None:
            refusal = Refusal(
                503,
                refused.code,
                'the request was not run',
                refused.retry_after,
            )
            return self._refuse(request_id, refusal)
        if self._now() >= progress.until:
            return self._refuse(request_id, _EXPIRED)
        return self._refuse(
            request_id,
            Refusal(
                503,
                'not_accepted',
                'no upstream accepted the request; it was not run',
                timedelta(milliseconds=100),
            ),
        )

    def _refuse(self, request_id: str, refusal: Refusal) -> CallerResponse:
        log(
            'request_refused',
            request_id=request_id,
            status=refusal.status,
            code=refusal.code,
        )
        headers = ((self.dialect.request_id.encode(), request_id.encode()),)
        return refusal.response(headers if request_id else ())

    def _budget(self, service: str) -> RepeatBudget:
        budget = self.budgets.get(service)
        if budget is None:
            bounds = self.bounds
            budget = RepeatBudget(
                bounds.budget_ratio,
                bounds.budget_slack,
                bounds.budget_window.total_seconds(),
            )
            self.budgets[service] = budget
        return budget

    def _now(self) -> float:
        return self.clock.monotonic().total_seconds()


def _is_newer(hop: str | None, version: int) -> bool:
    return hop is not None and hop.isdigit() and int(hop) > version


async def _no_refresh(service: str, state: UpstreamState) -> None:
    """Go by what is known."""


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


def _worse(
    earlier: Broken | NotRun | Responded | None, later: CallEnd
) -> Broken | NotRun | Responded:
    """Prefer what says most about the request."""
    if isinstance(later, NotRun) and earlier is not None:
        return earlier
    return later


def _release_if_placed(placer: ServicePlacer, decision: Decision) -> None:
    if isinstance(decision, Placed):
        placer.release(decision)
