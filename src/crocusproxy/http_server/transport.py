"""A transport whose close lets the peer receive all that was written."""

import asyncio
from datetime import timedelta
from typing import Any

from .response_delivery import ResponseDelivery
from .socket_queues import unread_bytes

_CHECK_SECONDS = 0.05


class DeliveringTransport:
    """Closes only once the peer has acknowledged all bytes, or is gone.

    Everything but the close is left to ``transport``. The protocol discards
    what arrives once ``is_closing`` is set.
    """

    def __init__(
        self, transport: asyncio.Transport, loop: asyncio.AbstractEventLoop
    ) -> None:
        self.transport = transport
        self.loop = loop
        self.delivery = ResponseDelivery(transport, self._now())
        # They are called for each response, and __getattr__ is slow.
        self.write = transport.write
        self.writelines = transport.writelines

    def __getattr__(self, name: str) -> Any:
        """Return an attribute of the underlying transport."""
        return getattr(self.transport, name)

    def is_closing(self) -> bool:
        """Return whether nothing more can be written."""
        return self.delivery.is_ended or self.transport.is_closing()

    def is_delivered(self) -> bool:
        """Return whether the peer needs nothing more from this process.

        A connection that has ended counts until it is closed.
        """
        if self.transport.is_closing():
            return True
        self.delivery.count(self._now())
        return not (self.delivery.is_ended or self.delivery.outstanding)

    def close(self) -> None:
        """End this direction, and close after the peer's acknowledgement."""
        if self.is_closing():
            return
        now = self._now()
        self.delivery.count(now)
        self.delivery.end(now)
        if not self.transport.is_reading():
            self.transport.resume_reading()
        self._check()

    def is_received(self) -> bool:
        """Return whether the peer has acknowledged everything."""
        self.delivery.count(self._now())
        return not self.delivery.outstanding

    def has_unread_responses(self) -> bool:
        """Return whether the peer still receives; abort if it is gone."""
        now = self._now()
        self.delivery.count(now)
        if self.delivery.is_stalled(now):
            self.transport.abort()
        return self.delivery.outstanding > 0

    def has_unread_input(self) -> bool:
        """Return whether the peer's input waits although it is being read."""
        if self.is_closing() or not self.transport.is_reading():
            return False
        return unread_bytes(self.transport) > 0

    def _check(self) -> None:
        if self.transport.is_closing():
            return
        is_receiving = self.has_unread_responses()
        if not is_receiving and self.delivery.may_close(self._now()):
            self.transport.close()
        else:
            self.loop.call_later(_CHECK_SECONDS, self._check)

    def _now(self) -> timedelta:
        return timedelta(seconds=self.loop.time())
