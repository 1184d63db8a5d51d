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

# Bounds, with the grace of the feed client, how long a frozen daemon can hold
# back a change before a peer is asked.
_WAIT = timedelta(seconds=2)
_RETRY_DELAY = timedelta(milliseconds=200)

DocumentListener = Callable[[Document], None]
ViewListener = Callable[[InstanceView], None]


class FeedFollower:
    """Follows the feeds of the first configuration daemon that answers.

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
        """Start to follow; return without waiting for a first document."""
        self.tasks = (
            asyncio.create_task(self._follow(self._poll_document)),
            asyncio.create_task(self._follow(self._poll_view)),
        )

    async def stop(self) -> None:
        """Stop to follow."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def not_ready_reason(self) -> str:
        """Return why the program cannot serve yet; empty when it can."""
        return '' if self.document.generation else 'no_configuration'

    async def _follow(
        self,
        poll: Callable[[FeedClient], Awaitable[None]],
    ) -> None:
        turn = 0
        while True:
            feed = self.feeds[turn % len(self.feeds)]
            try:
                await poll(feed)
            except CrocusError as error:
                log('feed_unreachable', feed=feed.address, error=str(error))
                turn += 1
                await self.clock.sleep(_RETRY_DELAY)
            else:
                turn = 0

    async def _poll_document(self, feed: FeedClient) -> None:
        document = await feed.document(
            self.document.generation, _WAIT, self.document
        )
        if document.generation > self.document.generation:
            self.document = document
            for listener in self.on_document:
                listener(document)

    async def _poll_view(self, feed: FeedClient) -> None:
        view = await feed.view(self.view.version, _WAIT, self.view)
        if view.version > self.view.version:
            self.view = view
            for listener in self.on_view:
                listener(view)
