"""Refusal of requests that crash the upstreams that run them."""

import hashlib
from collections.abc import Iterable
from datetime import timedelta

from ..clock import Clock
from ..logs import log
from ..routing.crash import Crash, CrashSuspects
from .upstream_call import OutgoingRequest


class CrashWatch:
    """Refuses requests that were in flight at two crashes.

    An upstream counts as crashed if its last connection drops while requests
    are in flight there and no new connection can be opened.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.tracker = CrashSuspects()

    def record_crash(
        self, address: str, requests: Iterable[OutgoingRequest]
    ) -> None:
        """Record that an upstream crashed with these requests in flight."""
        now = self.clock.monotonic()
        fingerprints = frozenset(fingerprint(request) for request in requests)
        confirmed = self.tracker.crashed(Crash(address, fingerprints, now))
        log(
            'upstream_crashed',
            upstream=address,
            suspects=len(fingerprints),
            confirmed=len(confirmed),
        )

    def refused_for(self, request: OutgoingRequest) -> timedelta:
        """Return how long to refuse a request from now, zero to accept it."""
        if not self.tracker.confirmed_until:
            return timedelta()
        return self.tracker.refused_for(
            fingerprint(request), self.clock.monotonic()
        )

    def record_response(self, request: OutgoingRequest) -> None:
        """Clear a request that an upstream has answered."""
        tracker = self.tracker
        if tracker.suspects or tracker.confirmed_until:
            tracker.answered(fingerprint(request))


def fingerprint(request: OutgoingRequest) -> str:
    """Return a digest that is equal for each repetition of a request."""
    message = request.message
    digest = hashlib.sha256()
    for part in (message.method, message.headers.get('Host', ''), message.path):
        digest.update(part.encode(errors='surrogateescape'))
        digest.update(b'\0')
    digest.update(request.body)
    return digest.hexdigest()
