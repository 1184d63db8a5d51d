"""HTTP client of the platform on which the instances run.

The platform provides a log service, which stores records in append-only
streams, and the list of instances.
"""

from dataclasses import dataclass
from datetime import datetime, timedelta
from typing import Annotated, Any

from aiohttp import (
    ClientConnectorError,
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
)
from pydantic import BeforeValidator

from .errors import (
    REJECTED_APPEND_STATUSES,
    AppendRejectedError,
    AppendUnknownError,
    PlatformUnavailableError,
)
from .membership.view import InstanceView
from .protocol.codec import decode

_OK = 200
# The log service, or a gateway in front of it, may have failed after the write.
_UNCERTAIN_STATUSES = frozenset((500, 502, 504))
PAGE_SIZE = 1000
_POLL_GRACE = timedelta(seconds=5)


def _object_or_empty(raw: Any) -> Any:
    return raw if isinstance(raw, dict) else {}


_RecordData = Annotated[dict[str, Any], BeforeValidator(_object_or_empty)]


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """One record of a stream; ``time`` is from the log service's clock.

    ``data`` is empty for a record that is not a JSON object, so that such a
    record does not make its page unreadable.
    """

    offset: int
    time: datetime
    data: _RecordData


@dataclass(frozen=True, slots=True)
class Page:
    """Consecutive records of a stream.

    ``first`` is the oldest offset of the stream that is retained, ``next`` the
    offset after the last record of the page.
    """

    first: int
    next: int
    records: tuple[StoredRecord, ...]


@dataclass(frozen=True, slots=True)
class _AppendReply:
    offset: int


class PlatformClient:
    """Client of the platform at ``address``, such as ``127.0.0.1:7000``.

    ``timeout`` bounds every request, in addition to the wait of a long poll.
    """

    def __init__(
        self,
        session: ClientSession,
        address: str,
        timeout: timedelta = timedelta(seconds=2),
    ) -> None:
        self.session = session
        self.address = address
        self.timeout = timeout

    async def append(self, stream: str, data: dict[str, Any]) -> int:
        """Append one record and return its offset.

        Raises:
            PlatformUnavailableError: the record was certainly not appended.
            AppendRejectedError: the record was not appended and never will.
            AppendUnknownError: the record may have been appended.
        """
        url = f'http://{self.address}/v1/streams/{stream}/records'
        timeout = ClientTimeout(total=self.timeout.total_seconds())
        try:
            async with self.session.post(
                url, json={'data': data}, timeout=timeout
            ) as response:
                body = await response.read()
        except ClientConnectorError as error:
            raise PlatformUnavailableError(str(error)) from error
        except (ClientError, TimeoutError) as error:
            raise AppendUnknownError(f'append to {stream}: {error}') from error
        _check_append(stream, response.status)
        return decode(_AppendReply, body).offset

    async def read(
        self,
        stream: str,
        start: int,
        wait: timedelta = timedelta(),
    ) -> Page:
        """Read records from offset ``start``; wait up to ``wait`` for one.

        Raises:
            PlatformUnavailableError: the log service did not respond.
        """
        query = f'from={start}&limit={PAGE_SIZE}&wait_ms={_milliseconds(wait)}'
        body = await self._get(f'/v1/streams/{stream}/records?{query}', wait)
        return decode(Page, body)

    async def instances(
        self,
        after: int = -1,
        wait: timedelta = timedelta(),
    ) -> InstanceView:
        """Return the instance list once its version is above ``after``.

        After ``wait`` the current list is returned, regardless of its version.

        Raises:
            PlatformUnavailableError: the platform did not respond.
        """
        query = f'after={after}&wait_ms={_milliseconds(wait)}'
        return decode(
            InstanceView, await self._get(f'/v1/instances?{query}', wait)
        )

    async def _get(self, path: str, wait: timedelta) -> bytes:
        total = (self.timeout + wait + _POLL_GRACE * bool(wait)).total_seconds()
        try:
            async with self.session.get(
                f'http://{self.address}{path}',
                timeout=ClientTimeout(total=total),
            ) as response:
                return await _read_body(response)
        except (ClientError, TimeoutError) as error:
            raise PlatformUnavailableError(f'{path}: {error}') from error


def _check_append(stream: str, status: int) -> None:
    if status in _UNCERTAIN_STATUSES:
        raise AppendUnknownError(f'append to {stream} ended with {status}')
    if status in REJECTED_APPEND_STATUSES:
        raise AppendRejectedError(
            f'append to {stream} was rejected with {status}',
            hint='find out which entry the log service does not accept',
        )
    if status != _OK:
        raise PlatformUnavailableError(
            f'append to {stream} was refused with {status}'
        )


async def _read_body(response: ClientResponse) -> bytes:
    if response.status != _OK:
        raise PlatformUnavailableError(
            f'{response.url.path} was refused with {response.status}'
        )
    return await response.read()


def _milliseconds(duration: timedelta) -> int:
    return duration // timedelta(milliseconds=1)
