"""The parts that the pages of one console share."""

import hashlib
import hmac
from collections.abc import Mapping
from dataclasses import dataclass
from pathlib import Path
from typing import Any

from aiohttp import ClientSession, web
from jinja2 import Environment, FileSystemLoader, StrictUndefined

from ..clock import Clock
from ..config.history import SubmissionLog
from ..config.model import Document
from ..errors import CrocusError, Fault, InvalidDocumentError
from ..protocol.codec import encode
from ..protocol.follow import FeedFollower
from .desk import ChangeDesk, PreviewedChange
from .sessions import ForgedRequestError, Session, SessionStore
from .settings import ConsoleSettings

#: Submissions shown by the history page.
KEPT_SUBMISSIONS = 200
FOLDER = Path(__file__).parent
SESSION = web.RequestKey('session', Session)
_FORM = 'application/x-www-form-urlencoded'


@dataclass(frozen=True, slots=True)
class KnownDocument:
    """The newest document that can be found; ``problem`` if it may be old."""

    document: Document
    problem: str = ''


class Console:
    """Sessions, changes and what is known of the running system."""

    def __init__(
        self,
        settings: ConsoleSettings,
        clock: Clock,
        session: ClientSession,
        desk: ChangeDesk,
        follower: FeedFollower,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.session = session
        self.desk = desk
        self.follower = follower
        self.sessions = SessionStore(settings.operators, clock)
        self.log = SubmissionLog(desk.publisher.reader, KEPT_SUBMISSIONS)
        self.templates = Environment(
            loader=FileSystemLoader(FOLDER / 'templates'),
            autoescape=True,
            undefined=StrictUndefined,
            trim_blocks=True,
        )

    @property
    def cookie(self) -> str:
        """Return the cookie's name; the prefix binds it to this host."""
        prefix = '__Host-' if self.settings.secure_cookies else ''
        return f'{prefix}crocus-console'

    def find_session(self, request: web.Request) -> Session | None:
        """Return the session that the request belongs to."""
        return self.sessions.find(request.cookies.get(self.cookie, ''))

    async def known_document(self) -> KnownDocument:
        """Read the stream, or fall back to what the feeds have."""
        try:
            return KnownDocument(await self.desk.current())
        except CrocusError as error:
            return KnownDocument(self.follower.document, str(error))

    def page(
        self,
        request: web.Request,
        template: str,
        *,
        status: int = web.HTTPOk.status_code,
        **context: Any,
    ) -> web.Response:
        """Fill a template."""
        text = self.templates.get_template(template).render(
            session=request.get(SESSION), **context
        )
        return web.Response(text=text, status=status, content_type='text/html')

    def sign_in_page(
        self,
        request: web.Request,
        status: int,
        fault: str = '',
        typed: Mapping[str, str] | None = None,
    ) -> web.Response:
        """Ask for a token; ``typed`` is a form to go on with afterwards."""
        return self.page(
            request,
            'sign_in.html',
            status=status,
            fault=fault,
            typed=typed or {},
        )


async def read_post(request: web.Request) -> Mapping[str, str]:
    """Return the texts of a posted form.

    Raises:
        HTTPUnsupportedMediaType: the body is not a form.
        HTTPRequestEntityTooLarge: the body is over the limit.
        HTTPBadRequest: the body cannot be decoded.
    """
    if request.content_type != _FORM:
        raise web.HTTPUnsupportedMediaType
    try:
        posted = await request.post()
    except (ValueError, LookupError) as error:
        raise web.HTTPBadRequest from error
    return {key: str(text) for key, text in posted.items()}


def seal(session: Session, change: PreviewedChange) -> str:
    """Authenticate a previewed change, so that nothing else is published.

    Browsers may refill hidden fields of a page that is loaded again.
    """
    key = session.form_token.encode()
    return hmac.new(key, encode(change), hashlib.sha256).hexdigest()


def check_seal(session: Session, change: PreviewedChange, found: str) -> None:
    """Accept only a change that was previewed in this session.

    Raises:
        ForgedRequestError: the change differs from the previewed one.
    """
    expected = seal(session, change)
    if not hmac.compare_digest(expected.encode(), found.encode()):
        raise ForgedRequestError(
            'the change is not the one that was previewed',
            hint='preview the change again',
        )


def faults_by_path(
    faults: tuple[Fault, ...],
) -> Mapping[str, tuple[Fault, ...]]:
    """Group faults by the field that they belong to."""
    paths = {fault.path for fault in faults}
    return {
        path: tuple(fault for fault in faults if fault.path == path)
        for path in paths
    }


def wrong_form(path: str, expected: str, found: str) -> InvalidDocumentError:
    """Return the error for a hidden field that no page has sent."""
    fault = Fault(path, expected, repr(found[:20]), 'value_error')
    return InvalidDocumentError('form', (fault,))
