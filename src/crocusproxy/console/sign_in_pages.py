"""Pages that open and end a session."""

from collections.abc import Mapping

from aiohttp import web

from ..logs import log
from .console import SESSION_KEY, Console, read_post
from .failed_sign_ins import FAILURE_WINDOW
from .forms import read_form
from .security import SIGN_IN_PATH, inputs_to_save
from .service_pages import ServicePages
from .sessions import (
    SESSION_LIFETIME,
    Session,
    SignInError,
    TooManyFailedSignInsError,
)


class SignInPages:
    """Signs operators in and out."""

    def __init__(self, console: Console, service_pages: ServicePages) -> None:
        self.console = console
        self.service_pages = service_pages

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of these pages."""
        return [
            web.get(SIGN_IN_PATH, self.show_form),
            web.post(SIGN_IN_PATH, self.sign_in),
            web.post('/sign-out', self.sign_out),
        ]

    async def show_form(self, request: web.Request) -> web.StreamResponse:
        """Show the form for the token of the operator."""
        return self.console.sign_in_page(request, web.HTTPOk.status_code)

    async def sign_in(self, request: web.Request) -> web.StreamResponse:
        """Open a session, or show the form again."""
        posted = await read_post(request)
        saved_inputs = inputs_to_save(posted)
        try:
            session = self.console.sessions.sign_in(
                posted.get('token', '').strip(),
                request.remote or '',
                posted.get('operator', '').strip(),
            )
        except SignInError as error:
            log('console_sign_in_failed', peer=request.remote)
            return self.console.sign_in_page(
                request,
                web.HTTPForbidden.status_code,
                error.message,
                saved_inputs,
            )
        except TooManyFailedSignInsError as error:
            log('console_sign_in_limited', peer=request.remote)
            return self._rate_limited_response(
                request, str(error), saved_inputs
            )
        log('console_signed_in', operator=session.operator, peer=request.remote)
        return self._signed_in_response(request, session, saved_inputs)

    async def sign_out(self, request: web.Request) -> web.StreamResponse:
        """End the session."""
        self.console.sessions.sign_out(request[SESSION_KEY])
        response = _redirect(SIGN_IN_PATH)
        response.del_cookie(
            self.console.cookie_name,
            secure=self.console.settings.secure_cookies,
        )
        return response

    def _rate_limited_response(
        self,
        request: web.Request,
        error_message: str,
        saved_inputs: Mapping[str, str],
    ) -> web.Response:
        response = self.console.sign_in_page(
            request,
            web.HTTPTooManyRequests.status_code,
            error_message,
            saved_inputs,
        )
        retry_after_seconds = int(FAILURE_WINDOW.total_seconds())
        response.headers['Retry-After'] = str(retry_after_seconds)
        return response

    def _signed_in_response(
        self,
        request: web.Request,
        session: Session,
        saved_inputs: Mapping[str, str],
    ) -> web.StreamResponse:
        response = _redirect('/')
        if saved_inputs:
            request[SESSION_KEY] = session
            response = self.service_pages.form_page(
                request, read_form(saved_inputs)
            )
        response.set_cookie(
            self.console.cookie_name,
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
