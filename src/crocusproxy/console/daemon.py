"""The console daemon, assembled from its parts."""

from aiohttp import ClientSession, web

from ..application import Application, serve
from ..clock import Clock, SystemClock
from ..config.publisher import Publisher
from ..platform_client import PlatformClient
from ..protocol.feed import FeedClient
from ..protocol.follow import FeedFollower
from .console import FOLDER, Console
from .desk import ChangeDesk
from .publish_pages import PublishPages
from .report_pages import ReportPages
from .security import Guard
from .service_pages import ServicePages
from .settings import ConsoleSettings
from .sign_in_pages import SignInPages

_MAX_BODY_BYTES = 1024 * 1024
# Four for each upstream of a service; one over the limit is refused whole.
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
        """Open the connections and return the pages, without a port."""
        self.session = ClientSession()
        feeds = tuple(
            FeedClient(self.session, one) for one in self.settings.feeds
        )
        self.follower = FeedFollower(feeds, self.clock)
        client = PlatformClient(self.session, self.settings.platform.address)
        publisher = Publisher(client, self.clock, self.settings.wait)
        self.console = Console(
            self.settings,
            self.clock,
            self.session,
            ChangeDesk(publisher),
            self.follower,
        )
        return self._pages()

    async def start(self) -> None:
        """Follow the feeds and serve.

        The console is ready at once, because the first configuration may be
        published with it.
        """
        handler = await self.open()
        await self.follower.start()
        listen = self.settings.listen
        self.runner = await serve(handler, listen.host, listen.port)

    async def stop(self) -> None:
        """Finish the requests in progress and close the connections."""
        await self.runner.cleanup()
        await self.follower.stop()
        await self.session.close()

    def _pages(self) -> web.Application:
        guard = Guard(self.console)
        pages = web.Application(
            middlewares=(guard.headers, guard.errors, guard.access),
            client_max_size=_MAX_BODY_BYTES,
            client_max_fields=_MAX_FIELDS,
        )
        services = ServicePages(self.console)
        for part in (
            services,
            PublishPages(self.console, services),
            ReportPages(self.console),
            SignInPages(self.console, services),
        ):
            pages.add_routes(part.routes())
        pages.add_routes(self.application.admin_routes())
        pages.add_routes([web.get('/static/console.css', _style)])
        return pages


async def _style(_: web.Request) -> web.FileResponse:
    return web.FileResponse(FOLDER / 'static' / 'console.css')
