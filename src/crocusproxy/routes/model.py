"""Configuration of the routes, as published by operators.

The home feed encodes these classes, so their field names are part of it.
"""

from dataclasses import dataclass, field, replace
from datetime import timedelta

#: Number of the schema by which this build reads the configuration. It grows
#: when a build reads further fields: 1 since client accounts, anonymous routes
#: and the warm-up of services.
CONFIG_SCHEMA = 1


@dataclass(frozen=True, slots=True)
class WeightedService:
    """A service and its weight in a traffic split."""

    service: str
    weight: int


@dataclass(frozen=True, slots=True)
class Route:
    """Settings of requests to ``host`` whose path begins with ``prefix``.

    A caller waits at most ``timeout`` for a response, and a response later
    than ``target_latency`` is worth little to it. A request is sent to at most
    ``attempts`` upstreams. Priority 0 is the most urgent. With ``anonymous``,
    a request needs no API key.
    """

    name: str
    host: str
    prefix: str
    idempotent: bool
    timeout: timedelta
    target_latency: timedelta
    attempts: int
    priority: int
    parts: tuple[WeightedService, ...]
    anonymous: bool = False


@dataclass(frozen=True, slots=True)
class ServiceSettings:
    """Settings common to all upstreams of a service.

    An upstream is cold for ``warm_up`` after it has started, and tolerates
    ``warm_up_rate`` requests per second meanwhile; 0 is no limit.
    """

    name: str
    health_path: str
    max_connections: int
    warm_up: timedelta = timedelta()
    warm_up_rate: float = 0


@dataclass(frozen=True, slots=True)
class ClientAccount:
    """An account whose callers authenticate with API keys.

    ``key_digests`` holds the digests of its keys, so that the keys themselves
    stay out of feeds and logs. Without ``priority``, that of the route holds.
    The quota of all instances together is ``rate`` requests per second and
    bursts of ``burst`` requests; a rate of 0 is no limit.
    """

    name: str
    key_digests: tuple[str, ...]
    priority: int | None = None
    rate: float = 0
    burst: float = 0


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on the size and duration of a caller's requests."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 8 * 1024 * 1024
    header_timeout: timedelta = timedelta(seconds=5)
    idle_timeout: timedelta = timedelta(seconds=75)


@dataclass(frozen=True, slots=True)
class RouteConfig:
    """One version of the configuration; a higher version is newer.

    Without ``accounts``, requests are not authenticated. ``schema`` is that of
    the oldest build that has passed on the configuration, as each build drops
    the fields that it does not know. Builds before client accounts state none.
    """

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceSettings, ...]
    limits: CallerLimits = field(default_factory=CallerLimits)
    accounts: tuple[ClientAccount, ...] | None = None
    schema: int = 0

    @property
    def is_complete(self) -> bool:
        """Whether no field that this build knows has been dropped."""
        return self.schema >= CONFIG_SCHEMA

    def with_known_schema(self) -> 'RouteConfig':
        """Return the configuration as this build passes it on."""
        return replace(self, schema=min(self.schema, CONFIG_SCHEMA))

    def fill_from(self, previous: 'RouteConfig | None') -> 'RouteConfig':
        """Return the configuration with the latest known dropped fields.

        Routes and services take them from those with the same name. All fields
        newer than schema 0 are replaced; extend this by schema when
        ``CONFIG_SCHEMA`` grows.
        """
        if previous is None or self.is_complete:
            return self
        routes = {route.name: route for route in previous.routes}
        services = {service.name: service for service in previous.services}
        return replace(
            self,
            accounts=previous.accounts,
            routes=tuple(
                replace(route, anonymous=routes[route.name].anonymous)
                if route.name in routes
                else route
                for route in self.routes
            ),
            services=tuple(
                replace(
                    service,
                    warm_up=services[service.name].warm_up,
                    warm_up_rate=services[service.name].warm_up_rate,
                )
                if service.name in services
                else service
                for service in self.services
            ),
        )


@dataclass(frozen=True, slots=True)
class RegisteredUpstream:
    """One entry of the list of upstreams.

    ``key`` identifies the upstream, ``started_at`` (Unix milliseconds) its
    incarnation. ``sequence`` grows with each report of one incarnation.
    ``warm_up`` is the remaining time until the upstream has its usual speed.
    """

    key: str
    service: str
    address: str
    failure_domain: str
    slots: int
    leaving: bool
    started_at: int
    sequence: int
    warm_up: timedelta = timedelta()
