"""Requests that crash upstreams: suspects, confirmation and expiry."""

from collections.abc import Iterable
from dataclasses import dataclass
from datetime import timedelta

SUSPICION = timedelta(seconds=60)
CONFIRMATION = timedelta(minutes=10)
MAX_KNOWN = 10_000


@dataclass(frozen=True, slots=True)
class Crash:
    """The fingerprints in flight at an upstream when it crashed.

    Homes exchange crashes; ``at`` is monotonic time of the receiving home.
    """

    upstream: str
    fingerprints: frozenset[str]
    at: timedelta


class CrashSuspects:
    """Finds the request that was in flight at two crashes.

    A request that is answered in between is cleared, so that a popular request
    is not confirmed because it happens to be in flight everywhere.
    """

    def __init__(self) -> None:
        self.suspects: dict[str, tuple[str, timedelta]] = {}
        self.confirmed_until: dict[str, timedelta] = {}

    def crashed(self, crash: Crash) -> frozenset[str]:
        """Record a crash and return the fingerprints that it confirms."""
        self._forget(crash.at)
        confirmed = frozenset(
            fingerprint
            for fingerprint in crash.fingerprints
            if self._is_second(fingerprint, crash.upstream)
        )
        for fingerprint in crash.fingerprints - confirmed:
            if len(self.suspects) < MAX_KNOWN:
                self.suspects[fingerprint] = (crash.upstream, crash.at)
        self.confirm(confirmed, crash.at)
        return confirmed

    def confirm(self, fingerprints: Iterable[str], now: timedelta) -> None:
        """Refuse these fingerprints, also when another home confirmed them."""
        for fingerprint in fingerprints:
            self.suspects.pop(fingerprint, None)
            self.confirmed_until[fingerprint] = now + CONFIRMATION

    def answered(self, fingerprint: str) -> None:
        """Clear a request that an upstream has answered without harm.

        A popular request can be in flight at both crashes. Its copies at other
        upstreams are answered soon after; those of the cause never are.
        """
        if self.suspects or self.confirmed_until:
            self.suspects.pop(fingerprint, None)
            self.confirmed_until.pop(fingerprint, None)

    def is_suspect(self, fingerprint: str) -> bool:
        """Return whether a request was in flight at one recent crash."""
        return fingerprint in self.suspects

    def refused_for(self, fingerprint: str, now: timedelta) -> timedelta:
        """Return how long a request is still refused, zero if it is not."""
        until = self.confirmed_until.get(fingerprint, now)
        return max(until - now, timedelta())

    def _is_second(self, fingerprint: str, upstream: str) -> bool:
        first, _ = self.suspects.get(fingerprint, (upstream, None))
        return first != upstream

    def _forget(self, now: timedelta) -> None:
        self.suspects = {
            fingerprint: seen
            for fingerprint, seen in self.suspects.items()
            if now - seen[1] <= SUSPICION
        }
        self.confirmed_until = {
            fingerprint: until
            for fingerprint, until in self.confirmed_until.items()
            if until > now
        }
