"""Client of the other members' internal ports."""

from collections.abc import AsyncGenerator, Awaitable
from contextlib import aclosing

from aiohttp import (
    ClientError,
    ClientResponse,
    ClientSession,
    ClientTimeout,
    StreamReader,
)

from ..bounded_read import read_bounded
from ..errors import NotReachableError
from ..event_loop.peer_timeout import PeerTimeout
from ..protocol.codec import decode, encode
from ..protocol.home_feed import (
    CrashReport,
    Departure,
    FeedMessage,
    Member,
    MemberView,
    ReachQuery,
    ReachReport,
)
from ..protocol.quotas import QuotaReport
from .feed_lines import MAX_LINE_BYTES, decode_line
from .feed_server import DEPARTURE_PATH, FEED_PATH, LIST_PATH, VIEW_PATH

CRASH_PATH = '/members/crash'
TERMS_PATH = '/members/terms'
QUOTA_PATH = '/members/quota'
REACH_PATH = '/members/reach'
_OK = 200
_NOT_FOUND = 404
REQUEST_TIMEOUT_SECONDS = 0.35
#: A feed that sends nothing for longer is treated as lost.
FEED_TIMEOUT_SECONDS = 0.7
#: A connection opens in the kernel, also while this process pauses.
_FEED_TIMEOUT = ClientTimeout(sock_connect=REQUEST_TIMEOUT_SECONDS)


class UnknownMessageError(NotReachableError):
    """The member's build has no endpoint for a message.

    This is no sign of a failure. Callers that do not distinguish builds treat
    it as no response.
    """

    code = 'message_unknown'


class MemberClient:
    """Calls the endpoints of other members.

    Each call raises NotReachableError if the member does not respond in time,
    UnknownMessageError if its build does not know the path, and
    MalformedMessageError if the response is malformed.
    """

    def __init__(self, session: ClientSession) -> None:
        self.session = session

    async def view(
        self, address: str, own: Member, *, may_wait: bool = False
    ) -> MemberView:
        """Return a member's view, and make ``own`` known to it.

        With ``may_wait``, a member without a home waits briefly for one.
        """
        path = f'{VIEW_PATH}?wait' if may_wait else VIEW_PATH
        body = await self._call('POST', address, path, encode(own))
        return decode(MemberView, body)

    async def members(self, address: str) -> tuple[Member, ...]:
        """Return the members that the instance at ``address`` knows."""
        body = await self._call('GET', address, LIST_PATH)
        return decode(FeedMessage, body).members

    async def report_departure(
        self, address: str, departure: Departure
    ) -> None:
        """Tell the home at ``address`` that a member leaves."""
        await self._call('POST', address, DEPARTURE_PATH, encode(departure))

    async def report_crash(self, address: str, report: CrashReport) -> None:
        """Send a report to the home at ``address``."""
        await self._call('POST', address, CRASH_PATH, encode(report))

    async def report_terms(self, address: str, message: FeedMessage) -> None:
        """Send the terms of upstreams to the home at ``address``."""
        await self._call('POST', address, TERMS_PATH, encode(message))

    async def report_quotas(
        self, address: str, report: QuotaReport
    ) -> QuotaReport:
        """Exchange reports with the domain home at ``address``."""
        body = await self._call('POST', address, QUOTA_PATH, encode(report))
        return decode(QuotaReport, body)

    async def reach(self, address: str, query: ReachQuery) -> ReachReport:
        """Return which upstreams the member at ``address`` can reach."""
        body = await self._call('POST', address, REACH_PATH, encode(query))
        return decode(ReachReport, body)

    async def feed(
        self, member: Member, own: Member
    ) -> AsyncGenerator[FeedMessage, None]:
        """Yield the messages of a member's feed; none if it declines."""
        opening = self.session.post(
            f'http://{member.internal}{FEED_PATH}?compressed',
            data=encode(own),
            timeout=_FEED_TIMEOUT,
        )
        try:
            async with aclosing(_lines(opening)) as lines:
                async for line in lines:
                    yield decode_line(line)
        except (ClientError, OSError, TimeoutError) as error:
            raise NotReachableError(f'{member.name}: {error!r}') from error

    async def _call(
        self, method: str, address: str, path: str, body: bytes = b''
    ) -> bytes:
        try:
            async with (
                PeerTimeout(REQUEST_TIMEOUT_SECONDS),
                self.session.request(
                    method, f'http://{address}{path}', data=body
                ) as response,
            ):
                content = await read_bounded(response)
        except (ClientError, OSError, TimeoutError) as error:
            raise NotReachableError(f'{address}: {error!r}') from error
        if response.status == _NOT_FOUND:
            raise UnknownMessageError(f'{address} does not know {path}')
        return content


async def _lines(
    opening: Awaitable[ClientResponse],
) -> AsyncGenerator[bytes, None]:
    """Yield the lines of a feed; none if the member declines.

    Raises:
        NotReachableError: a line is too long.
        TimeoutError: the feed is silent.
    """
    async with PeerTimeout(FEED_TIMEOUT_SECONDS):
        response = await opening
    async with response, aclosing(_split_lines(response.content)) as lines:
        if response.status != _OK:
            return
        async for line in lines:
            yield line


async def _split_lines(content: StreamReader) -> AsyncGenerator[bytes, None]:
    """Yield lines, each without its end."""
    parts: list[bytes] = []
    size = 0
    while received := await _receive(content):
        first, *others = received.split(b'\n')
        parts.append(first)
        size += len(first)
        for part in others:
            yield b''.join(parts)
            parts = [part]
            size = len(part)
        if size > MAX_LINE_BYTES:
            raise NotReachableError(
                f'over {MAX_LINE_BYTES} bytes in a line',
                code='response_too_large',
            )
    if size:
        yield b''.join(parts)


async def _receive(content: StreamReader) -> bytes:
    async with PeerTimeout(FEED_TIMEOUT_SECONDS):
        return await content.readany()
