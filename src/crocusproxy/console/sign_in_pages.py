"""Pages that open and end a session."""

from collections.abc import Mapping

from aiohttp import web

from ..logs import log
from .console import SESSION, Console, read_post
from .forms import read_form
from .security import SIGN_IN, typed_texts
from .service_pages import ServicePages
from .sessions import (
    FAILURE_WINDOW,
    SESSION_LIFETIME,
    Session,
    SignInError,
    TooManySignInsError,
)


class SignInPages:
    """Signs operators in and out."""

    def __init__(self, console: Console, services: ServicePages) -> None:
        self.console = console
        self.services = services

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of these pages."""
        return [
            web.get(SIGN_IN, self.ask),
            web.post(SIGN_IN, self.sign_in),
            web.post('/sign-out', self.sign_out),
        ]

    async def ask(self, request: web.Request) -> web.StreamResponse:
        """Ask for the operator's token."""
        return self.console.sign_in_page(request, web.HTTPOk.status_code)

    async def sign_in(self, request: web.Request) -> web.StreamResponse:
        """Open a session, or ask again."""
        posted = await read_post(request)
        typed = typed_texts(posted)
        try:
            session = self.console.sessions.sign_in(
                posted.get('token', '').strip()
            )
        except SignInError as error:
            log('console_sign_in_failed', peer=request.remote)
            return self.console.sign_in_page(
                request, web.HTTPForbidden.status_code, error.message, typed
            )
        except TooManySignInsError as error:
            log('console_sign_in_limited', peer=request.remote)
            return self._limited(request, str(error), typed)
        log('console_signed_in', operator=session.operator, peer=request.remote)
        return self._welcome(request, session, typed)

    async def sign_out(self, request: web.Request) -> web.StreamResponse:
        """End the session."""
        self.console.sessions.sign_out(request[SESSION])
        response = _redirect(SIGN_IN)
        response.del_cookie(
            self.console.cookie, secure=self.console.settings.secure_cookies
        )
        return response

    def _limited(
        self,
        request: web.Request,
        fault: str,
        typed: Mapping[str, str],
    ) -> web.Response:
        response = self.console.sign_in_page(
            request, web.HTTPTooManyRequests.status_code, fault, typed
        )
        wait = int(FAILURE_WINDOW.total_seconds())
        response.headers['Retry-After'] = str(wait)
        return response

    def _welcome(
        self,
        request: web.Request,
        session: Session,
        typed: Mapping[str, str],
    ) -> web.StreamResponse:
        response = _redirect('/')
        if typed:
            request[SESSION] = session
            response = self.services.form_page(request, read_form(typed))
        response.set_cookie(
            self.console.cookie,
            session.identifier,
            max_age=int(SESSION_LIFETIME.total_seconds()),
            secure=self.console.settings.secure_cookies,
            httponly=True,
            samesite='Strict',
        )
        return response


def _redirect(path: str) -> web.Response:
    status = web.HTTPSeeOther.status_code
    return web.Response(status=status, headers={'Location': path})
