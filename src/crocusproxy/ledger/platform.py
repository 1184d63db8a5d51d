"""Platform interface that the ledger requires."""

from datetime import timedelta
from typing import Any, Protocol

from ..platform_client import Page

STREAM = 'claims'


class LogClient(Protocol):
    """The part of the platform client that the ledger uses."""

    async def append(self, stream: str, data: dict[str, Any]) -> int:
        """Append one record and return its offset."""

    async def read(
        self, stream: str, start: int, wait: timedelta = timedelta()
    ) -> Page:
        """Read records from offset ``start`` on."""
