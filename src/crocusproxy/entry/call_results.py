"""How the send of one request to one place can result."""

from dataclasses import dataclass
from datetime import timedelta

from .responses import CallerResponse


@dataclass(frozen=True, slots=True)
class Responded:
    """The upstream's own response; ``failed`` if it reports a failure."""

    response: CallerResponse
    failed: bool


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not run; ``reached`` tells if the upstream said so."""

    reason: str
    reached: bool
    retry_after: timedelta | None = None
    misdirected: bool = False


@dataclass(frozen=True, slots=True)
class ResponseLost:
    """The request was sent and may have run; no usable response came."""

    reason: str
    timed_out: bool = False


CallResult = Responded | NotRun | ResponseLost


def outcome_of(result: CallResult) -> str:
    """Return the outcome of a call as logs and metrics name it."""
    match result:
        case Responded(failed=failed):
            return 'failed' if failed else 'answered'
        case NotRun():
            return 'not_run'
        case ResponseLost():
            return 'unknown'
