"""Operator sign-in, and sessions protected against cross-site requests."""

import hashlib
import hmac
import secrets
from dataclasses import dataclass
from datetime import timedelta

from ..clock import Clock
from ..errors import CrocusError
from .failed_sign_ins import FailedSignIns, SignInOrigin, client_of
from .settings import Operator

SESSION_LIFETIME = timedelta(hours=8)
_MAX_SESSIONS = 1000


class SignInError(CrocusError):
    """No operator has this token, or not the named one."""

    code = 'sign_in_failed'


class TooManyFailedSignInsError(CrocusError):
    """Too many sign-ins failed within the window."""

    code = 'sign_in_limited'


class ForgedRequestError(CrocusError):
    """A posted form fails the checks against cross-site requests."""

    code = 'form_token_invalid'


@dataclass(frozen=True, slots=True)
class Session:
    """A signed-in operator; each posted form must contain ``form_token``.

    ``expires`` is a time of the monotonic clock.
    """

    identifier: str
    operator: str
    form_token: str
    expires: timedelta


class SessionStore:
    """The sessions of one console process; a restart ends all of them."""

    def __init__(self, operators: tuple[Operator, ...], clock: Clock) -> None:
        self.operators = operators
        self.clock = clock
        self.sessions: dict[str, Session] = {}
        self.failed_sign_ins = FailedSignIns()

    def sign_in(
        self, token: str, address: str = '', operator_name: str = ''
    ) -> Session:
        """Open a session for the operator with ``token``.

        ``address`` is that of the client. If it names an operator, the token
        must be that operator's.

        Raises:
            SignInError: no operator has this token, or not the named one.
            TooManyFailedSignInsError: too many sign-ins failed within a minute.
        """
        now = self.clock.monotonic()
        self._remove_expired(now)
        origin = self._origin(address, operator_name)
        if self.failed_sign_ins.is_limited(origin, now):
            raise TooManyFailedSignInsError(
                'too many failed sign-ins',
                hint='wait a minute, or enter your operator name',
            )
        operator = self._find_operator(token)
        if operator is None or operator_name not in {'', operator.name}:
            self.failed_sign_ins.record(origin, now)
            raise SignInError(
                'the token does not belong to this operator or is unknown',
                hint='check the operator name and the token',
            )
        session = Session(
            identifier=secrets.token_urlsafe(),
            operator=operator.name,
            form_token=secrets.token_urlsafe(),
            expires=now + SESSION_LIFETIME,
        )
        self.sessions[session.identifier] = session
        return session

    def find(self, identifier: str) -> Session | None:
        """Return a session, or None if it is unknown or has expired."""
        session = self.sessions.get(identifier)
        if session and session.expires > self.clock.monotonic():
            return session
        return None

    def sign_out(self, session: Session) -> None:
        """End a session."""
        self.sessions.pop(session.identifier, None)

    def check_form_token(self, session: Session, form_token: str) -> None:
        """Verify that a form comes from a page of the session.

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

    def _origin(self, address: str, operator_name: str) -> SignInOrigin:
        names = {operator.name for operator in self.operators}
        known_name = operator_name if operator_name in names else ''
        return SignInOrigin(client_of(address), known_name)

    def _find_operator(self, token: str) -> Operator | None:
        digest = hashlib.sha256(token.encode()).hexdigest()
        matching_operator = None
        # Compare all entries, so that timing does not reveal which one matched.
        for operator in self.operators:
            if hmac.compare_digest(operator.token_sha256, digest):
                matching_operator = operator
        return matching_operator

    def _remove_expired(self, now: timedelta) -> None:
        active_sessions = [
            session
            for session in self.sessions.values()
            if session.expires > now
        ]
        newest_sessions = active_sessions[-_MAX_SESSIONS:]
        self.sessions = {
            session.identifier: session for session in newest_sessions
        }
