"""What a configuration daemon serves: the newest document and view it has."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Generic, TypeVar

from ..membership.view import InstanceView
from ..protocol.codec import encode
from ..protocol.document_feed import reply_between
from ..protocol.view_feed import view_between
from .model import Document

# A reader that is further behind receives the whole state.
_KEPT_STATES = 64
_KEPT_BODIES = 16

_State = TypeVar('_State')


class ChangeNotifier:
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


class RecentStates(Generic[_State]):
    """The newest state and a few before it, and the answers for readers.

    The newest is never replaced by one with a lower number. ``describe`` makes
    the message that turns an earlier state into the newest.
    """

    def __init__(
        self,
        empty: _State,
        describe: Callable[[_State, _State], object],
    ) -> None:
        self.empty = empty
        self.describe = describe
        self.newest = empty
        self.number = 0
        self.recent: dict[int, _State] = {0: empty}
        self.bodies: dict[int, bytes] = {}

    def offer(self, number: int, state: _State) -> bool:
        """Take the state if its number is above that of the newest."""
        if number <= self.number:
            return False
        self.newest = state
        self.number = number
        self.recent[number] = state
        if len(self.recent) > _KEPT_STATES:
            self.recent.pop(min(self.recent))
        self.bodies.clear()
        return True

    def body(self, after: int, edits: bool) -> bytes:
        """Return the answer for a reader that has the state ``after``."""
        # A reader that is ahead is told so by an answer without edits.
        base = min(after, self.number) if edits else 0
        if base not in self.recent:
            base = 0
        body = self.bodies.get(base)
        if body is None:
            body = encode(
                self.describe(self.recent.get(base, self.empty), self.newest)
            )
            if len(self.bodies) < _KEPT_BODIES:
                self.bodies[base] = body
        return body


class FeedCache:
    """The newest generation and view, and the polls that wait for a newer."""

    def __init__(self) -> None:
        self.documents = RecentStates(Document(), reply_between)
        self.views = RecentStates(InstanceView(), view_between)
        self.changes = ChangeNotifier()

    @property
    def document(self) -> Document:
        """Return the newest document."""
        return self.documents.newest

    @property
    def view(self) -> InstanceView:
        """Return the newest instance view."""
        return self.views.newest

    def offer_document(self, document: Document) -> None:
        """Serve the document if its generation is above the current one."""
        if self.documents.offer(document.generation, document):
            self.changes.announce()

    def offer_view(self, view: InstanceView) -> None:
        """Serve the view if its version is above the current one."""
        if self.views.offer(view.version, view):
            self.changes.announce()
