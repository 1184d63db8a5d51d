"""Forwarding of a request, once, to a home of its service."""

from aiohttp import web
from aiohttp.http import RawResponseMessage

from ..clock import Clock
from ..config.model import Service
from ..limits.retry_budget import RetryBudget
from ..logs import log
from ..membership.homes import choose_homes
from ..membership.view import Instance, InstanceView
from ..settings import InstanceIdentity
from .connection import BrokenResponseError, DeadlineError
from .exchange import Exchange
from .inbound import Inbound
from .pool import ConnectionPool, NotOpenedError
from .problems import ANSWERED, RefusalError
from .relay import Relay
from .settings import Limits


class Forwarder:
    """Knows the homes of each service and sends requests there."""

    def __init__(
        self,
        pool: ConnectionPool,
        clock: Clock,
        limits: Limits,
        identity: InstanceIdentity,
    ) -> None:
        self.pool = pool
        self.clock = clock
        self.limits = limits
        self.identity = identity
        self.view = InstanceView()
        self.chosen: dict[tuple[str, int], tuple[Instance, ...]] = {}

    def update(self, view: InstanceView) -> None:
        """Take in a newer instance view."""
        self.view = view
        self.chosen.clear()

    def homes(self, service: Service) -> tuple[Instance, ...]:
        """Return the homes to try, or none if this instance dispatches.

        Homes in the own failure domain come first.
        """
        choice = (service.name, service.homes)
        homes = self.chosen.get(choice)
        if homes is None:
            homes = self._choose(service)
            self.chosen[choice] = homes
        return homes

    async def forward(
        self,
        inbound: Inbound,
        relay: Relay,
        homes: tuple[Instance, ...],
        budget: RetryBudget,
    ) -> web.StreamResponse | None:
        """Return a home's response, or None if this instance may dispatch.

        Raises:
            RefusalError: a home has the request, and its response is lost.
        """
        for home in homes:
            exchange = Exchange(self.pool, home.proxy, inbound)
            try:
                return await self._send(exchange, relay)
            except NotOpenedError as error:
                log('home_not_reached', home=home.name, error=str(error))
            except BrokenResponseError as error:
                self._lost(exchange, error, home, budget)
                return None
            finally:
                exchange.close()
        return None

    async def _send(
        self, exchange: Exchange, relay: Relay
    ) -> web.StreamResponse:
        inbound = exchange.inbound
        now = self.clock.monotonic()
        await exchange.open(inbound.deadline - now)
        now = self.clock.monotonic()
        if now >= inbound.deadline:
            raise RefusalError('deadline_exceeded')
        inbound.written = True
        message = await exchange.send(now, to_home=True)
        body, whole = await exchange.body(self.limits.buffered_response)
        outcome = _outcome(message)
        if whole:
            return relay.whole(message, body, outcome=outcome)
        return await relay.stream(exchange, body, outcome=outcome)

    def _lost(
        self,
        exchange: Exchange,
        error: BrokenResponseError,
        home: Instance,
        budget: RetryBudget,
    ) -> None:
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
        # The home may have dispatched the request before it was lost.
        if inbound.key or not budget.try_spend():
            raise RefusalError('upstream_failed', str(error)) from error

    def _choose(self, service: Service) -> tuple[Instance, ...]:
        homes = choose_homes(service.name, self.view, service.homes)
        if any(home.name == self.identity.name for home in homes):
            return ()
        local = self.identity.failure_domain
        return tuple(
            sorted(homes, key=lambda home: home.failure_domain != local)
        )


def _outcome(message: RawResponseMessage) -> str:
    return message.headers.get('Crocus-Outcome', ANSWERED)
