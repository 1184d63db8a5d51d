"""Pages that open and end a session."""

from aiohttp import web

from ..logs import log
from .console import SESSION, Console, read_post
from .security import SIGN_IN
from .sessions import (
    FAILURE_WINDOW,
    SESSION_LIFETIME,
    Session,
    SignInError,
    TooManySignInsError,
)


class SignInPages:
    """Signs operators in and out."""

    def __init__(self, console: Console) -> None:
        self.console = console

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of these pages."""
        return [
            web.get(SIGN_IN, self.ask),
            web.post(SIGN_IN, self.sign_in),
            web.post('/sign-out', self.sign_out),
        ]

    async def ask(self, request: web.Request) -> web.StreamResponse:
        """Ask for the operator's token."""
        return self._ask(request, web.HTTPOk.status_code)

    async def sign_in(self, request: web.Request) -> web.StreamResponse:
        """Open a session, or ask again."""
        token = (await read_post(request)).get('token', '').strip()
        try:
            session = self.console.sessions.sign_in(token)
        except SignInError as error:
            log('console_sign_in_failed', peer=request.remote)
            return self._ask(
                request, web.HTTPForbidden.status_code, error.message
            )
        except TooManySignInsError as error:
            log('console_sign_in_limited', peer=request.remote)
            response = self._ask(
                request, web.HTTPTooManyRequests.status_code, str(error)
            )
            wait = int(FAILURE_WINDOW.total_seconds())
            response.headers['Retry-After'] = str(wait)
            return response
        log('console_signed_in', operator=session.operator, peer=request.remote)
        return self._welcome(session)

    async def sign_out(self, request: web.Request) -> web.StreamResponse:
        """End the session."""
        self.console.sessions.sign_out(request[SESSION])
        response = _redirect(SIGN_IN)
        response.del_cookie(
            self.console.cookie, secure=self.console.settings.secure_cookies
        )
        return response

    def _ask(
        self,
        request: web.Request,
        status: int,
        fault: str = '',
    ) -> web.Response:
        return self.console.page(
            request, 'sign_in.html', status=status, fault=fault
        )

    def _welcome(self, session: Session) -> web.Response:
        response = _redirect('/')
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
