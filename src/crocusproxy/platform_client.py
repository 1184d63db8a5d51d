"""HTTP client of the platform's log service and instance list."""

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

from .errors import AppendUnknownError, PlatformUnavailableError
from .membership.view import InstanceView
from .protocol.codec import decode

_OK = 200
# The service, or a gateway before it, may have failed after the write.
_UNCERTAIN = frozenset((500, 502, 504))
READ_LIMIT = 1000
_POLL_GRACE = timedelta(seconds=5)


def _object_or_empty(raw: Any) -> Any:
    return raw if isinstance(raw, dict) else {}


_Data = Annotated[dict[str, Any], BeforeValidator(_object_or_empty)]


@dataclass(frozen=True, slots=True)
class StoredRecord:
    """One record of a stream; ``time`` is the log service's clock.

    ``data`` is empty for a record that is not an object, so that one such
    record does not hide the others of its page.
    """

    offset: int
    time: datetime
    data: _Data


@dataclass(frozen=True, slots=True)
class Page:
    """A run of records. ``first`` is the oldest offset that is still kept."""

    first: int
    next: int
    records: tuple[StoredRecord, ...]


@dataclass(frozen=True, slots=True)
class _Appended:
    offset: int


class PlatformClient:
    """Talks to the platform at ``address``, such as ``127.0.0.1:7000``.

    ``timeout`` bounds every call, in addition to the time a read may wait.
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
        return decode(_Appended, body).offset

    async def read(
        self,
        stream: str,
        start: int,
        wait: timedelta = timedelta(),
    ) -> Page:
        """Read records from ``start`` on; wait up to ``wait`` for the first.

        Raises:
            PlatformUnavailableError: the log service did not answer.
        """
        query = f'from={start}&limit={READ_LIMIT}&wait_ms={_milliseconds(wait)}'
        body = await self._get(f'/v1/streams/{stream}/records?{query}', wait)
        return decode(Page, body)

    async def instances(
        self,
        after: int = -1,
        wait: timedelta = timedelta(),
    ) -> InstanceView:
        """Return the instance list once its version is above ``after``.

        After ``wait`` the current list is returned whatever its version.

        Raises:
            PlatformUnavailableError: the instance list did not answer.
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
                return await _body(response)
        except (ClientError, TimeoutError) as error:
            raise PlatformUnavailableError(f'{path}: {error}') from error


def _check_append(stream: str, status: int) -> None:
    if status in _UNCERTAIN:
        raise AppendUnknownError(f'append to {stream} ended with {status}')
    if status != _OK:
        raise PlatformUnavailableError(
            f'append to {stream} was refused with {status}'
        )


async def _body(response: ClientResponse) -> bytes:
    if response.status != _OK:
        raise PlatformUnavailableError(
            f'{response.url.path} was refused with {response.status}'
        )
    return await response.read()


def _milliseconds(duration: timedelta) -> int:
    return duration // timedelta(milliseconds=1)
