"""Cache of the documents and instance views that a daemon serves."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from typing import Generic, TypeVar

from ..membership.view import InstanceView
from ..protocol.codec import encode
from ..protocol.document_feed import reply_between
from ..protocol.view_feed import view_between
from .model import Document

# A client that is more states behind receives the whole state.
_MAX_RECENT_STATES = 64
_MAX_ENCODED_REPLIES = 16

_State = TypeVar('_State')


class ChangeNotifier:
    """Wakes the long polls that wait for a change."""

    def __init__(self) -> None:
        self.event = asyncio.Event()
        self.closed = False

    def notify(self) -> None:
        """Wake every waiter."""
        self.event.set()
        self.event = asyncio.Event()

    def close(self) -> None:
        """Wake every waiter; later waits return at once."""
        self.closed = True
        self.event.set()

    async def wait_until(
        self,
        condition: Callable[[], bool],
        timeout: timedelta,
    ) -> None:
        """Wait until ``condition`` holds, closing or the end of ``timeout``."""
        try:
            async with asyncio.timeout(timeout.total_seconds()):
                while not condition() and not self.closed:
                    await self.event.wait()
        except TimeoutError:
            return


class RecentStates(Generic[_State]):
    """The newest state and a few earlier ones, with the replies for clients.

    A state never replaces one with a higher version. ``make_reply`` returns the
    message that turns its first state into its second.
    """

    def __init__(
        self,
        empty_state: _State,
        make_reply: Callable[[_State, _State], object],
    ) -> None:
        self.empty_state = empty_state
        self.make_reply = make_reply
        self.newest = empty_state
        self.version = 0
        self.recent_states: dict[int, _State] = {0: empty_state}
        self.encoded_replies: dict[int, bytes] = {}

    def offer(self, version: int, state: _State) -> bool:
        """Store the state if it is newer; return whether it was stored."""
        if version <= self.version:
            return False
        self.newest = state
        self.version = version
        self.recent_states[version] = state
        if len(self.recent_states) > _MAX_RECENT_STATES:
            self.recent_states.pop(min(self.recent_states))
        self.encoded_replies.clear()
        return True

    def body(self, after: int, edits: bool) -> bytes:
        """Return the encoded reply for a client that has version ``after``.

        ``edits`` is whether the client accepts the edits since its version;
        else, or if that version is no longer stored, the reply holds the
        whole state.
        """
        # A client with a newer version receives an empty list of edits.
        base = min(after, self.version) if edits else 0
        if base not in self.recent_states:
            base = 0
        body = self.encoded_replies.get(base)
        if body is None:
            body = encode(
                self.make_reply(
                    self.recent_states.get(base, self.empty_state), self.newest
                )
            )
            if len(self.encoded_replies) < _MAX_ENCODED_REPLIES:
                self.encoded_replies[base] = body
        return body


class FeedCache:
    """Recent documents and views; notifies long polls of newer ones."""

    def __init__(self) -> None:
        self.documents = RecentStates(Document(), reply_between)
        self.views = RecentStates(InstanceView(), view_between)
        self.notifier = ChangeNotifier()

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
            self.notifier.notify()

    def offer_view(self, view: InstanceView) -> None:
        """Serve the view if its version is above the current one."""
        if self.views.offer(view.version, view):
            self.notifier.notify()
