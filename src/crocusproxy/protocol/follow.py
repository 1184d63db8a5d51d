"""Keeps a program's configuration and instance view current."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta

from ..clock import Clock
from ..config.model import Document
from ..errors import CrocusError
from ..logs import log
from ..membership.view import InstanceView
from .feed import FeedClient

# With a frozen daemon, a change arrives after this wait, the client's read
# grace and a retry delay. The sum must stay below 2 s, the longest time
# that a drain notice may take.
_POLL_WAIT = timedelta(seconds=1)
_RETRY_DELAY = timedelta(milliseconds=200)
_MAX_RETRY_DELAY = timedelta(seconds=2)
_MAX_DOUBLINGS = 4

DocumentListener = Callable[[Document], None]
ViewListener = Callable[[InstanceView], None]


class FeedFollower:
    """Follows the feeds of the first configuration daemon that replies.

    ``feeds`` starts with the daemon of the own instance; the others are peers.
    Listeners are called with each newer document or view, never an older one.
    """

    def __init__(self, feeds: tuple[FeedClient, ...], clock: Clock) -> None:
        self.feeds = feeds
        self.clock = clock
        self.document = Document()
        self.view = InstanceView()
        self.on_document: list[DocumentListener] = []
        self.on_view: list[ViewListener] = []
        self.tasks: tuple[asyncio.Task[None], ...] = ()

    async def start(self) -> None:
        """Start polling; return without waiting for a first document."""
        self.tasks = (
            asyncio.create_task(self._poll_repeatedly(self._poll_document)),
            asyncio.create_task(self._poll_repeatedly(self._poll_view)),
        )

    async def stop(self) -> None:
        """Stop polling."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def not_ready_reason(self) -> str:
        """Return the reason code if the program cannot serve yet, or ''."""
        return '' if self.document.generation else 'no_configuration'

    async def _poll_repeatedly(
        self,
        poll: Callable[[FeedClient], Awaitable[None]],
    ) -> None:
        failures = 0
        while True:
            feed = self.feeds[failures % len(self.feeds)]
            try:
                await poll(feed)
            except CrocusError as error:
                self._log_failure(feed, error, failures)
                failures += 1
                await self.clock.sleep(_retry_delay(failures, len(self.feeds)))
            else:
                failures = 0

    def _log_failure(
        self,
        feed: FeedClient,
        error: CrocusError,
        failures: int,
    ) -> None:
        # One line per feed and outage: a long outage would fill the log.
        if failures < len(self.feeds):
            log('feed_unreachable', feed=feed.address, error=str(error))

    async def _poll_document(self, feed: FeedClient) -> None:
        document = await feed.document(
            self.document.generation, _POLL_WAIT, self.document
        )
        if document.generation > self.document.generation:
            self.document = document
            for listener in self.on_document:
                listener(document)

    async def _poll_view(self, feed: FeedClient) -> None:
        view = await feed.view(self.view.version, _POLL_WAIT, self.view)
        if view.version > self.view.version:
            self.view = view
            for listener in self.on_view:
                listener(view)


def _retry_delay(failures: int, feed_count: int) -> timedelta:
    """Return the delay before a retry.

    It is short until each feed has failed once, then doubles up to a limit.
    """
    factor = 1 << min(failures // feed_count, _MAX_DOUBLINGS)
    return min(_RETRY_DELAY * factor, _MAX_RETRY_DELAY)
