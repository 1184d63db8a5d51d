"""Records of connections of callers that ended with requests open."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta
from enum import StrEnum

from ..http_server.response_delivery import ResponseDelivery
from .caller_request import CallerRequest, RequestStage


class EndCause(StrEnum):
    """Who ended a connection."""

    CALLER = 'caller'
    #: The connection was lost, for instance by a reset.
    ERROR = 'error'
    IDLE_TIMEOUT = 'idle_timeout'
    #: Callers held too much input that was not served, this one most.
    INPUT = 'input'
    #: Callers had too many connections, and this one was unused.
    LIMIT = 'limit'
    #: Callers read too little of their responses, this one least of all.
    MEMORY = 'memory'
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

    ``unacknowledged_bytes`` counts those of responses, ``discarded_bytes`` the
    input that was not served, as the end was under way, and ``unread_bytes``
    what the kernel held of it when this side ended. ``reason`` is the error, or
    empty.
    """

    peer: str
    cause: EndCause
    reason: str
    unacknowledged_bytes: int
    discarded_bytes: int
    requests: tuple[OpenRequest, ...]
    unread_bytes: int = 0


def open_requests(
    pipeline: Iterable[CallerRequest], now: timedelta
) -> tuple[OpenRequest, ...]:
    """Return how far the requests of a connection have come."""
    return tuple(
        OpenRequest(
            request.request_id,
            request.stage,
            (now - request.received_at).total_seconds(),
        )
        for request in pipeline
    )


def connection_end(
    delivery: ResponseDelivery,
    unanswered: Iterable[OpenRequest],
    cause: EndCause | None,
    error: BaseException | None,
    discarded_bytes: int,
    unread_bytes: int = 0,
) -> ConnectionEnd:
    """Return the end of a connection, with the requests open at it.

    An ``error`` ends the connection whatever its ``cause`` would have been;
    without both, the caller has closed it.
    """
    unacknowledged = tuple(
        OpenRequest(request_id, RequestStage.ANSWERED)
        for request_id in delivery.request_ids()
    )
    peer = delivery.transport.get_extra_info('peername')
    if error is not None:
        cause = EndCause.ERROR
    return ConnectionEnd(
        f'{peer[0]}:{peer[1]}' if peer else '',
        cause or EndCause.CALLER,
        '' if error is None else repr(error),
        delivery.outstanding,
        discarded_bytes,
        (*unacknowledged, *unanswered),
        unread_bytes,
    )
