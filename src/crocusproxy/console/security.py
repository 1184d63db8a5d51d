"""Checks that precede every page, and headers of every response."""

from collections.abc import Mapping
from urllib.parse import urlsplit

from aiohttp import hdrs, web
from aiohttp.typedefs import Handler

from ..errors import CrocusError, InvalidDocumentError
from ..logs import log
from .console import SESSION, Console, read_post
from .sessions import ForgedRequestError

SIGN_IN = '/sign-in'
_OPEN_PATHS = frozenset(
    (SIGN_IN, '/static/console.css', '/metrics', '/healthz', '/readyz')
)
_FORM_PATHS = frozenset(('/preview', '/edit', '/publish'))
_NOT_KEPT = frozenset(('token', 'form_token', 'seal', 'submission'))
_HEADERS = (
    (
        'Content-Security-Policy',
        "default-src 'none'; style-src 'self'; form-action 'self'; "
        "base-uri 'none'; frame-ancestors 'none'",
    ),
    ('Cache-Control', 'no-store'),
    ('X-Content-Type-Options', 'nosniff'),
    # With no-referrer, browsers send the origin of forms as null.
    ('Referrer-Policy', 'same-origin'),
    ('Cross-Origin-Opener-Policy', 'same-origin'),
)
_FIRST_ERROR = 400
_UNAVAILABLE = 503


class Guard:
    """Middlewares of the console."""

    def __init__(self, console: Console) -> None:
        self.console = console

    @web.middleware
    async def headers(
        self,
        request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        """Add the headers, also to redirects and errors."""
        try:
            response = await handler(request)
        except web.HTTPException as error:
            error.headers.update(_HEADERS)
            raise
        response.headers.update(_HEADERS)
        return response

    @web.middleware
    async def errors(
        self,
        request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        """Show errors as pages."""
        try:
            return await handler(request)
        except web.HTTPException as error:
            if error.status < _FIRST_ERROR:
                raise
            return self._problem(request, error.status, error.reason)
        except CrocusError as error:
            log('console_request_failed', path=request.path, error=str(error))
            return self._problem(request, _status_of(error), _text_of(error))
        except Exception as error:  # noqa: BLE001 - shown as a page
            log('console_failed', path=request.path, error=repr(error))
            reason = 'The console failed; its log has the reason.'
            status = web.HTTPInternalServerError.status_code
            return self._problem(request, status, reason)

    @web.middleware
    async def access(
        self,
        request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        """Let only signed-in operators and their own forms through."""
        session = self.console.find_session(request)
        if session is not None:
            request[SESSION] = session
        if request.method == hdrs.METH_POST:
            check_origin(request)
            if session is not None:
                posted = await read_post(request)
                token = posted.get('form_token', '')
                if request.path != SIGN_IN:
                    self.console.sessions.check_form(session, token)
        if session is None and request.path not in _OPEN_PATHS:
            return await self._signed_out(request)
        return await handler(request)

    async def _signed_out(self, request: web.Request) -> web.StreamResponse:
        if request.method != hdrs.METH_POST:
            raise web.HTTPSeeOther(SIGN_IN)
        # A restart of the console ends sessions; what was typed is kept.
        posted = await read_post(request)
        typed = typed_texts(posted) if request.path in _FORM_PATHS else {}
        return self.console.sign_in_page(
            request,
            web.HTTPForbidden.status_code,
            'Your session has ended, and nothing was changed.',
            typed,
        )

    def _problem(
        self,
        request: web.Request,
        status: int,
        detail: str,
    ) -> web.Response:
        return self.console.page(
            request,
            'problem.html',
            status=status,
            detail=detail,
        )


def check_origin(request: web.Request) -> None:
    """Accept a post only from a page of this console.

    Raises:
        ForgedRequestError: another site sent it, or the origin is missing.
    """
    origin = urlsplit(request.headers.get(hdrs.ORIGIN, ''))
    if origin.scheme in {'http', 'https'} and origin.netloc == request.host:
        return
    raise ForgedRequestError(
        'the form was not sent by a page of this console',
        hint='open the page again and repeat the change',
    )


def typed_texts(posted: Mapping[str, str]) -> Mapping[str, str]:
    """Return what a service's form holds, without tokens and ids."""
    if 'base' not in posted:
        return {}
    return {key: posted[key] for key in posted if key not in _NOT_KEPT}


def _status_of(error: CrocusError) -> int:
    match error:
        case ForgedRequestError():
            return web.HTTPForbidden.status_code
        case InvalidDocumentError():
            return web.HTTPBadRequest.status_code
    return _UNAVAILABLE


def _text_of(error: CrocusError) -> str:
    faults = error.faults if isinstance(error, InvalidDocumentError) else ()
    return '; '.join((str(error), *map(str, faults)))
