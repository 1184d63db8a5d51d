"""Forwards a request to a home of its service, at most one hop."""

from aiohttp import web
from aiohttp.http import RawResponseMessage

from ..clock import Clock
from ..config.model import Service
from ..limits.retry_budget import RetryBudget
from ..logs import log
from ..membership.homes import HomeTable
from ..membership.view import Instance, InstanceView
from ..settings import InstanceIdentity
from .connection import BrokenResponseError, DeadlineError
from .exchange import Exchange
from .inbound import InboundRequest
from .pool import ConnectionPool, NotOpenedError
from .problems import ANSWERED, PROBLEM_TYPE, RefusalError
from .response_writer import ResponseWriter
from .settings import ProxyLimits

_NOT_CONFIGURED_STATUSES = frozenset((404, 503))
_NOT_CONFIGURED_CODES = (b'"code": "service_unknown"', b'"code": "not_ready"')


class Forwarder:
    """Selects the homes of each service and forwards requests to them."""

    def __init__(
        self,
        pool: ConnectionPool,
        clock: Clock,
        limits: ProxyLimits,
        identity: InstanceIdentity,
    ) -> None:
        self.pool = pool
        self.clock = clock
        self.limits = limits
        self.identity = identity
        self.home_table = HomeTable()
        self.homes_by_service: dict[tuple[str, int], tuple[Instance, ...]] = {}

    def update(self, view: InstanceView) -> None:
        """Apply a newer instance view."""
        self.home_table.apply_view(view)
        self.homes_by_service.clear()

    def homes(self, service: Service) -> tuple[Instance, ...]:
        """Return the homes to try; empty if this instance is a home itself.

        Homes in this instance's failure domain come first.
        """
        cache_key = (service.name, service.homes)
        homes = self.homes_by_service.get(cache_key)
        if homes is None:
            homes = self._select_homes(service)
            self.homes_by_service[cache_key] = homes
        return homes

    def other_homes(self, service: Service) -> tuple[Instance, ...]:
        """Return the homes of a service except this instance."""
        homes = self.home_table.homes(service.name, service.homes)
        own = self.identity.name
        return tuple(home for home in homes if home.name != own)

    async def forward(
        self,
        inbound: InboundRequest,
        writer: ResponseWriter,
        homes: tuple[Instance, ...],
        budget: RetryBudget,
    ) -> web.StreamResponse | None:
        """Return a home's response, or None if this instance may dispatch.

        Raises:
            RefusalError: a home received the request, but its response was
                lost, or the deadline has passed.
        """
        for home in homes:
            exchange = Exchange(self.pool, home.proxy, inbound)
            try:
                response = await self._send(exchange, writer)
            except NotOpenedError as error:
                log('home_not_reached', home=home.name, error=str(error))
                continue
            except BrokenResponseError as error:
                self._handle_lost_response(exchange, error, home, budget)
                return None
            finally:
                exchange.close()
            if response is not None:
                return response
        return None

    async def _send(
        self, exchange: Exchange, writer: ResponseWriter
    ) -> web.StreamResponse | None:
        inbound = exchange.inbound
        await exchange.open(self.clock)
        now = self.clock.monotonic()
        if now >= inbound.deadline:
            raise RefusalError('deadline_exceeded')
        inbound.may_have_run = True
        message = await exchange.send(now, to_home=True)
        body, is_complete = await exchange.read_body(
            self.limits.buffered_response
        )
        outcome = message.headers.get('Crocus-Outcome', ANSWERED)
        if is_complete and _lacks_configuration(message, body):
            inbound.may_have_run = False
            return None
        if is_complete:
            return writer.complete_response(message, body, outcome=outcome)
        return await writer.stream(exchange, body, outcome=outcome)

    def _handle_lost_response(
        self,
        exchange: Exchange,
        error: BrokenResponseError,
        home: Instance,
        budget: RetryBudget,
    ) -> None:
        """Raise RefusalError unless this instance may dispatch the request."""
        inbound = exchange.inbound
        log(
            'home_response_lost',
            request_id=inbound.request_id,
            traceparent=inbound.headers.get('traceparent', ''),
            home=home.name,
            error=str(error),
        )
        if isinstance(error, DeadlineError):
            raise RefusalError('deadline_exceeded') from error
        # The home may have dispatched the request already.
        if inbound.key or not budget.try_spend():
            raise RefusalError('upstream_failed', str(error)) from error

    def _select_homes(self, service: Service) -> tuple[Instance, ...]:
        homes = self.home_table.homes(service.name, service.homes)
        if any(home.name == self.identity.name for home in homes):
            return ()
        own_domain = self.identity.failure_domain
        return tuple(
            sorted(homes, key=lambda home: home.failure_domain != own_domain)
        )


def _lacks_configuration(message: RawResponseMessage, body: bytes) -> bool:
    """Return whether a home has no configuration for the service yet.

    A response with the outcome ``answered`` is that of an upstream, even if it
    has the same status and body.
    """
    headers = message.headers
    if (
        message.code not in _NOT_CONFIGURED_STATUSES
        or headers.get('Crocus-Outcome') == ANSWERED
    ):
        return False
    if headers.get('Content-Type') != PROBLEM_TYPE:
        return False
    return any(code in body for code in _NOT_CONFIGURED_CODES)
