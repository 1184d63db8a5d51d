"""Keeps a daemon's document and view current, from the platform or peers."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from random import Random

from aiohttp import ClientSession

from ..clock import Clock
from ..errors import PlatformUnavailableError
from ..logs import log
from ..platform_client import PlatformClient
from .distribution_tree import is_reader, poll_addresses
from .feed_cache import FeedCache
from .peers import PeerRotation, Peers
from .reader import ConfigStreamReader
from .settings import ConfigSettings

# Short, so that a reader that is partitioned from the platform falls back to
# its peers within the time in which a change must be in force.
_PLATFORM_WAIT = timedelta(seconds=2)
_RETRY_DELAY = timedelta(milliseconds=500)


class FeedSource:
    """Follows the stream and the instance list, directly or through peers."""

    def __init__(
        self,
        settings: ConfigSettings,
        session: ClientSession,
        feed_cache: FeedCache,
        clock: Clock,
        random: Random,
    ) -> None:
        self.settings = settings
        self.feed_cache = feed_cache
        self.clock = clock
        self.peers = Peers(session, feed_cache, random)
        self.document_rotation = PeerRotation()
        self.view_rotation = PeerRotation()
        self.client = PlatformClient(session, settings.platform.address)
        self.reader = ConfigStreamReader(self.client)
        self.platform_down = False
        self.tasks: tuple[asyncio.Task[None], ...] = ()

    async def start(self) -> None:
        """Start polling; return without waiting for a first document."""
        await self.poll_peers()
        self.tasks = (
            asyncio.create_task(self._run_repeatedly(self.update_document)),
            asyncio.create_task(self._run_repeatedly(self.update_view)),
        )

    async def stop(self) -> None:
        """Stop polling."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def reads_platform(self) -> bool:
        """Return whether this instance is a reader of the platform."""
        identity = self.settings.instance
        return is_reader(
            self.feed_cache.view, identity.name, identity.failure_domain
        )

    def problem(self) -> str:
        """Return the code of the current problem, or an empty string."""
        state = self.reader.state
        if state.unknown_rules:
            return 'config_rules_unknown'
        if self.platform_down:
            return 'platform_unavailable'
        if self.reader.started and not state.has_baseline:
            return 'no_snapshot'
        return ''

    def not_ready_reason(self) -> str:
        """Return the reason code if no document can be served, else ''."""
        if self.feed_cache.document.generation:
            return ''
        return self.problem() or 'no_configuration'

    async def poll_peers(self) -> None:
        """Fetch document and view from a few random peers."""
        await self.peers.poll_sample(self.peer_addresses())

    async def update_document(self) -> None:
        """Poll the platform or a peer once for a newer generation."""
        if self.reader.state.unknown_rules:
            # The last generation stays in force until the program is updated.
            await self.clock.sleep(_PLATFORM_WAIT)
            return
        peers = self.peer_addresses()
        if self.reads_platform() or not peers:
            await self._read_platform(self._platform_wait())
        elif not await self.document_rotation.poll(
            peers, self.peers.fetch_document
        ):
            await self._read_platform(timedelta())

    async def update_view(self) -> None:
        """Poll the platform or a peer once for a newer instance view."""
        peers = self.peer_addresses()
        if self.reads_platform() or not peers:
            await self._read_instances(_PLATFORM_WAIT)
        elif not await self.view_rotation.poll(peers, self.peers.fetch_view):
            await self._read_instances(timedelta())

    def peer_addresses(self) -> tuple[str, ...]:
        """Return the addresses of the daemons to poll, the preferred first."""
        identity = self.settings.instance
        tree_addresses = poll_addresses(
            self.feed_cache.view, identity.name, identity.failure_domain
        )
        return tuple(dict.fromkeys((*tree_addresses, *self.settings.peers)))

    async def _run_repeatedly(
        self, step: Callable[[], Awaitable[None]]
    ) -> None:
        while True:
            try:
                await step()
            except Exception as error:  # noqa: BLE001 - polling continues
                log('config_source_failed', error=repr(error))
                await self.clock.sleep(_RETRY_DELAY)

    def _platform_wait(self) -> timedelta:
        """Return how long to wait for a record; zero after a failure.

        An unresponsive platform is then detected after one timeout.
        """
        platform_responds = self.reader.started and not self.platform_down
        return _PLATFORM_WAIT if platform_responds else timedelta()

    async def _read_platform(self, wait: timedelta) -> None:
        try:
            record_count = await self.reader.poll(wait)
        except PlatformUnavailableError:
            self.platform_down = True
            await self.poll_peers()
            raise
        self.platform_down = False
        self.feed_cache.offer_document(self.reader.state.document)
        if not record_count and not self.reader.state.has_baseline:
            # Peers may serve a document although the stream has no snapshot.
            await self.poll_peers()

    async def _read_instances(self, wait: timedelta) -> None:
        version = self.feed_cache.view.version
        self.feed_cache.offer_view(await self.client.instances(version, wait))
