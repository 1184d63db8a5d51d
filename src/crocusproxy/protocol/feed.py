"""Client of the long polls for the configuration and the instance view."""

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
# A poll fails when the daemon sends nothing for this long after the wait, so
# that a frozen daemon does not delay a change.
_READ_GRACE = timedelta(milliseconds=500)
# The transfer of the largest document takes longer than the read grace.
_TRANSFER_TIMEOUT = timedelta(seconds=5)


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
        """Return a document newer than generation ``after``.

        After ``wait``, the daemon returns its newest document in any case.
        With ``current``, the reader's document, the daemon sends only edits
        where possible, and no lower generation is returned.

        Raises:
            NotReachableError: the daemon did not reply with a document.
            RulesUnknownError: the document has newer validation rules.
            MalformedMessageError: the reply has an unexpected form.
        """
        reply = await self.document_reply(
            after, wait, edits=current is not None
        )
        return apply_reply(current or Document(-1), reply)

    async def document_reply(
        self,
        after: int,
        wait: timedelta,
        edits: bool = True,
    ) -> DocumentReply:
        """Return the daemon's reply; with ``edits``, relative to ``after``.

        Raises:
            NotReachableError: the daemon did not reply with a document.
            MalformedMessageError: the reply has an unexpected form.
        """
        body = await self._poll('config', after, wait, edits)
        return decode(DocumentReply, body)

    async def view(
        self,
        after: int,
        wait: timedelta,
        current: InstanceView | None = None,
    ) -> InstanceView:
        """Return a view newer than version ``after``.

        After ``wait``, the daemon returns its newest view in any case.
        With ``current``, the reader's view, the daemon sends only edits where
        possible, and no lower version is returned.

        Raises:
            NotReachableError: the daemon did not reply with a view.
            MalformedMessageError: the reply has an unexpected form.
        """
        reply = await self.view_reply(after, wait, edits=current is not None)
        return apply_view(current or InstanceView(-1), reply)

    async def view_reply(
        self,
        after: int,
        wait: timedelta,
        edits: bool = True,
    ) -> ViewReply:
        """Return the daemon's reply; with ``edits``, relative to ``after``.

        Raises:
            NotReachableError: the daemon did not reply with a view.
            MalformedMessageError: the reply has an unexpected form.
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
            total=(wait + _TRANSFER_TIMEOUT).total_seconds(),
            sock_connect=_READ_GRACE.total_seconds(),
            sock_read=(wait + _READ_GRACE).total_seconds(),
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
