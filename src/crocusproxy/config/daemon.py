"""The configuration daemon and its metrics."""

from random import Random

from aiohttp import ClientSession, web
from prometheus_client import REGISTRY, CollectorRegistry, Gauge

from ..application import Application, serve
from ..clock import Clock, SystemClock
from .feed_cache import FeedCache
from .server import FeedServer
from .settings import ConfigSettings
from .snapshot_writer import SnapshotWriter
from .source import FeedSource


class ConfigDaemon:
    """Follows the configuration and serves it; owns the HTTP session."""

    def __init__(
        self,
        settings: ConfigSettings,
        clock: Clock | None = None,
        random: Random | None = None,
        registry: CollectorRegistry = REGISTRY,
    ) -> None:
        self.settings = settings
        self.clock = clock or SystemClock()
        self.random = random or Random(settings.instance.name)
        self.feed_cache = FeedCache()
        self.application = Application(
            'crocus-config',
            on_start=[self.start],
            on_drain=[self.drain],
            on_stop=[self.stop],
        )
        _add_gauges(registry, self.feed_cache)

    async def start(self) -> None:
        """Start the HTTP server, the feed source and the snapshot writer."""
        self.session = ClientSession()
        self.source = FeedSource(
            self.settings,
            self.session,
            self.feed_cache,
            self.clock,
            self.random,
        )
        self.writer = SnapshotWriter(
            self.source.reader,
            self.clock,
            self.random,
            self.settings.platform.retention,
            self.source.reads_platform,
        )
        self.application.readiness.append(self.source.not_ready_reason)
        handler = web.Application()
        handler.add_routes(self.application.admin_routes())
        handler.add_routes(FeedServer(self.feed_cache, self.source).routes())
        listen = self.settings.listen
        self.runner = await serve(handler, listen.host, listen.port)
        await self.source.start()
        await self.writer.start()

    async def drain(self) -> None:
        """End all long polls."""
        self.feed_cache.notifier.close()

    async def stop(self) -> None:
        """Stop the snapshot writer, the feed source and the HTTP server."""
        await self.writer.stop()
        await self.source.stop()
        await self.runner.cleanup()
        await self.session.close()


def _add_gauges(registry: CollectorRegistry, feed_cache: FeedCache) -> None:
    generation = Gauge(
        'crocus_config_generation',
        'Generation of the configuration that is served.',
        registry=registry,
    )
    generation.set_function(lambda: feed_cache.document.generation)
    version = Gauge(
        'crocus_config_view_version',
        'Version of the instance view that is served.',
        registry=registry,
    )
    version.set_function(lambda: feed_cache.view.version)
