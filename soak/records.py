"""Requests, arrivals and disturbances recorded during a run."""

from dataclasses import dataclass, field
from math import inf
from typing import Literal

Outcome = Literal['answered', 'cut', 'left', 'late', 'not_sent']


@dataclass(slots=True)
class SentRequest:
    """A request as its caller observed it; times in seconds of the run.

    ``instance`` is the number of the instance that received the request.
    ``outcome`` is ``cut`` if the connection ended without a complete response,
    ``late`` if no response came before the timeout, and ``left`` if the caller
    abandoned the request.
    """

    request_id: str
    path: str
    idempotent: bool
    instance: int
    sent_at: float
    outcome: Outcome = 'not_sent'
    ended_at: float = 0
    status: int = 0
    body: str = ''
    is_signed: bool = False


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request received by an upstream; ``has_run`` if processing began.

    ``upstream`` is the key of the server.
    """

    request_id: str
    path: str
    service: str
    arrived_at: float
    has_run: bool
    upstream: str = ''


@dataclass(frozen=True, slots=True)
class InstanceDisturbance:
    """A period in which an instance was killed, stopped or paused."""

    instance: int
    start: float
    end: float
    is_planned: bool


@dataclass(frozen=True, slots=True)
class UpstreamDisturbance:
    """A period in which an upstream or the link to it was faulty."""

    start: float
    end: float


@dataclass(frozen=True, slots=True)
class ObserverDelay:
    """A period in which the soak's own process did not run its callers."""

    start: float
    end: float


@dataclass(frozen=True, slots=True)
class UpstreamCut:
    """A period in which an instance could not connect to upstreams."""

    instance: int
    start: float
    end: float


@dataclass(slots=True)
class Statement:
    """Terms that a server stated, from ``set_at`` to ``ended_at``.

    ``figure`` is the limit in requests per second, or the backoff in seconds.
    ``told_at`` is the time of the first response with the terms.
    """

    upstream: str
    terms: Literal['limit', 'leave', 'backoff']
    figure: float
    set_at: float
    told_at: float | None = None
    ended_at: float = inf


@dataclass(slots=True)
class RunRecord:
    """The observations of a run against which the invariants are checked."""

    requests: list[SentRequest] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    #: Probes that arrived, by the key of the server.
    probe_times: dict[str, list[float]] = field(default_factory=dict)
    statements: list[Statement] = field(default_factory=list)
    instance_disturbances: list[InstanceDisturbance] = field(
        default_factory=list
    )
    upstream_disturbances: list[UpstreamDisturbance] = field(
        default_factory=list
    )
    upstream_cuts: list[UpstreamCut] = field(default_factory=list)
    observer_delays: list[ObserverDelay] = field(default_factory=list)
    instance_count: int = 2
    #: Services to which any configuration routed a path, by path.
    allowed_services: dict[str, set[str]] = field(default_factory=dict)
    #: Unexpected exits, forbidden log lines and failed recovery checks.
    violations: list[str] = field(default_factory=list)
