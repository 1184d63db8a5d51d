"""Detection of requests that crash upstreams."""

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass, field
from datetime import timedelta

#: Time between two crashes within which the second one confirms a suspect.
SUSPICION_PERIOD = timedelta(seconds=60)
#: How long a confirmed fingerprint is refused.
CONFIRMATION_PERIOD = timedelta(minutes=10)
MAX_SUSPECTS = 10_000


@dataclass(frozen=True, slots=True)
class Crash:
    """The requests in flight at an upstream when it crashed.

    ``fingerprints`` identify them; equal requests have the same fingerprint.
    Homes exchange crashes; ``at`` is the monotonic time of the receiving home.
    ``sent_at`` are the times at which the latest of equal requests were sent to
    the upstream, if they are known.
    """

    upstream: str
    fingerprints: frozenset[str]
    at: timedelta
    sent_at: Mapping[str, timedelta] = field(default_factory=dict)

    def was_sent_since(self, fingerprint: str, at: timedelta) -> bool:
        """Return whether a request was sent after an earlier crash."""
        return self.sent_at.get(fingerprint, self.at) >= at


class CrashSuspects:
    """Finds requests that were in flight at crashes of two upstreams.

    A request that is answered in between is cleared, so that a popular request
    is not confirmed only because it is in flight everywhere. Neither is one
    that was at both upstreams before the first crash: several upstreams can be
    lost at once for another reason. Entries expire with time; ``next_expiry``
    is the earliest time at which one may.
    """

    def __init__(self) -> None:
        # The upstream and the time of the crash, by fingerprint.
        self.suspects: dict[str, tuple[str, timedelta]] = {}
        self.confirmed_until: dict[str, timedelta] = {}
        self.next_expiry = timedelta.max

    def crashed(self, crash: Crash) -> frozenset[str]:
        """Record a crash and return the fingerprints that it confirms."""
        self.expire(crash.at)
        confirmed = frozenset(
            fingerprint
            for fingerprint in crash.fingerprints
            if self._is_second_crash(fingerprint, crash)
        )
        for fingerprint in crash.fingerprints - confirmed:
            self._suspect(fingerprint, crash)
        self.confirm(confirmed, crash.at)
        return confirmed

    def confirm(self, fingerprints: Iterable[str], now: timedelta) -> None:
        """Refuse fingerprints that this or another home confirmed."""
        until = now + CONFIRMATION_PERIOD
        for fingerprint in fingerprints:
            self.suspects.pop(fingerprint, None)
            self.confirmed_until[fingerprint] = until
            self._expect_expiry(until)

    def expire(self, now: timedelta) -> None:
        """Remove the entries whose time has passed.

        Each request calls this, so nothing is done before ``next_expiry``.
        """
        if now < self.next_expiry:
            return
        self.suspects = {
            fingerprint: first_crash
            for fingerprint, first_crash in self.suspects.items()
            if now <= first_crash[1] + SUSPICION_PERIOD
        }
        self.confirmed_until = {
            fingerprint: until
            for fingerprint, until in self.confirmed_until.items()
            if now < until
        }
        self.next_expiry = min(
            (
                *(at + SUSPICION_PERIOD for _, at in self.suspects.values()),
                *self.confirmed_until.values(),
            ),
            default=timedelta.max,
        )

    def answered(self, fingerprint: str) -> None:
        """Clear a request that an upstream has answered.

        A popular request can be in flight at both crashes. Its copies at other
        upstreams are answered soon after; copies of the cause never are.
        """
        if self.suspects or self.confirmed_until:
            self.suspects.pop(fingerprint, None)
            self.confirmed_until.pop(fingerprint, None)

    def is_suspect(self, fingerprint: str, now: timedelta) -> bool:
        """Return whether a request was in flight at a recent crash."""
        self.expire(now)
        return fingerprint in self.suspects

    def refused_for(self, fingerprint: str, now: timedelta) -> timedelta:
        """Return the remaining time of refusal, zero if it is not refused."""
        until = self.confirmed_until.get(fingerprint, now)
        return max(until - now, timedelta())

    def _suspect(self, fingerprint: str, crash: Crash) -> None:
        earlier = self.suspects.get(fingerprint)
        if earlier is not None and not crash.was_sent_since(
            fingerprint, earlier[1]
        ):
            # Requests that were sent after the first crash still count.
            return
        if len(self.suspects) < MAX_SUSPECTS:
            self.suspects[fingerprint] = (crash.upstream, crash.at)
            self._expect_expiry(crash.at + SUSPICION_PERIOD)

    def _is_second_crash(self, fingerprint: str, crash: Crash) -> bool:
        earlier = self.suspects.get(fingerprint)
        if earlier is None:
            return False
        upstream, at = earlier
        return upstream != crash.upstream and crash.was_sent_since(
            fingerprint, at
        )

    def _expect_expiry(self, at: timedelta) -> None:
        self.next_expiry = min(self.next_expiry, at)


def latest_ages(
    sent: Iterable[tuple[str, timedelta]], now: timedelta
) -> dict[str, timedelta]:
    """Return the ages of requests by fingerprint, of equal ones the latest.

    ``sent`` are fingerprints and the times at which they were sent.

    >>> second = timedelta(seconds=1)
    >>> ages = latest_ages(
    ...     [('b', second), ('a', second), ('b', 2 * second)], 3 * second
    ... )
    >>> [(name, age.seconds) for name, age in ages.items()]
    [('a', 2), ('b', 1)]
    """
    latest: dict[str, timedelta] = {}
    for fingerprint, sent_at in sent:
        latest[fingerprint] = max(sent_at, latest.get(fingerprint, sent_at))
    return {
        fingerprint: now - latest[fingerprint] for fingerprint in sorted(latest)
    }


def reported_crash(
    upstream: str,
    fingerprints: Sequence[str],
    ages: Sequence[timedelta],
    at: timedelta,
) -> Crash:
    """Return the crash of a report that arrived ``at`` a monotonic time.

    ``ages`` are those of the requests at the crash. A build that reports none
    has them confirmed as if just sent.
    """
    sent_at = {
        fingerprint: at - age
        for fingerprint, age in zip(fingerprints, ages, strict=False)
    }
    return Crash(upstream, frozenset(fingerprints), at, sent_at)
