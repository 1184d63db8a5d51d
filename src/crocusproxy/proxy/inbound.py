"""Requests of callers: parsing and validation."""

import hashlib
from collections.abc import Mapping
from datetime import datetime, timedelta
from random import Random

from aiohttp.http import RawRequestMessage
from multidict import CIMultiDictProxy

from ..config.model import Service
from .problems import RefusalError, outcome_before_dispatch
from .settings import ProxyLimits

_REQUEST_ID_BITS = 128
_MAX_ID_LENGTH = 128
_MAX_TIMEOUT_DIGITS = 12
_METHODS_REQUIRING_KEY = frozenset(('POST', 'PATCH'))
_MILLISECOND = timedelta(milliseconds=1)


class InboundRequest:
    """One request of a caller; ``deadline`` is in monotonic time.

    ``target`` is the path and query for the upstream. ``is_forwarded`` is set
    if another instance forwarded the request. ``may_have_run`` is set once a
    byte may have reached an upstream or a home that has not reported that it
    did not run the request, and ``sent_at`` is the time of the latest attempt.
    ``first_attempt`` is set if the caller has stated
    that it has not sent the request before.
    """

    __slots__ = (
        'body',
        'caller',
        'deadline',
        'expires',
        'first_attempt',
        'is_forwarded',
        'key',
        'message',
        'method',
        'path',
        'request_id',
        'sent_at',
        'service',
        'started_at',
        'target',
        'may_have_run',
    )

    def __init__(
        self, message: RawRequestMessage, started_at: timedelta
    ) -> None:
        self.message = message
        self.method: str = message.method
        self.path: str = message.path
        self.started_at = started_at
        self.sent_at = started_at
        self.body = b''
        self.service = ''
        self.target = ''
        self.caller = ''
        self.request_id = ''
        self.deadline = started_at
        self.key = ''
        self.expires: datetime | None = None
        self.first_attempt = False
        self.is_forwarded = False
        self.may_have_run = False

    @property
    def headers(self) -> CIMultiDictProxy[str]:
        """Return the headers that the caller sent."""
        return self.message.headers

    @property
    def has_key(self) -> bool:
        """Return whether the request carries an idempotency key."""
        return bool(self.key)

    def current_outcome(self) -> str:
        """Return the outcome if the request ended now."""
        if self.may_have_run:
            return 'unknown' if self.key else 'failed'
        return outcome_before_dispatch(
            has_key=bool(self.key),
            first_attempt=self.first_attempt,
        )

    def digest(self) -> str:
        """Return a hash that must be the same in each retry with a key."""
        expires = self.expires.isoformat() if self.expires else ''
        return _digest(
            self.method, self.target, expires, body=self.body
        ).hexdigest()

    def fingerprint(self) -> str:
        """Return a hash that identifies requests which crash upstreams."""
        return _digest(
            self.service, self.method, self.target, body=self.body
        ).hexdigest()


class InboundReader:
    """Validates requests; each kind of invalid input has an error code."""

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
        """Set the fields that every response needs, including a refusal."""
        headers = inbound.headers
        sent_id = headers.get('X-Request-ID', '')
        inbound.request_id = (
            sent_id if _is_valid_id(sent_id) else self._new_request_id()
        )
        caller = headers.get('Crocus-Caller', '')
        inbound.caller = caller if _is_valid_id(caller) else peer
        inbound.key = headers.get('Idempotency-Key', '')
        inbound.first_attempt = headers.get('Crocus-Attempt') == '1'
        inbound.is_forwarded = 'Crocus-Hops' in headers

    def check(self, inbound: InboundRequest, now: datetime) -> Service:
        """Validate the request except its body, and return its service.

        Raises:
            RefusalError: the request must not be dispatched.
        """
        service = self._resolve_service(inbound)
        timeout = self._parse_timeout(inbound, service)
        if inbound.key or inbound.method in _METHODS_REQUIRING_KEY:
            self._check_key(inbound, now)
        if timeout <= timedelta():
            raise RefusalError('deadline_passed')
        inbound.deadline = inbound.started_at + timeout
        length = inbound.headers.get('Content-Length')
        if length is not None and int(length) > self.limits.request_body:
            raise RefusalError('body_too_large')
        return service

    def _resolve_service(self, inbound: InboundRequest) -> Service:
        path = inbound.path
        if not path.startswith('/') or inbound.method == 'CONNECT':
            raise RefusalError('malformed_request', 'the path has no service')
        path_without_query, separator, query = path.partition('?')
        _, name, *rest = path_without_query.split('/', 2)
        service = self.services.get(name)
        if service is None:
            raise RefusalError('service_unknown', f'no service {name!r}')
        inbound.service = name
        inbound.target = f'/{rest[0] if rest else ""}{separator}{query}'
        return service

    def _parse_timeout(
        self, inbound: InboundRequest, service: Service
    ) -> timedelta:
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
        if not _is_valid_id(inbound.key):
            raise RefusalError('malformed_request', 'unusable Idempotency-Key')
        inbound.expires = self._parse_expiry(inbound, now)

    def _parse_expiry(self, inbound: InboundRequest, now: datetime) -> datetime:
        expires = _parse_time(inbound.headers.get('Idempotency-Expires', ''))
        if expires <= now:
            raise RefusalError('idempotency_key_expired')
        if expires > now + self.claim_horizon:
            raise RefusalError(
                'idempotency_expiry_too_far',
                f'it may lie at most {self.claim_horizon} ahead',
            )
        return expires

    def _new_request_id(self) -> str:
        return f'{self.random.getrandbits(_REQUEST_ID_BITS):032x}'


def _digest(*parts: str, body: bytes) -> 'hashlib._Hash':
    digest = hashlib.sha256()
    for part in parts:
        digest.update(part.encode(errors='surrogateescape'))
        digest.update(b'\0')
    digest.update(body)
    return digest


def _is_valid_id(text: str) -> bool:
    return (
        0 < len(text) <= _MAX_ID_LENGTH
        and text.isascii()
        and text.isprintable()
    )


def _parse_time(text: str) -> datetime:
    try:
        time = datetime.fromisoformat(text)
    except ValueError:
        time = None
    if time is None or time.tzinfo is None:
        raise RefusalError('idempotency_expiry_invalid', 'not an RFC 3339 time')
    return time
