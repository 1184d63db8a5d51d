"""Inputs, decisions and request results of the balancer."""

from dataclasses import dataclass
from datetime import timedelta

from ..config.model import Upstream
from ..limits.refusal import Refuse


@dataclass(frozen=True, slots=True)
class RequestInfo:
    """Properties of a request that the choice of an upstream depends on.

    ``fingerprint`` identifies equal requests; if empty, the request is never a
    crash suspect. ``excluded`` holds the keys of upstreams already tried.
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
    """Queue the request until another one has finished."""


@dataclass(frozen=True, slots=True)
class StuckRequest:
    """A request that is stuck at an upstream which is probably slow.

    A queued request can be withdrawn and sent to another upstream once the
    first has reported that it did not run. A running one can be hedged if it
    is idempotent.
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
    """The upstream did not run the request and may suggest ``retry_after``."""

    retry_after: timedelta | None = None


@dataclass(frozen=True, slots=True)
class Failed:
    """No complete response arrived, or the connection was lost."""


@dataclass(frozen=True, slots=True)
class Cancelled:
    """The request was withdrawn.

    Its caller cancelled it, it was moved to another upstream, or another
    attempt (a hedge) was faster.
    """


Result = Answered | Rejected | Failed | Cancelled


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that an upstream reported, as of monotonic time ``at``."""

    in_flight: int
    slots: int
    queued: int
    at: timedelta
