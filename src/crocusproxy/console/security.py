"""Middlewares: sessions, cross-site request checks, error pages, headers."""

from collections.abc import Mapping
from urllib.parse import urlsplit

from aiohttp import hdrs, web
from aiohttp.typedefs import Handler

from ..errors import CrocusError, InvalidDocumentError
from ..logs import log
from .console import SESSION_KEY, Console, read_post
from .sessions import ForgedRequestError

SIGN_IN_PATH = '/sign-in'
_PUBLIC_PATHS = frozenset(
    (SIGN_IN_PATH, '/static/console.css', '/metrics', '/healthz', '/readyz')
)
_RESUMABLE_FORM_PATHS = frozenset(('/preview', '/edit', '/publish'))
_UNSAVED_INPUTS = frozenset(
    ('token', 'operator', 'form_token', 'seal', 'submission')
)
_SECURITY_HEADERS = (
    (
        'Content-Security-Policy',
        "default-src 'none'; style-src 'self'; form-action 'self'; "
        "base-uri 'none'; frame-ancestors 'none'",
    ),
    ('Cache-Control', 'no-store'),
    ('X-Content-Type-Options', 'nosniff'),
    # With no-referrer, browsers send forms with Origin: null.
    ('Referrer-Policy', 'same-origin'),
    ('Cross-Origin-Opener-Policy', 'same-origin'),
)
_MIN_ERROR_STATUS = 400
_UNAVAILABLE = 503


class ConsoleMiddlewares:
    """Middlewares of the web application of the console."""

    def __init__(self, console: Console) -> None:
        self.console = console

    @web.middleware
    async def headers(
        self,
        request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        """Add the security headers, also to redirects and errors."""
        try:
            response = await handler(request)
        except web.HTTPException as error:
            error.headers.update(_SECURITY_HEADERS)
            raise
        response.headers.update(_SECURITY_HEADERS)
        return response

    @web.middleware
    async def errors(
        self,
        request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        """Render errors as pages."""
        try:
            return await handler(request)
        except web.HTTPException as error:
            if error.status < _MIN_ERROR_STATUS:
                raise
            return self._problem_page(request, error.status, error.reason)
        except CrocusError as error:
            log('console_request_failed', path=request.path, error=str(error))
            return self._problem_page(
                request, _error_status(error), _error_text(error)
            )
        except Exception as error:  # noqa: BLE001 - shown as a page
            log('console_failed', path=request.path, error=repr(error))
            reason = 'Internal error; the log of the console has the reason.'
            status = web.HTTPInternalServerError.status_code
            return self._problem_page(request, status, reason)

    @web.middleware
    async def access(
        self,
        request: web.Request,
        handler: Handler,
    ) -> web.StreamResponse:
        """Require a session, and for a POST its origin and form token."""
        session = self.console.find_session(request)
        if session is not None:
            request[SESSION_KEY] = session
        if request.method == hdrs.METH_POST:
            check_origin(request)
            if session is not None:
                posted = await read_post(request)
                token = posted.get('form_token', '')
                if request.path != SIGN_IN_PATH:
                    self.console.sessions.check_form_token(session, token)
        if session is None and request.path not in _PUBLIC_PATHS:
            return await self._require_sign_in(request)
        return await handler(request)

    async def _require_sign_in(
        self, request: web.Request
    ) -> web.StreamResponse:
        if request.method != hdrs.METH_POST:
            raise web.HTTPSeeOther(SIGN_IN_PATH)
        # A restart of the console ends sessions; the typed form is kept.
        posted = await read_post(request)
        saved_inputs = (
            inputs_to_save(posted)
            if request.path in _RESUMABLE_FORM_PATHS
            else {}
        )
        return self.console.sign_in_page(
            request,
            web.HTTPForbidden.status_code,
            'Your session has ended, and nothing was changed.',
            saved_inputs,
        )

    def _problem_page(
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
    """Verify that a page of this console sent the post.

    Raises:
        ForgedRequestError: the origin is missing or that of another site.
    """
    origin = urlsplit(request.headers.get(hdrs.ORIGIN, ''))
    if origin.scheme in {'http', 'https'} and origin.netloc == request.host:
        return
    raise ForgedRequestError(
        'the form was not sent by a page of this console',
        hint='open the page again and repeat the change',
    )


def inputs_to_save(posted: Mapping[str, str]) -> Mapping[str, str]:
    """Return the inputs of a service form, without tokens and ids."""
    if 'base' not in posted:
        return {}
    return {key: posted[key] for key in posted if key not in _UNSAVED_INPUTS}


def _error_status(error: CrocusError) -> int:
    match error:
        case ForgedRequestError():
            return web.HTTPForbidden.status_code
        case InvalidDocumentError():
            return web.HTTPBadRequest.status_code
    return _UNAVAILABLE


def _error_text(error: CrocusError) -> str:
    faults = error.faults if isinstance(error, InvalidDocumentError) else ()
    return '; '.join((str(error), *map(str, faults)))
