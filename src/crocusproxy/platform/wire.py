"""Decodes the platform's documents into the project's own types.

The private classes mirror the platform's field names.
"""

import re
from datetime import timedelta
from functools import lru_cache
from ipaddress import IPv4Address
from typing import Annotated, Literal

from pydantic import (
    AfterValidator,
    ConfigDict,
    Field,
    StrictFloat,
    StrictInt,
    StrictStr,
    alias_generators,
)
from pydantic.dataclasses import dataclass

from ..accounts.keys import key_digest
from ..adapters import adapter_for
from ..protocol.codec import MalformedMessageError, decode
from ..routes.model import (
    CONFIG_SCHEMA,
    CallerLimits,
    ClientAccount,
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
_IDEMPOTENT_KINDS = frozenset(('safe', 'download'))
_VERSION_RADIX = 16
#: Printable ASCII characters without a space at either end.
_HEADER_VALUE = r'^[!-~]([ -~]*[!-~])?$'
#: Keys are sent in a header.
_UPSTREAM_KEY = re.compile('[!-~]+')
_MAX_PORT = 65_535
_MAX_CACHED_ADDRESSES = 16_384
_MAX_ADDRESS_LENGTH = len('255.255.255.255:65535')
_MAX_NAME_LENGTH = 255
#: Larger numbers can't be encoded or converted to a time everywhere, and no
#: server needs them.
_MAX_SLOTS = 1_000_000
_MAX_SEQUENCE = (1 << 63) - 1
_MAX_UNIX_MS = 253_402_300_799_999  # the end of the year 9999
_MAX_WARM_UP_MS = 86_400_000.0  # a day
_Name = Annotated[StrictStr, Field(min_length=1, max_length=_MAX_NAME_LENGTH)]
_Slots = Annotated[StrictInt, Field(gt=0, le=_MAX_SLOTS)]
_Sequence = Annotated[StrictInt, Field(ge=0, le=_MAX_SEQUENCE)]
_UnixMs = Annotated[StrictInt, Field(ge=0, le=_MAX_UNIX_MS)]
_WarmUpMs = Annotated[
    StrictFloat,
    Field(ge=-_MAX_WARM_UP_MS, le=_MAX_WARM_UP_MS, allow_inf_nan=False),
]
_Amount = Annotated[float, Field(ge=0, allow_inf_nan=False)]


@lru_cache(maxsize=_MAX_CACHED_ADDRESSES)
def _check_address(address: str) -> str:
    """Return the address of a server.

    Servers report continually, so the result is cached.

    Raises:
        ValueError: it is not an IPv4 address of a server with a port.
    """
    host, _, port = address.rpartition(':')
    ip_address = IPv4Address(host)
    if ip_address.is_unspecified or ip_address.is_multicast:
        raise ValueError('the address of a server')
    if not _is_port(port):
        raise ValueError(f'a port from 1 to {_MAX_PORT}')
    return address


def _is_port(text: str) -> bool:
    if not text.isascii() or not text.isdecimal():
        return False
    # The length first: very long numbers can't be converted.
    return len(text) <= len(str(_MAX_PORT)) and 0 < int(text) <= _MAX_PORT


@dataclass(frozen=True, slots=True, config=_WIRE)
class _Status:
    state: Literal['ready', 'draining']
    sequence: _Sequence
    # Remaining time of the server's slow start, not its total duration.
    warmup_remaining_ms: _WarmUpMs


@dataclass(frozen=True, slots=True, config=_WIRE)
class _ServerInfo:
    service: _Name
    # Version of the server's software; a restart changes ``born`` instead.
    version: StrictStr
    zone: _Name
    slots: _Slots


@dataclass(frozen=True, slots=True, config=_WIRE)
class _Entry:
    address: Annotated[
        StrictStr,
        Field(max_length=_MAX_ADDRESS_LENGTH),
        AfterValidator(_check_address),
    ]
    server_info: _ServerInfo
    status: _Status
    # Start of the server in Unix milliseconds. Lower case on the wire, unlike
    # the other fields.
    born: Annotated[_UnixMs, Field(alias='born')] = 0


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
    allow_anonymous: bool = False


@dataclass(frozen=True, slots=True, config=_WIRE)
class _Service:
    name: str
    health_check_path: str
    # Limit per server for all callers together.
    max_connections: int = 1
    # Total duration of the warm-up, unlike the field of a server's status.
    warmup_s: _Amount = 0
    # Requests per second that a cold server tolerates; 0 is no limit.
    warmup_per_s: _Amount = 0


@dataclass(frozen=True, slots=True, config=_WIRE)
class _Tenant:
    name: Annotated[StrictStr, Field(pattern=_HEADER_VALUE)]
    api_keys: tuple[StrictStr, ...] = ()
    # Takes precedence over the priority of the route.
    priority: int | None = None
    # Quota of all daemons together; 0 is no limit.
    rate_per_s: _Amount | None = None
    burst: _Amount | None = None


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
    # Without it, requests are not authenticated.
    tenants: tuple[_Tenant, ...] | None = None


def decode_config(document: bytes) -> RouteConfig:
    """Return the configuration of a published document.

    Raises:
        MalformedMessageError: the document does not have the expected form.
        ValueError: the version is not a hexadecimal number, or a duration is
            not a number.
        OverflowError: a duration is too long.
    """
    config = decode(_Config, document)
    return RouteConfig(
        int(config.version, _VERSION_RADIX),
        tuple(_to_route(route) for route in config.routes),
        tuple(_to_service(service) for service in config.services),
        CallerLimits(
            config.limits.max_header_bytes,
            config.limits.max_body_bytes,
            timedelta(milliseconds=config.limits.header_timeout_ms),
            timedelta(milliseconds=config.limits.idle_timeout_ms),
        ),
        _to_accounts(config.tenants),
        CONFIG_SCHEMA,
    )


def validate_config(document: bytes) -> None:
    """Check the form of a published document.

    Raises:
        ValidationError: lists all faults, with their paths in the document.
    """
    adapter_for(_Config).validate_json(document)


def decode_upstream(key: str, document: bytes) -> RegisteredUpstream:
    """Return the upstream that an entry of the store describes.

    Raises:
        MalformedMessageError: the key or the entry does not have the expected
            form.
    """
    if _UPSTREAM_KEY.fullmatch(key) is None:
        raise MalformedMessageError('the key is no printable ASCII text')
    entry = decode(_Entry, document)
    warm_up_ms = max(entry.status.warmup_remaining_ms, 0)
    return RegisteredUpstream(
        key=key,
        service=entry.server_info.service,
        address=entry.address,
        failure_domain=entry.server_info.zone,
        slots=entry.server_info.slots,
        leaving=entry.status.state == 'draining',
        started_at=entry.born,
        sequence=entry.status.sequence,
        warm_up=timedelta(milliseconds=warm_up_ms),
    )


def _to_service(service: _Service) -> ServiceSettings:
    return ServiceSettings(
        service.name,
        service.health_check_path,
        service.max_connections,
        timedelta(seconds=service.warmup_s),
        service.warmup_per_s,
    )


def _to_accounts(
    tenants: tuple[_Tenant, ...] | None,
) -> tuple[ClientAccount, ...] | None:
    if tenants is None:
        return None
    return tuple(
        ClientAccount(
            tenant.name,
            tuple(key_digest(key) for key in tenant.api_keys),
            tenant.priority,
            tenant.rate_per_s or 0,
            tenant.burst or 0,
        )
        for tenant in tenants
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
        idempotent=route.kind in _IDEMPOTENT_KINDS,
        timeout=timedelta(milliseconds=route.timeout_ms),
        target_latency=timedelta(milliseconds=route.target_latency_ms),
        attempts=route.attempts,
        priority=route.priority,
        parts=weighted_services or (WeightedService(route.service, 1),),
        anonymous=route.allow_anonymous,
    )
