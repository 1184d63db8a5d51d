"""What a configuration daemon serves: the newest document and view it has."""

import asyncio
from collections.abc import Callable
from datetime import timedelta

from ..membership.view import InstanceView
from ..protocol.codec import encode
from ..protocol.document_feed import reply_between
from .model import Document

# A reader that is further behind receives the whole document.
_KEPT_DOCUMENTS = 64
_KEPT_BODIES = 16
_EMPTY = Document()


class Changes:
    """Wakes the long polls that wait for the next change."""

    def __init__(self) -> None:
        self.event = asyncio.Event()
        self.closed = False

    def announce(self) -> None:
        """Wake every waiter."""
        self.event.set()
        self.event = asyncio.Event()

    def close(self) -> None:
        """Wake every waiter and let none wait again."""
        self.closed = True
        self.event.set()

    async def wait_until(
        self,
        reached: Callable[[], bool],
        limit: timedelta,
    ) -> None:
        """Return once ``reached``, after ``limit``, or when closed."""
        try:
            async with asyncio.timeout(limit.total_seconds()):
                while not reached() and not self.closed:
                    await self.event.wait()
        except TimeoutError:
            return


class Served:
    """The newest generation and view; neither is ever replaced by a lower."""

    def __init__(self) -> None:
        self.document = _EMPTY
        self.view = InstanceView()
        self.view_body = encode(self.view)
        self.changes = Changes()
        self.recent: dict[int, Document] = {0: _EMPTY}
        self.bodies: dict[int, bytes] = {}

    def offer_document(self, document: Document) -> bool:
        """Serve the document if its generation is above the current one."""
        if document.generation <= self.document.generation:
            return False
        self.document = document
        self.recent[document.generation] = document
        if len(self.recent) > _KEPT_DOCUMENTS:
            self.recent.pop(min(self.recent))
        self.bodies.clear()
        self.changes.announce()
        return True

    def offer_view(self, view: InstanceView) -> bool:
        """Serve the view if its version is above the current one."""
        if view.version <= self.view.version:
            return False
        self.view = view
        self.view_body = encode(view)
        self.changes.announce()
        return True

    def document_body(self, after: int, edits: bool) -> bytes:
        """Return the answer for a reader that has generation ``after``."""
        base = self._base(after) if edits else _EMPTY
        body = self.bodies.get(base.generation)
        if body is None:
            body = encode(reply_between(base, self.document))
            if len(self.bodies) < _KEPT_BODIES:
                self.bodies[base.generation] = body
        return body

    def _base(self, after: int) -> Document:
        """Return the document to which the edits of an answer relate."""
        if after >= self.document.generation:
            return self.document
        return self.recent.get(after, _EMPTY)
