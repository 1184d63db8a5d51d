"""Requests as callers send them: parsing and refusal of bad input."""

import hashlib
from collections.abc import Mapping
from datetime import datetime, timedelta
from random import Random

from aiohttp.http import RawRequestMessage
from multidict import CIMultiDictProxy

from ..config.model import Service
from .problems import RefusalError, outcome_before_dispatch
from .settings import ProxyLimits

_ID_BITS = 128
_MAX_NAME = 128
_MAX_TIMEOUT_DIGITS = 12
_KEY_REQUIRED = frozenset(('POST', 'PATCH'))
_MILLISECOND = timedelta(milliseconds=1)


class InboundRequest:
    """One request of a caller; ``deadline`` is in monotonic time.

    ``target`` is the path and query that the upstream sees. ``written`` is
    set once a byte may have reached an upstream that has not reported
    ``not-run``.
    """

    __slots__ = (
        'body',
        'caller',
        'deadline',
        'expires',
        'first_attempt',
        'hops',
        'key',
        'message',
        'method',
        'path',
        'request_id',
        'service',
        'started',
        'target',
        'written',
    )

    def __init__(self, message: RawRequestMessage, started: timedelta) -> None:
        self.message = message
        self.method: str = message.method
        self.path: str = message.path
        self.started = started
        self.body = b''
        self.service = ''
        self.target = ''
        self.caller = ''
        self.request_id = ''
        self.deadline = started
        self.key = ''
        self.expires: datetime | None = None
        self.first_attempt = False
        self.hops = False
        self.written = False

    @property
    def headers(self) -> CIMultiDictProxy[str]:
        """Return the headers that the caller sent."""
        return self.message.headers

    @property
    def keyed(self) -> bool:
        """Return whether the request is non-idempotent."""
        return bool(self.key)

    def outcome_now(self) -> str:
        """Return the outcome if the request were given up at this moment."""
        if self.written:
            return 'unknown' if self.key else 'failed'
        return outcome_before_dispatch(
            keyed=bool(self.key),
            first_attempt=self.first_attempt,
        )

    def digest(self) -> str:
        """Return what must be equal in each re-send of a key."""
        expires = self.expires.isoformat() if self.expires else ''
        return _digest(
            self.method, self.target, expires, body=self.body
        ).hexdigest()

    def fingerprint(self) -> str:
        """Return what identifies a request that crashes upstreams."""
        return _digest(
            self.service, self.method, self.target, body=self.body
        ).hexdigest()


class InboundReader:
    """Checks requests; each kind of bad input has its own error code."""

    def __init__(
        self,
        limits: ProxyLimits,
        claim_horizon: timedelta,
        random: Random,
    ) -> None:
        self.limits = limits
        self.claim_horizon = claim_horizon
        self.random = random
        self.services: Mapping[str, Service] = {}

    def identify(self, inbound: InboundRequest, peer: str) -> None:
        """Read what every answer needs, including refusals."""
        headers = inbound.headers
        given = headers.get('X-Request-ID', '')
        inbound.request_id = given if _is_name(given) else self._new_id()
        caller = headers.get('Crocus-Caller', '')
        inbound.caller = caller if _is_name(caller) else peer
        inbound.key = headers.get('Idempotency-Key', '')
        inbound.first_attempt = headers.get('Crocus-Attempt') == '1'
        inbound.hops = 'Crocus-Hops' in headers

    def check(self, inbound: InboundRequest, now: datetime) -> Service:
        """Check the request except for its body, and return its service.

        Raises:
            RefusalError: the request must not be dispatched.
        """
        service = self._route(inbound)
        timeout = self._timeout(inbound, service)
        if inbound.key or inbound.method in _KEY_REQUIRED:
            self._check_key(inbound, now)
        if timeout <= timedelta():
            raise RefusalError('deadline_passed')
        inbound.deadline = inbound.started + timeout
        length = inbound.headers.get('Content-Length')
        if length is not None and int(length) > self.limits.request_body:
            raise RefusalError('body_too_large')
        return service

    def _route(self, inbound: InboundRequest) -> Service:
        path = inbound.path
        if not path.startswith('/') or inbound.method == 'CONNECT':
            raise RefusalError('malformed_request', 'the path has no service')
        location, mark, query = path.partition('?')
        _, name, *rest = location.split('/', 2)
        service = self.services.get(name)
        if service is None:
            raise RefusalError('service_unknown', f'no service {name!r}')
        inbound.service = name
        inbound.target = f'/{rest[0] if rest else ""}{mark}{query}'
        return service

    def _timeout(self, inbound: InboundRequest, service: Service) -> timedelta:
        text = inbound.headers.get('Crocus-Timeout-Ms')
        if text is None:
            return service.deadline
        digits = text.removeprefix('-')
        valid = digits.isascii() and digits.isdigit()
        if not valid or len(digits) > _MAX_TIMEOUT_DIGITS:
            raise RefusalError('timeout_invalid', f'not a number: {text!r}')
        return min(int(text) * _MILLISECOND, self.limits.max_timeout)

    def _check_key(self, inbound: InboundRequest, now: datetime) -> None:
        if not inbound.key:
            raise RefusalError('idempotency_key_missing')
        for name in ('Idempotency-Key', 'Idempotency-Expires'):
            if len(inbound.headers.getall(name, ())) > 1:
                raise RefusalError('malformed_request', f'two {name}')
        if not _is_name(inbound.key):
            raise RefusalError('malformed_request', 'unusable Idempotency-Key')
        inbound.expires = self._expiry(inbound, now)

    def _expiry(self, inbound: InboundRequest, now: datetime) -> datetime:
        expires = _time(inbound.headers.get('Idempotency-Expires', ''))
        if expires <= now:
            raise RefusalError('idempotency_key_expired')
        if expires > now + self.claim_horizon:
            raise RefusalError(
                'idempotency_expiry_too_far',
                f'it may lie at most {self.claim_horizon} ahead',
            )
        return expires

    def _new_id(self) -> str:
        return f'{self.random.getrandbits(_ID_BITS):032x}'


def _digest(*parts: str, body: bytes) -> 'hashlib._Hash':
    digest = hashlib.sha256()
    for part in parts:
        digest.update(part.encode(errors='surrogateescape'))
        digest.update(b'\0')
    digest.update(body)
    return digest


def _is_name(text: str) -> bool:
    return 0 < len(text) <= _MAX_NAME and text.isascii() and text.isprintable()


def _time(text: str) -> datetime:
    try:
        time = datetime.fromisoformat(text)
    except ValueError:
        time = None
    if time is None or time.tzinfo is None:
        raise RefusalError('idempotency_expiry_invalid', 'not an RFC 3339 time')
    return time
