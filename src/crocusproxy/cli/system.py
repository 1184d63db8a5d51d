"""Client of the running system, and the settings to reach it."""

import asyncio
from collections.abc import AsyncIterator, Iterable
from contextlib import asynccontextmanager
from dataclasses import replace
from datetime import timedelta
from pathlib import Path

from aiohttp import ClientError, ClientSession, ClientTimeout
from pydantic.dataclasses import dataclass

from ..clock import SystemClock
from ..config.model import Document
from ..config.publisher import Publisher
from ..config.validation import is_address
from ..documents import read_document
from ..durations import Duration
from ..membership.view import InstanceView
from ..platform_client import PlatformClient
from ..protocol.feed import FeedClient
from ..settings import STRICT
from .exits import WrongInputError

_OK = 200
_MAX_CONCURRENT_REQUESTS = 32
_REQUEST_TIMEOUT = ClientTimeout(total=2)


@dataclass(frozen=True, slots=True, config=STRICT)
class ToolSettings:
    """Addresses of a configuration daemon and of the platform.

    ``wait`` is the timeout for the verdict on a submission.
    """

    config: str = ''
    platform: str = ''
    wait: Duration = timedelta(seconds=10)


def read_tool_settings(path: str, config: str, platform: str) -> ToolSettings:
    """Read the settings file, if any; flags take precedence over it.

    Raises:
        InvalidDocumentError: the file cannot be read or is not valid.
        WrongInputError: an address does not have the form IP:port.
    """
    settings = (
        read_document(ToolSettings, Path(path)) if path else ToolSettings()
    )
    settings = replace(
        settings,
        config=config or settings.config,
        platform=platform or settings.platform,
    )
    for address in (settings.config, settings.platform):
        if address and not is_address(address):
            raise WrongInputError(
                f'address {address} does not have the form IP:port'
            )
    return settings


class SystemClient:
    """Reads from the configuration daemon if one is set, else the platform."""

    def __init__(self, settings: ToolSettings, session: ClientSession) -> None:
        self.settings = settings
        self.session = session

    def platform_client(self) -> PlatformClient:
        """Return a client of the platform.

        Raises:
            WrongInputError: no address of the platform is set.
        """
        if not self.settings.platform:
            raise WrongInputError(
                'the address of the platform is not set',
                hint='add --platform IP:port or --settings FILE',
            )
        return PlatformClient(self.session, self.settings.platform)

    def publisher(self) -> Publisher:
        """Return a publisher with its own reader of the stream."""
        return Publisher(
            self.platform_client(), SystemClock(), self.settings.wait
        )

    async def document(self) -> Document:
        """Return the newest available configuration document."""
        if self.settings.config:
            # -1 and no wait request the daemon's newest document.
            return await self.feed_client().document(-1, timedelta())
        return await self.publisher().current_document()

    async def view(self) -> InstanceView:
        """Return the newest available instance view."""
        if self.settings.config:
            # -1 and no wait request the daemon's newest view.
            return await self.feed_client().view(-1, timedelta())
        return await self.platform_client().instances()

    def feed_client(self) -> FeedClient:
        """Return a client of the configuration daemon."""
        return FeedClient(self.session, self.settings.config)

    async def fetch_all(self, urls: Iterable[str]) -> list[bytes | None]:
        """Fetch URLs concurrently; None for each without a 200 response."""
        semaphore = asyncio.Semaphore(_MAX_CONCURRENT_REQUESTS)
        return await asyncio.gather(
            *(self._fetch(url, semaphore) for url in urls)
        )

    async def _fetch(
        self, url: str, semaphore: asyncio.Semaphore
    ) -> bytes | None:
        async with semaphore:
            try:
                async with self.session.get(
                    url, timeout=_REQUEST_TIMEOUT
                ) as response:
                    body = await response.read()
            except (ClientError, TimeoutError):
                return None
            return body if response.status == _OK else None


@asynccontextmanager
async def connect(settings: ToolSettings) -> AsyncIterator[SystemClient]:
    """Open the HTTP session of one command."""
    async with ClientSession() as session:
        yield SystemClient(settings, session)
