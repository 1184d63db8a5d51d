"""Assembles the console daemon."""

from aiohttp import ClientSession, web

from ..application import Application, serve
from ..clock import Clock, SystemClock
from ..config.publisher import Publisher
from ..platform_client import PlatformClient
from ..protocol.feed import FeedClient
from ..protocol.follow import FeedFollower
from .change_publisher import ChangePublisher
from .console import PACKAGE_DIRECTORY, Console
from .publish_pages import PublishPages
from .report_pages import ReportPages
from .security import ConsoleMiddlewares
from .service_pages import ServicePages
from .settings import ConsoleSettings
from .sign_in_pages import SignInPages

_MAX_BODY_BYTES = 1024 * 1024
# An upstream takes four fields; a form over the limit gets status 413.
_MAX_FIELDS = 8000


class ConsoleDaemon:
    """Serves the pages and follows configuration and instances."""

    def __init__(
        self,
        settings: ConsoleSettings,
        clock: Clock | None = None,
    ) -> None:
        self.settings = settings
        self.clock = clock or SystemClock()
        self.application = Application(
            'crocus-console', on_start=[self.start], on_stop=[self.stop]
        )

    async def open(self) -> web.Application:
        """Create the clients and the web application, which does not listen."""
        self.http_session = ClientSession()
        feeds = tuple(
            FeedClient(self.http_session, address)
            for address in self.settings.feeds
        )
        self.follower = FeedFollower(feeds, self.clock)
        client = PlatformClient(
            self.http_session, self.settings.platform.address
        )
        publisher = Publisher(client, self.clock, self.settings.wait)
        self.console = Console(
            self.settings,
            self.clock,
            self.http_session,
            ChangePublisher(publisher),
            self.follower,
        )
        return self._web_application()

    async def start(self) -> None:
        """Follow the feeds and serve.

        The console is ready at once, because the first configuration may be
        published through it.
        """
        web_application = await self.open()
        await self.follower.start()
        listen = self.settings.listen
        self.runner = await serve(web_application, listen.host, listen.port)

    async def stop(self) -> None:
        """Drain requests in flight and close the connections."""
        await self.runner.cleanup()
        await self.follower.stop()
        await self.http_session.close()

    def _web_application(self) -> web.Application:
        console_middlewares = ConsoleMiddlewares(self.console)
        web_application = web.Application(
            middlewares=(
                console_middlewares.headers,
                console_middlewares.errors,
                console_middlewares.access,
            ),
            client_max_size=_MAX_BODY_BYTES,
            client_max_fields=_MAX_FIELDS,
        )
        service_pages = ServicePages(self.console)
        for page_group in (
            service_pages,
            PublishPages(self.console, service_pages),
            ReportPages(self.console),
            SignInPages(self.console, service_pages),
        ):
            web_application.add_routes(page_group.routes())
        web_application.add_routes(self.application.admin_routes())
        web_application.add_routes(
            [web.get('/static/console.css', _serve_stylesheet)]
        )
        return web_application


async def _serve_stylesheet(_: web.Request) -> web.FileResponse:
    return web.FileResponse(PACKAGE_DIRECTORY / 'static' / 'console.css')
