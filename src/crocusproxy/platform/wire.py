"""Decodes the platform's documents into the project's own types.

The private classes mirror the platform's field names.
"""

from datetime import timedelta
from typing import Annotated, Any, Literal

from pydantic import (
    ConfigDict,
    Field,
    StrictInt,
    StrictStr,
    alias_generators,
)
from pydantic.dataclasses import dataclass

from ..protocol.codec import decode
from ..routes.model import (
    CallerLimits,
    RegisteredUpstream,
    Route,
    RouteConfig,
    ServiceSettings,
    WeightedService,
)

_WIRE = ConfigDict(
    alias_generator=alias_generators.to_pascal,
    extra='ignore',
    defer_build=True,
)
_IDEMPOTENT_KIND = 'safe'
_VERSION_RADIX = 16
_ADDRESS = r'^[0-9.]+:[0-9]+$'
_Positive = Annotated[StrictInt, Field(gt=0)]
_NonNegative = Annotated[StrictInt, Field(ge=0)]


@dataclass(frozen=True, slots=True, config=_WIRE)
class _Status:
    state: Literal['ready', 'draining']
    sequence: _NonNegative
    # Remaining time of the server's slow start, not its total duration.
    warmup_remaining_ms: int | float = 0


@dataclass(frozen=True, slots=True, config=_WIRE)
class _ServerInfo:
    service: StrictStr
    # Version of the server's software; a restart changes ``born`` instead.
    version: Any
    zone: StrictStr
    slots: _Positive


@dataclass(frozen=True, slots=True, config=_WIRE)
class _Entry:
    address: Annotated[StrictStr, Field(pattern=_ADDRESS)]
    server_info: _ServerInfo
    status: _Status
    # Start of the server in Unix milliseconds. Lower case on the wire, unlike
    # the other fields.
    born: Annotated[_NonNegative, Field(alias='born')] = 0


@dataclass(frozen=True, slots=True, config=_WIRE)
class _Split:
    service: str
    weight: int


@dataclass(frozen=True, slots=True, config=_WIRE)
class _Route:
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float
    attempts: int = 1
    priority: int = 0
    service: str = ''
    traffic_split: tuple[_Split, ...] = ()


@dataclass(frozen=True, slots=True, config=_WIRE)
class _Service:
    name: str
    health_check_path: str
    # Limit per server for all callers together.
    max_connections: int = 1


@dataclass(frozen=True, slots=True, config=_WIRE)
class _Limits:
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


@dataclass(frozen=True, slots=True, config=_WIRE)
class _Config:
    # Eight hexadecimal digits.
    version: str
    routes: tuple[_Route, ...]
    services: tuple[_Service, ...]
    limits: _Limits


def decode_config(document: bytes) -> RouteConfig:
    """Return the configuration of a published document.

    Raises:
        MalformedMessageError: the document does not have the expected form.
        ValueError: the version is not a hexadecimal number.
    """
    config = decode(_Config, document)
    return RouteConfig(
        int(config.version, _VERSION_RADIX),
        tuple(_to_route(route) for route in config.routes),
        tuple(
            ServiceSettings(
                service.name, service.health_check_path, service.max_connections
            )
            for service in config.services
        ),
        CallerLimits(
            config.limits.max_header_bytes,
            config.limits.max_body_bytes,
            timedelta(milliseconds=config.limits.header_timeout_ms),
            timedelta(milliseconds=config.limits.idle_timeout_ms),
        ),
    )


def decode_upstream(key: str, document: bytes) -> RegisteredUpstream:
    """Return the upstream that an entry of the store describes.

    Raises:
        MalformedMessageError: the entry does not have the expected form.
    """
    entry = decode(_Entry, document)
    return RegisteredUpstream(
        key=key,
        service=entry.server_info.service,
        address=entry.address,
        failure_domain=entry.server_info.zone,
        slots=entry.server_info.slots,
        leaving=entry.status.state == 'draining',
        started_at=entry.born,
        sequence=entry.status.sequence,
        warm_up=timedelta(milliseconds=entry.status.warmup_remaining_ms),
    )


def _to_route(route: _Route) -> Route:
    weighted_services = tuple(
        WeightedService(split.service, split.weight)
        for split in route.traffic_split
    )
    return Route(
        route.name,
        route.host,
        route.path_prefix,
        # Requests of an unknown kind are never retried.
        idempotent=route.kind == _IDEMPOTENT_KIND,
        timeout=timedelta(milliseconds=route.timeout_ms),
        target_latency=timedelta(milliseconds=route.target_latency_ms),
        attempts=route.attempts,
        priority=route.priority,
        parts=weighted_services or (WeightedService(route.service, 1),),
    )
