"""Sign-in of operators, and sessions that resist cross-site requests."""

import hashlib
import hmac
import secrets
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from ..errors import CrocusError
from .settings import Operator

SESSION_LIFETIME = timedelta(hours=8)
#: Sign-ins that fail within the window before more are refused for a while.
MAX_FAILURES = 10
FAILURE_WINDOW = timedelta(minutes=1)
_MAX_SESSIONS = 1000


class SignInError(CrocusError):
    """The token is not that of an operator."""

    code = 'sign_in_failed'


class TooManySignInsError(CrocusError):
    """Too many sign-ins have failed lately."""

    code = 'sign_in_limited'


class ForgedRequestError(CrocusError):
    """A form came without the token that its page was given."""

    code = 'form_token_invalid'


@dataclass(frozen=True, slots=True)
class Session:
    """A signed-in operator; ``form_token`` must come back with each form."""

    identifier: str
    operator: str
    form_token: str
    expires: timedelta


class SessionStore:
    """The sessions of one console process; a restart signs everyone out."""

    def __init__(self, operators: tuple[Operator, ...], clock: Clock) -> None:
        self.operators = operators
        self.clock = clock
        self.sessions: dict[str, Session] = {}
        self.failures: list[timedelta] = []

    def sign_in(self, token: str) -> Session:
        """Open a session for the operator that holds ``token``.

        Raises:
            SignInError: no operator has this token.
            TooManySignInsError: too many sign-ins failed within a minute.
        """
        now = self.clock.monotonic()
        self._forget_old(now)
        if len(self.failures) >= MAX_FAILURES:
            raise TooManySignInsError(
                'too many failed sign-ins', hint='wait a minute'
            )
        operator = self._find_operator(token)
        if operator is None:
            self.failures.append(now)
            raise SignInError('the token is not known', hint='check the token')
        session = Session(
            identifier=secrets.token_urlsafe(),
            operator=operator.name,
            form_token=secrets.token_urlsafe(),
            expires=now + SESSION_LIFETIME,
        )
        self.sessions[session.identifier] = session
        return session

    def find(self, identifier: str) -> Session | None:
        """Return the session that has not expired, or None."""
        session = self.sessions.get(identifier)
        if session and session.expires > self.clock.monotonic():
            return session
        return None

    def sign_out(self, session: Session) -> None:
        """End a session."""
        self.sessions.pop(session.identifier, None)

    def check_form(self, session: Session, form_token: str) -> None:
        """Accept a form only from a page that the session was given.

        Raises:
            ForgedRequestError: the token is missing or not the session's.
        """
        if not hmac.compare_digest(
            session.form_token.encode(), form_token.encode()
        ):
            raise ForgedRequestError(
                'the form does not belong to this session',
                hint='open the page again and repeat the change',
            )

    def _find_operator(self, token: str) -> Operator | None:
        digest = hashlib.sha256(token.encode()).hexdigest()
        found = None
        # Every entry is compared, so that time does not tell which matched.
        for operator in self.operators:
            if hmac.compare_digest(operator.token_sha256, digest):
                found = operator
        return found

    def _forget_old(self, now: timedelta) -> None:
        self.failures = [
            failure
            for failure in self.failures
            if failure > now - FAILURE_WINDOW
        ]
        live = [one for one in self.sessions.values() if one.expires > now]
        kept = live[-_MAX_SESSIONS:]
        self.sessions = {session.identifier: session for session in kept}
