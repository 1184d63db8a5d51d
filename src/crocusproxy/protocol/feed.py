"""The long polls by which programs follow configuration and instances."""

from dataclasses import dataclass
from datetime import timedelta

from aiohttp import ClientError, ClientSession, ClientTimeout

from ..config.model import Document
from ..errors import NotReachableError
from ..membership.view import InstanceView
from .codec import decode
from .document_feed import DocumentReply, apply_reply
from .view_feed import ViewReply, apply_view

_OK = 200
# A daemon that sends nothing for this long after its wait is given up, so that
# a frozen one does not hold back a change.
_GRACE = timedelta(milliseconds=500)
# A whole document of the largest size takes longer than the grace.
_TRANSFER = timedelta(seconds=5)


@dataclass(frozen=True, slots=True)
class FeedClient:
    """Reads the feeds of the configuration daemon at ``address``."""

    session: ClientSession
    address: str

    async def document(
        self,
        after: int,
        wait: timedelta,
        current: Document | None = None,
    ) -> Document:
        """Return a document above generation ``after``, or the current one.

        If the reader passes the document that it has, only edits are sent
        where possible, and a lower generation is never returned.

        Raises:
            NotReachableError: the daemon did not answer with a document.
            RulesUnknownError: the document was made under newer rules.
            MalformedMessageError: the answer has another form.
        """
        reply = await self.reply(after, wait, edits=current is not None)
        return apply_reply(current or Document(-1), reply)

    async def reply(
        self,
        after: int,
        wait: timedelta,
        edits: bool = True,
    ) -> DocumentReply:
        """Return the daemon's answer; with ``edits``, relative to ``after``.

        Raises:
            NotReachableError: the daemon did not answer with a document.
            MalformedMessageError: the answer has another form.
        """
        body = await self._poll('config', after, wait, edits)
        return decode(DocumentReply, body)

    async def view(
        self,
        after: int,
        wait: timedelta,
        current: InstanceView | None = None,
    ) -> InstanceView:
        """Return an instance view above version ``after``, or the current one.

        If the reader passes the view that it has, only edits are sent where
        possible, and a lower version is never returned.

        Raises:
            NotReachableError: the daemon did not answer with a view.
            MalformedMessageError: the answer has another form.
        """
        reply = await self.view_reply(after, wait, edits=current is not None)
        return apply_view(current or InstanceView(-1), reply)

    async def view_reply(
        self,
        after: int,
        wait: timedelta,
        edits: bool = True,
    ) -> ViewReply:
        """Return the daemon's answer; with ``edits``, relative to ``after``.

        Raises:
            NotReachableError: the daemon did not answer with a view.
            MalformedMessageError: the answer has another form.
        """
        return decode(ViewReply, await self._poll('view', after, wait, edits))

    async def _poll(
        self,
        feed: str,
        after: int,
        wait: timedelta,
        edits: bool,
    ) -> bytes:
        milliseconds = wait // timedelta(milliseconds=1)
        url = f'http://{self.address}/v1/{feed}'
        query = {'after': str(after), 'wait_ms': str(milliseconds)}
        if edits:
            query['edits'] = '1'
        timeout = ClientTimeout(
            total=(wait + _TRANSFER).total_seconds(),
            sock_connect=_GRACE.total_seconds(),
            sock_read=(wait + _GRACE).total_seconds(),
        )
        try:
            async with self.session.get(
                url, params=query, timeout=timeout
            ) as response:
                if response.status != _OK:
                    raise NotReachableError(f'{url}: {response.status}')
                return await response.read()
        except (ClientError, TimeoutError) as error:
            raise NotReachableError(f'{url}: {error}') from error
