"""Access to the running system for one command."""

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
_CONCURRENT_READS = 32
_READ_TIMEOUT = ClientTimeout(total=2)


@dataclass(frozen=True, slots=True, config=STRICT)
class ToolSettings:
    """Addresses of a configuration daemon and of the platform.

    ``wait`` bounds the wait for the verdict on a publication.
    """

    config: str = ''
    platform: str = ''
    wait: Duration = timedelta(seconds=10)


def tool_settings(path: str, config: str, platform: str) -> ToolSettings:
    """Read the settings file, if any; addresses given as flags win.

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
            raise WrongInputError(f'{address} is not IP:port')
    return settings


class System:
    """Reads from the configuration daemon, or else from the platform."""

    def __init__(self, settings: ToolSettings, session: ClientSession) -> None:
        self.settings = settings
        self.session = session

    def client(self) -> PlatformClient:
        """Return a client of the platform.

        Raises:
            WrongInputError: no address was given.
        """
        if not self.settings.platform:
            raise WrongInputError(
                'the address of the platform is needed',
                hint='add --platform IP:port, or --settings FILE',
            )
        return PlatformClient(self.session, self.settings.platform)

    def publisher(self) -> Publisher:
        """Return a publisher with its own reader of the stream."""
        return Publisher(self.client(), SystemClock(), self.settings.wait)

    async def document(self) -> Document:
        """Return the newest generation that can be found."""
        if self.settings.config:
            return await self.feed().document(-1, timedelta())
        return await self.publisher().current_document()

    async def view(self) -> InstanceView:
        """Return the newest instance view that can be found."""
        if self.settings.config:
            return await self.feed().view(-1, timedelta())
        return await self.client().instances()

    def feed(self) -> FeedClient:
        """Return a client of the configuration daemon."""
        return FeedClient(self.session, self.settings.config)

    async def read_all(self, urls: Iterable[str]) -> list[bytes | None]:
        """Read many URLs; None for each that did not answer."""
        limit = asyncio.Semaphore(_CONCURRENT_READS)
        return await asyncio.gather(*(self._read(url, limit) for url in urls))

    async def _read(self, url: str, limit: asyncio.Semaphore) -> bytes | None:
        async with limit:
            try:
                async with self.session.get(
                    url, timeout=_READ_TIMEOUT
                ) as response:
                    body = await response.read()
            except (ClientError, TimeoutError):
                return None
            return body if response.status == _OK else None


@asynccontextmanager
async def connect(settings: ToolSettings) -> AsyncIterator[System]:
    """Open the connections of one command."""
    async with ClientSession() as session:
        yield System(settings, session)
