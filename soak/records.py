"""What callers and upstreams have seen during a run."""

from dataclasses import dataclass, field
from typing import Literal

End = Literal['answered', 'cut', 'left', 'late', 'not_sent']


@dataclass(slots=True)
class Sent:
    """One request as its caller saw it; seconds of the run's clock.

    ``instance`` is the number of the one that it was sent to. ``end`` is
    ``cut`` if the connection ended without a whole response and ``late`` if
    none came although the request's time had passed.
    """

    request_id: str
    path: str
    idempotent: bool
    instance: int
    sent: float
    end: End = 'not_sent'
    ended: float = 0
    status: int = 0
    body: str = ''
    signed: bool = False


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request at an upstream; ``ran`` tells whether work on it began."""

    request_id: str
    path: str
    service: str
    at: float
    ran: bool


@dataclass(frozen=True, slots=True)
class Disturbance:
    """A time in which an instance was killed, stopped or paused."""

    instance: int
    start: float
    end: float
    planned: bool


@dataclass(frozen=True, slots=True)
class Upset:
    """A time in which an upstream or the way to it was harmed."""

    start: float
    end: float


@dataclass(slots=True)
class RunRecord:
    """All that the promises are checked against."""

    sent: list[Sent] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    disturbances: list[Disturbance] = field(default_factory=list)
    upsets: list[Upset] = field(default_factory=list)
    #: Services to which some configuration sent the requests of a path.
    allowed: dict[str, set[str]] = field(default_factory=dict)
    #: What ended or was logged that never should, in words.
    broken: list[str] = field(default_factory=list)
