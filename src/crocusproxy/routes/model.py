"""The configuration of routes, as operators publish it."""

from dataclasses import dataclass, field
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class WeightedService:
    """One part of a traffic split; parts are served by their weights."""

    service: str
    weight: int


@dataclass(frozen=True, slots=True)
class Route:
    """Terms for requests to ``host`` whose path begins with ``prefix``.

    ``timeout`` bounds how long a caller is kept waiting. A response within
    ``target_latency`` is of full use to the caller. A caller's request is sent
    to at most ``attempts`` upstreams. Priority 0 is the most urgent.
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


@dataclass(frozen=True, slots=True)
class ServiceTerms:
    """What all upstreams of a service have in common."""

    name: str
    health_path: str
    max_connections: int


@dataclass(frozen=True, slots=True)
class CallerLimits:
    """Bounds on what a caller may send and how long it may take."""

    header_bytes: int = 16 * 1024
    body_bytes: int = 8 * 1024 * 1024
    header_timeout: timedelta = timedelta(seconds=5)
    idle_timeout: timedelta = timedelta(seconds=75)


@dataclass(frozen=True, slots=True)
class RouteConfig:
    """One version of the configuration; a higher version is newer."""

    version: int
    routes: tuple[Route, ...]
    services: tuple[ServiceTerms, ...]
    limits: CallerLimits = field(default_factory=CallerLimits)


@dataclass(frozen=True, slots=True)
class RegisteredUpstream:
    """One entry of the list of upstreams.

    ``key`` identifies the upstream, ``started_at`` (Unix milliseconds) its
    incarnation. ``sequence`` grows with each report of one incarnation.
    ``warm_up`` is how much longer it is slow after its start.
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
