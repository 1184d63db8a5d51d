"""Possible results of sending one request to one upstream or to the home."""

from dataclasses import dataclass

from .responses import CallerResponse


@dataclass(frozen=True, slots=True)
class Responded:
    """The upstream's own response; ``is_failure`` for a 5xx status."""

    response: CallerResponse
    is_failure: bool


@dataclass(frozen=True, slots=True)
class NotRun:
    """The request did not run.

    ``reported_by_upstream`` is set if the upstream itself reported that.
    ``is_misdirected`` is set if another server responded at the upstream's
    address.
    """

    reason: str
    reported_by_upstream: bool
    is_misdirected: bool = False


@dataclass(frozen=True, slots=True)
class ResponseLost:
    """The request was sent and may have run; no usable response arrived."""

    reason: str
    is_timeout: bool = False


@dataclass(frozen=True, slots=True)
class Superseded:
    """The request was cancelled, as another attempt has responded."""

    reason: str = 'another attempt has responded'


CallResult = Responded | NotRun | ResponseLost


def more_informative(
    previous: CallResult | None, latest: CallResult
) -> CallResult:
    """Return the latest result; a NotRun never replaces an earlier result."""
    if isinstance(latest, NotRun) and previous is not None:
        return previous
    return latest


def outcome_of(result: CallResult | Superseded) -> str:
    """Return the outcome label of a call for logs and metrics."""
    match result:
        case Responded(is_failure=is_failure):
            return 'failed' if is_failure else 'answered'
        case NotRun():
            return 'not_run'
        case ResponseLost():
            return 'unknown'
        case Superseded():
            return 'cancelled'
