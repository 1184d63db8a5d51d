"""Load that other senders put on an upstream, estimated from its reports."""

from dataclasses import dataclass
from math import exp

GAIN = 0.2
FADE = 0.05  # seconds in which an old report loses 63 % of its weight
TRUST_GAIN = 0.1
IGNORED = 0.5  # requests in transit make the difference uncertain


@dataclass(slots=True, eq=False)
class ExternalLoad:
    """Reported load minus the own part, losing weight with its age.

    This covers the older balancer and other homes. ``trust`` falls while
    requests are answered sooner than the reports allow. Times are monotonic
    seconds.
    """

    estimate: float = 0
    at: float = 0
    trust: float = 1.0

    def report(self, total: int, own: int, now: float) -> None:
        """Take in a report of ``total`` requests, ``own`` of them from here."""
        self.estimate += (total - own - self.estimate) * GAIN
        self.at = now

    def load(self, now: float) -> float:
        """Return how many requests of others to expect there."""
        if self.estimate <= IGNORED:
            return 0
        return self.trust * self.estimate * exp((self.at - now) / FADE)

    def compare(self, latency_ratio: float, slots: int) -> None:
        """Check the claimed load against a latency in service times."""
        claimed_wait = self.estimate / slots - 1
        if claimed_wait <= 0:
            return
        plausible = latency_ratio >= claimed_wait / 2
        self.trust += (plausible - self.trust) * TRUST_GAIN
