"""Long polls of peers, one after the other until one is current."""

from collections.abc import Awaitable, Callable
from datetime import timedelta
from random import Random

from aiohttp import ClientSession

from ..errors import CrocusError
from ..logs import log
from ..protocol.document_feed import apply_reply
from ..protocol.feed import FeedClient
from ..protocol.view_feed import apply_view
from .feed_cache import FeedCache

# Bounds how long a frozen peer can hold back a change.
_POLL_WAIT = timedelta(seconds=1)
# About a minute. A frozen peer costs a timeout each time that it is tried.
_POLLS_BEFORE_RETURN = 60
# Peers asked in one round when the platform does not answer.
_ASKED_AT_ONCE = 3

Poll = Callable[[str, timedelta], Awaitable[bool]]


class PeerRotation:
    """Stays with a peer that answers, and now and then tries the preferred."""

    def __init__(self) -> None:
        self.current = ''
        self.polls = 0
        self.failures = 0

    async def poll(self, peers: tuple[str, ...], poll: Poll) -> bool:
        """Poll one peer; return false once every peer has failed in turn.

        A peer that answers with less than is known here counts as failed.
        """
        if self.current not in peers or self.polls >= _POLLS_BEFORE_RETURN:
            self.current = peers[0]
            self.polls = 0
        self.polls += 1
        if await _succeeds(poll, self.current, _POLL_WAIT):
            self.failures = 0
            return True
        self.failures += 1
        following = (peers.index(self.current) + 1) % len(peers)
        self.current = peers[following]
        return bool(self.failures % len(peers))


class Peers:
    """Takes documents and views from other configuration daemons."""

    def __init__(
        self,
        session: ClientSession,
        feed_cache: FeedCache,
        random: Random,
    ) -> None:
        self.session = session
        self.feed_cache = feed_cache
        self.random = random

    async def document(self, address: str, wait: timedelta) -> bool:
        """Take a peer's document; return false if the peer is behind.

        Raises:
            CrocusError: the peer did not answer with a document.
        """
        current = self.feed_cache.document
        feed = FeedClient(self.session, address)
        reply = await feed.reply(current.generation, wait)
        self.feed_cache.offer_document(apply_reply(current, reply))
        return reply.generation >= current.generation

    async def view(self, address: str, wait: timedelta) -> bool:
        """Take a peer's view; return false if the peer is behind.

        Raises:
            CrocusError: the peer did not answer with a view.
        """
        current = self.feed_cache.view
        feed = FeedClient(self.session, address)
        reply = await feed.view_reply(current.version, wait)
        self.feed_cache.offer_view(apply_view(current, reply))
        return reply.version >= current.version

    async def ask_some(self, peers: tuple[str, ...]) -> None:
        """Take the newest generation and view of a few peers, at once."""
        count = min(_ASKED_AT_ONCE, len(peers))
        for address in self.random.sample(peers, count):
            if await _succeeds(self.document, address, timedelta()):
                await _succeeds(self.view, address, timedelta())


async def _succeeds(poll: Poll, address: str, wait: timedelta) -> bool:
    try:
        return await poll(address, wait)
    except CrocusError as error:
        log('peer_unreachable', peer=address, error=str(error))
    return False
