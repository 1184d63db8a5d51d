"""The program ``crocus-locator``."""

from dataclasses import dataclass, field

import fire
from aiohttp import ClientSession, web

from ..application import Application, serve
from ..clock import SystemClock
from ..logs import start_logging
from ..protocol.feed import FeedClient
from ..protocol.follow import FeedFollower
from ..settings import load_or_exit
from .addresses import AddressResolver
from .server import locator_application
from .settings import LocatorSettings


@dataclass(slots=True)
class LocatorDaemon:
    """Connects the address resolver with its feeds and its HTTP server."""

    settings: LocatorSettings
    application: Application = field(
        default_factory=lambda: Application('crocus-locator')
    )
    resolver: AddressResolver = field(init=False)
    session: ClientSession = field(init=False)
    follower: FeedFollower = field(init=False)
    runner: web.AppRunner = field(init=False)

    def prepare(self) -> Application:
        """Register the life-cycle hooks and return the application."""
        domains = self.settings.domains()
        self.resolver = AddressResolver(domains, self.settings.locate_validity)
        self.application.readiness.append(self.resolver.not_ready_reason)
        self.application.on_start.extend(
            (self.start_following, self.start_listening)
        )
        self.application.on_stop.extend(
            (self.stop_following, self.stop_listening)
        )
        return self.application

    async def start_following(self) -> None:
        """Start to follow the feeds of configuration and instances."""
        self.session = ClientSession()
        feeds = tuple(
            FeedClient(self.session, address) for address in self.settings.feeds
        )
        self.follower = FeedFollower(feeds, SystemClock())
        self.follower.on_document.append(self.resolver.apply_document)
        self.follower.on_view.append(self.resolver.apply_view)
        await self.follower.start()

    async def start_listening(self) -> None:
        """Start the HTTP server."""
        admin_routes = self.application.admin_routes()
        http_application = locator_application(self.resolver, admin_routes)
        listen = self.settings.listen
        self.runner = await serve(http_application, listen.host, listen.port)

    async def stop_listening(self) -> None:
        """Finish the requests in flight and accept no more."""
        await self.runner.cleanup()

    async def stop_following(self) -> None:
        """Stop following the feeds; responses no longer change."""
        await self.follower.stop()
        await self.session.close()


def run(settings: str) -> None:
    """Run the locator with the settings file at the path ``settings``."""
    checked = load_or_exit(LocatorSettings, settings)
    start_logging('crocus-locator', checked.instance.name)
    LocatorDaemon(checked).prepare().run()


def main() -> None:
    """Run the command line."""
    fire.Fire(run)
