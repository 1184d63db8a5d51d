"""Typed inputs and decisions of the balancer."""

from dataclasses import dataclass
from datetime import timedelta

from ..config.model import Upstream
from ..limits.refusal import Refuse


@dataclass(frozen=True, slots=True)
class RequestInfo:
    """What the choice of an upstream depends on.

    ``fingerprint`` identifies equal requests; empty turns crash suspicion off.
    ``excluded`` holds keys of upstreams that were already tried.
    """

    caller: str = ''
    idempotent: bool = True
    fingerprint: str = ''
    excluded: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True)
class Dispatch:
    """Send the request to ``upstream`` now."""

    upstream: Upstream


@dataclass(frozen=True, slots=True)
class Wait:
    """Hold the request until another one has finished."""


@dataclass(frozen=True, slots=True)
class StuckRequest:
    """A request that is stuck at an upstream which is probably slow.

    A waiting one can be withdrawn and sent elsewhere once the upstream has
    reported that it did not run. A running one can be hedged if it is
    idempotent.
    """

    upstream: Upstream
    ticket: int
    is_running: bool


Choice = Dispatch | Wait | Refuse


@dataclass(frozen=True, slots=True)
class Answered:
    """A complete response arrived ``latency`` after the request was sent."""

    latency: timedelta


@dataclass(frozen=True, slots=True)
class Rejected:
    """The upstream did not run the request; ``retry_after`` is its hint."""

    retry_after: timedelta | None = None


@dataclass(frozen=True, slots=True)
class Failed:
    """No complete response arrived, or the connection was lost."""


@dataclass(frozen=True, slots=True)
class Cancelled:
    """The request was withdrawn by the caller, by a move or by a hedge."""


Result = Answered | Rejected | Failed | Cancelled


@dataclass(frozen=True, slots=True)
class LoadReport:
    """An upstream's own view of its load at monotonic time ``at``."""

    in_flight: int
    slots: int
    queued: int
    at: timedelta
