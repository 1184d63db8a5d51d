"""State and helpers that all pages of the console share."""

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
from .change_publisher import ChangePublisher, PreviewedChange
from .sessions import ForgedRequestError, Session, SessionStore
from .settings import ConsoleSettings

#: Submissions shown by the history page.
MAX_SHOWN_SUBMISSIONS = 200
PACKAGE_DIRECTORY = Path(__file__).parent
SESSION_KEY = web.RequestKey('session', Session)
_FORM_CONTENT_TYPE = 'application/x-www-form-urlencoded'


@dataclass(frozen=True, slots=True)
class LatestDocument:
    """The newest available document; ``problem`` is set if it may be stale."""

    document: Document
    problem: str = ''


class Console:
    """State that all pages share."""

    def __init__(
        self,
        settings: ConsoleSettings,
        clock: Clock,
        http_session: ClientSession,
        change_publisher: ChangePublisher,
        follower: FeedFollower,
    ) -> None:
        self.settings = settings
        self.clock = clock
        self.http_session = http_session
        self.change_publisher = change_publisher
        self.follower = follower
        self.sessions = SessionStore(settings.operators, clock)
        self.submission_log = SubmissionLog(
            change_publisher.publisher.reader, MAX_SHOWN_SUBMISSIONS
        )
        self.templates = Environment(
            loader=FileSystemLoader(PACKAGE_DIRECTORY / 'templates'),
            autoescape=True,
            undefined=StrictUndefined,
            trim_blocks=True,
        )

    @property
    def cookie_name(self) -> str:
        """Return the cookie's name; the prefix binds it to this host."""
        prefix = '__Host-' if self.settings.secure_cookies else ''
        return f'{prefix}crocus-console'

    def find_session(self, request: web.Request) -> Session | None:
        """Return the session that the request belongs to."""
        return self.sessions.find(request.cookies.get(self.cookie_name, ''))

    async def latest_document(self) -> LatestDocument:
        """Return the newest document of the stream.

        If the stream cannot be read, return the newest document that the
        configuration daemons have sent.
        """
        try:
            return LatestDocument(
                await self.change_publisher.current_document()
            )
        except CrocusError as error:
            return LatestDocument(self.follower.document, str(error))

    def page(
        self,
        request: web.Request,
        template: str,
        *,
        status: int = web.HTTPOk.status_code,
        **context: Any,
    ) -> web.Response:
        """Render a template as a response."""
        text = self.templates.get_template(template).render(
            session=request.get(SESSION_KEY), **context
        )
        return web.Response(text=text, status=status, content_type='text/html')

    def sign_in_page(
        self,
        request: web.Request,
        status: int,
        error_message: str = '',
        saved_inputs: Mapping[str, str] | None = None,
    ) -> web.Response:
        """Render the sign-in form; ``saved_inputs`` is a form to resume."""
        return self.page(
            request,
            'sign_in.html',
            status=status,
            error_message=error_message,
            saved_inputs=saved_inputs or {},
        )


async def read_post(request: web.Request) -> Mapping[str, str]:
    """Return the fields of a posted form.

    Raises:
        HTTPUnsupportedMediaType: the body is not a form.
        HTTPRequestEntityTooLarge: the body is over the limit.
        HTTPBadRequest: the body cannot be decoded.
    """
    if request.content_type != _FORM_CONTENT_TYPE:
        raise web.HTTPUnsupportedMediaType
    try:
        posted = await request.post()
    except (ValueError, LookupError) as error:
        raise web.HTTPBadRequest from error
    return {key: str(text) for key, text in posted.items()}


def sign_change(session: Session, change: PreviewedChange) -> str:
    """Return the HMAC of a previewed change.

    It prevents the publishing of hidden fields that differ from the preview:
    browsers may restore older values when a page is reloaded.
    """
    key = session.form_token.encode()
    return hmac.new(key, encode(change), hashlib.sha256).hexdigest()


def verify_signature(
    session: Session, change: PreviewedChange, signature: str
) -> None:
    """Verify that a change was previewed in this session.

    Raises:
        ForgedRequestError: the change differs from the previewed one.
    """
    expected = sign_change(session, change)
    if not hmac.compare_digest(expected.encode(), signature.encode()):
        raise ForgedRequestError(
            'the change differs from the previewed one',
            hint='preview the change again',
        )


def faults_by_path(
    faults: tuple[Fault, ...],
) -> Mapping[str, tuple[Fault, ...]]:
    """Group faults by the path of their field."""
    paths = {fault.path for fault in faults}
    return {
        path: tuple(fault for fault in faults if fault.path == path)
        for path in paths
    }


def hidden_field_error(
    path: str, expected: str, found: str
) -> InvalidDocumentError:
    """Return the error for a hidden field with a value that no page sends."""
    fault = Fault(path, expected, repr(found[:20]), 'value_error')
    return InvalidDocumentError('form', (fault,))
