"""One request on a connection of a caller."""

import asyncio
from datetime import timedelta
from enum import StrEnum

from aiohttp import StreamReader
from aiohttp.http import RawRequestMessage

from ..http_server.input_limits import BODY_COST, HEAD_COST
from .responses import CallerResponse


class RequestStage(StrEnum):
    """How far a request has come."""

    #: Its head has arrived, and its body may still be arriving.
    READING = 'reading'
    #: It has been read and waits for an upstream.
    QUEUED = 'queued'
    #: It has been sent to another instance, which dispatches it.
    FORWARDED = 'forwarded'
    #: It has been sent to an upstream.
    SENT = 'sent'
    #: It has its response, which the caller has not acknowledged.
    ANSWERED = 'answered'


class CallerRequest:
    """One request of a caller.

    ``received_at`` is the monotonic time at which its head arrived.
    ``earlier_responses_written`` is set once all earlier responses of the
    connection were written; it is None for a request that need not wait for
    them. ``caller_disconnected`` is set if the caller disconnects. This cancels
    the request unless ``is_detached`` is set, as it is while a non-idempotent
    request may be running at an upstream or the home. ``head_bytes`` is the
    length of the head.
    """

    __slots__ = (
        'head_bytes',
        'is_detached',
        'caller_disconnected',
        'message',
        'payload',
        'received_at',
        'request_id',
        'response',
        'stage',
        'task',
        'earlier_responses_written',
    )

    def __init__(
        self,
        message: RawRequestMessage,
        payload: StreamReader,
        request_id: str,
        received_at: timedelta,
        earlier_responses_written: asyncio.Event | None,
        head_bytes: int = 0,
    ) -> None:
        self.message = message
        self.head_bytes = head_bytes
        self.payload = payload
        self.request_id = request_id
        self.received_at = received_at
        self.response: CallerResponse | None = None
        self.task: asyncio.Task[None] | None = None
        self.earlier_responses_written = earlier_responses_written
        self.is_detached = False
        self.caller_disconnected = False
        self.stage = RequestStage.READING

    def input_bytes(self) -> int:
        """Return the memory that the request takes."""
        body_bytes = self.payload.total_bytes
        return HEAD_COST * self.head_bytes + BODY_COST * body_bytes

    def mark_disconnected(self) -> None:
        """Record the disconnect and cancel the request unless detached."""
        self.caller_disconnected = True
        if self.task is not None and not self.is_detached:
            self.task.cancel()


def expects_continue(message: RawRequestMessage) -> bool:
    """Return whether the caller sends the body only after a 100."""
    return message.headers.get('Expect', '').lower() == '100-continue'
