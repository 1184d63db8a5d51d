"""Records of connections of callers that ended with requests open."""

from dataclasses import dataclass
from enum import StrEnum

from .caller_request import RequestStage


class EndCause(StrEnum):
    """Who ended a connection."""

    CALLER = 'caller'
    #: The connection was lost, for instance by a reset.
    ERROR = 'error'
    IDLE_TIMEOUT = 'idle_timeout'
    #: The last response closed the connection, other than for a stop.
    RESPONSE = 'response'
    #: The caller acknowledged no bytes for too long.
    SEND_TIMEOUT = 'send_timeout'
    STOP = 'stop'


@dataclass(frozen=True, slots=True)
class OpenRequest:
    """A request without an acknowledged response when its connection ended.

    ``age`` is the seconds since its head arrived, None once its response was
    written.
    """

    request_id: str
    stage: RequestStage
    age: float | None = None


@dataclass(frozen=True, slots=True)
class ConnectionEnd:
    """The end of a connection to ``peer``, with the requests open then.

    ``unacknowledged_bytes`` counts those of responses. ``reason`` is the error,
    or empty.
    """

    peer: str
    cause: EndCause
    reason: str
    unacknowledged_bytes: int
    requests: tuple[OpenRequest, ...]
