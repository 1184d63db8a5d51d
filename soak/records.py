"""Requests, arrivals and disturbances recorded during a run."""

from dataclasses import dataclass, field
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
    """A request received by an upstream; ``has_run`` if processing began."""

    request_id: str
    path: str
    service: str
    arrived_at: float
    has_run: bool


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


@dataclass(slots=True)
class RunRecord:
    """The observations of a run against which the invariants are checked."""

    requests: list[SentRequest] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    instance_disturbances: list[InstanceDisturbance] = field(
        default_factory=list
    )
    upstream_disturbances: list[UpstreamDisturbance] = field(
        default_factory=list
    )
    #: Services to which any configuration routed a path, by path.
    allowed_services: dict[str, set[str]] = field(default_factory=dict)
    #: Unexpected exits, forbidden log lines and failed recovery checks.
    violations: list[str] = field(default_factory=list)
