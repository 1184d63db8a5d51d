"""Requests that are suspected of crashing the upstreams that run them."""

from dataclasses import dataclass, replace
from datetime import timedelta

_CONFIRM_WITHIN = timedelta(seconds=60)
_KEEP_CONFIRMED = timedelta(minutes=10)
# Bounds the memory that reports from other instances can take.
_MAX_CRASHES = 100
_MAX_CONFIRMED = 1000


@dataclass(frozen=True, slots=True)
class _Crash:
    upstream: str
    fingerprints: frozenset[str]
    at: timedelta


class CrashSuspects:
    """Confirms what was in flight at crashes of two different upstreams.

    Times are monotonic.
    """

    def __init__(self) -> None:
        self.crashes: list[_Crash] = []
        self.confirmed: dict[str, timedelta] = {}

    def crashed(
        self, upstream: str, fingerprints: frozenset[str], now: timedelta
    ) -> frozenset[str]:
        """Take in a crash and return the fingerprints that it confirms."""
        self.forget_old(now)
        found: frozenset[str] = frozenset()
        for crash in self.crashes:
            if crash.upstream != upstream:
                found |= crash.fingerprints & fingerprints
        self.crashes.append(_Crash(upstream, fingerprints, now))
        self.crashes = self.crashes[-_MAX_CRASHES:]
        for fingerprint in found:
            if len(self.confirmed) < _MAX_CONFIRMED:
                self.confirmed[fingerprint] = now + _KEEP_CONFIRMED
        return found

    def forget_old(self, now: timedelta) -> None:
        """Drop crashes that are too old to confirm anything."""
        self.crashes = [
            crash for crash in self.crashes if now - crash.at <= _CONFIRM_WITHIN
        ]

    def clear(self, fingerprint: str) -> None:
        """Drop the suspicion against a request that an upstream answered.

        Otherwise a popular request that is in flight at two unrelated crashes
        would be refused.
        """
        self.crashes = [
            replace(crash, fingerprints=crash.fingerprints - {fingerprint})
            for crash in self.crashes
        ]

    def expiry(self, fingerprint: str, now: timedelta) -> timedelta | None:
        """Return for how long a fingerprint stays refused, if it is."""
        until = self.confirmed.get(fingerprint)
        if until is None:
            return None
        if until <= now:
            self.confirmed.pop(fingerprint)
            return None
        return until - now
