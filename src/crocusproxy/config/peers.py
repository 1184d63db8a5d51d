"""Long polls of other configuration daemons (peers)."""

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

# Bounds how long a frozen peer can delay a change.
_POLL_WAIT = timedelta(seconds=1)
# About a minute of polls with ``_POLL_WAIT``. If the preferred peer is frozen,
# each return to it costs a timeout.
_POLLS_BEFORE_RETURN = 60
# Peers that one call of poll_sample polls.
_SAMPLE_SIZE = 3

# Polls an address; the result is false if the peer is behind.
Poll = Callable[[str, timedelta], Awaitable[bool]]


class PeerRotation:
    """Keeps polling a working peer; periodically retries the preferred one.

    The preferred peer is the first of the list.
    """

    def __init__(self) -> None:
        self.current_peer = ''
        self.poll_count = 0
        self.consecutive_failures = 0

    async def poll(self, peers: tuple[str, ...], poll: Poll) -> bool:
        """Poll one peer; return false once every peer has failed in turn.

        A peer whose state is older than the local one counts as failed.
        """
        if (
            self.current_peer not in peers
            or self.poll_count >= _POLLS_BEFORE_RETURN
        ):
            self.current_peer = peers[0]
            self.poll_count = 0
        self.poll_count += 1
        if await _poll_or_log(poll, self.current_peer, _POLL_WAIT):
            self.consecutive_failures = 0
            return True
        self.consecutive_failures += 1
        next_index = (peers.index(self.current_peer) + 1) % len(peers)
        self.current_peer = peers[next_index]
        return bool(self.consecutive_failures % len(peers))


class Peers:
    """Fetches documents and views from other configuration daemons."""

    def __init__(
        self,
        session: ClientSession,
        feed_cache: FeedCache,
        random: Random,
    ) -> None:
        self.session = session
        self.feed_cache = feed_cache
        self.random = random

    async def fetch_document(self, address: str, wait: timedelta) -> bool:
        """Fetch a peer's document into the cache if it is newer.

        Return false if the peer is behind.

        Raises:
            CrocusError: the peer did not reply with a document.
        """
        current = self.feed_cache.document
        feed = FeedClient(self.session, address)
        reply = await feed.document_reply(current.generation, wait)
        self.feed_cache.offer_document(apply_reply(current, reply))
        return reply.generation >= current.generation

    async def fetch_view(self, address: str, wait: timedelta) -> bool:
        """Fetch a peer's view into the cache if it is newer.

        Return false if the peer is behind.

        Raises:
            CrocusError: the peer did not reply with a view.
        """
        current = self.feed_cache.view
        feed = FeedClient(self.session, address)
        reply = await feed.view_reply(current.version, wait)
        self.feed_cache.offer_view(apply_view(current, reply))
        return reply.version >= current.version

    async def poll_sample(self, peers: tuple[str, ...]) -> None:
        """Fetch document and view of a few random peers, without long polls."""
        count = min(_SAMPLE_SIZE, len(peers))
        for address in self.random.sample(peers, count):
            if await _poll_or_log(self.fetch_document, address, timedelta()):
                await _poll_or_log(self.fetch_view, address, timedelta())


async def _poll_or_log(poll: Poll, address: str, wait: timedelta) -> bool:
    try:
        return await poll(address, wait)
    except CrocusError as error:
        log('peer_unreachable', peer=address, error=str(error))
    return False
