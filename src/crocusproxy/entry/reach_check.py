"""Connects to upstreams to find out whether this instance reaches them."""

import asyncio
from collections.abc import Iterable

from aiohttp import web

from ..clock import Clock
from ..errors import NotReachableError
from ..membership.catalog import Catalog
from ..membership.member_client import REACH_PATH, MemberClient
from ..placement.upstream_reach import UpstreamReach
from ..protocol.codec import MalformedMessageError, decode, encode
from ..protocol.home_feed import Member, ReachQuery, ReachReport
from ..proxy.connection import BrokenResponseError, DeadlineError
from ..proxy.pool import ConnectionPool, NotOpenedError
from ..routes.model import RegisteredUpstream
from .header_names import HeaderNames
from .metrics import EntryMetrics
from .probe_exchange import exchange_probe
from .upstream_connection import MatchingConnection

#: Together shorter than the time for which another member waits for the result.
CONNECT_TIMEOUT_SECONDS = 0.15
RESPONSE_TIMEOUT_SECONDS = 0.1


class ReachCheck:
    """Tries upstreams over new connections, for this instance and for others.

    An upstream counts as reached if it responds, with any status, or keeps the
    connection open without a response: a busy one responds late.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        catalog: Catalog,
        header_names: HeaderNames,
        clock: Clock,
        metrics: EntryMetrics,
        reach: UpstreamReach,
    ) -> None:
        self.pool = pool
        self.catalog = catalog
        self.header_names = header_names
        self.clock = clock
        self.metrics = metrics
        self.reach = reach

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the internal port."""
        return [web.post(REACH_PATH, self._handle)]

    async def reached(self, keys: Iterable[str]) -> frozenset[str]:
        """Try upstreams and return the keys of those that were reached.

        Upstreams that are unknown, leaving, evacuated, rate-limited or in a
        backoff that they asked for are not tried.
        """
        entries = [
            entry
            for entry in map(self.catalog.upstreams.get, keys)
            if entry is not None and self._may_try(entry)
        ]
        results = await asyncio.gather(*map(self._try, entries))
        return frozenset(
            entry.key
            for entry, is_reached in zip(entries, results, strict=True)
            if is_reached
        )

    def find_triable(self) -> tuple[str, ...]:
        """Return the keys of the upstreams that may be tried now."""
        entries = self.catalog.upstreams.values()
        return tuple(entry.key for entry in entries if self._may_try(entry))

    def _may_try(self, entry: RegisteredUpstream) -> bool:
        if entry.failure_domain in self.catalog.evacuated:
            return False
        terms = self.catalog.terms.terms(entry)
        now = self.clock.monotonic().total_seconds()
        return not (
            entry.leaving
            or terms.is_leaving
            or terms.rate_limit is not None
            or now < terms.backoff_until
        )

    async def _try(self, entry: RegisteredUpstream) -> bool:
        is_reached = await self._connects(entry)
        if is_reached:
            self.reach.responded(entry.key, is_new_connection=True)
        else:
            self.reach.failed(entry.key)
        return is_reached

    async def _connects(self, entry: RegisteredUpstream) -> bool:
        try:
            connection = await self.pool.open(
                entry.address, CONNECT_TIMEOUT_SECONDS
            )
        except NotOpenedError:
            return False
        assert isinstance(connection, MatchingConnection)
        self.metrics.probes.inc()
        path = self._health_path(entry.service)
        try:
            await exchange_probe(
                connection,
                entry,
                path,
                self.header_names,
                RESPONSE_TIMEOUT_SECONDS,
            )
        except DeadlineError:
            return True
        except (BrokenResponseError, OSError):
            return False
        finally:
            self.pool.release(entry.address, connection)
        return True

    def _health_path(self, service: str) -> str:
        config = self.catalog.config
        for settings in config.services if config else ():
            if settings.name == service:
                return settings.health_path
        return '/'

    async def _handle(self, request: web.Request) -> web.Response:
        try:
            query = decode(ReachQuery, await request.read())
        except MalformedMessageError as error:
            return web.Response(status=400, text=str(error))
        reached = await self.reached(query.upstreams)
        return web.Response(body=encode(ReachReport(tuple(sorted(reached)))))


class ReachQueries:
    """Asks members, this one included, which upstreams they reach."""

    def __init__(
        self, client: MemberClient, own_name: str, check: ReachCheck
    ) -> None:
        self.client = client
        self.own_name = own_name
        self.check = check

    async def ask(
        self, member: Member, keys: tuple[str, ...]
    ) -> frozenset[str] | None:
        """Return the upstreams that a member reaches, None without response."""
        if member.name == self.own_name:
            return await self.check.reached(keys)
        try:
            report = await self.client.reach(member.internal, ReachQuery(keys))
        except (NotReachableError, MalformedMessageError):
            # A member of an older build does not know the query either.
            return None
        return frozenset(report.reached)
