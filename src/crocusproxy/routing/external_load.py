"""Estimate of the load that other senders put on an upstream."""

from dataclasses import dataclass
from math import exp

GAIN = 0.2  # weight of the latest report in the average
DECAY_SECONDS = 0.05  # time in which a report loses 63 % of its weight
TRUST_GAIN = 0.1
MIN_ESTIMATE = 0.5  # requests in transit cause differences below this


@dataclass(slots=True, eq=False)
class ExternalLoad:
    """Reported load minus the own load, with a weight that decays with age.

    Covers the older balancer and other homes. ``trust`` falls while responses
    arrive sooner than the reported load allows. Times are monotonic seconds.
    """

    estimate: float = 0
    reported_at: float = 0
    trust: float = 1.0

    def report(self, total_load: int, own_load: int, now: float) -> None:
        """Record a reported load; ``own_load`` is this process's part of it."""
        self.estimate += (total_load - own_load - self.estimate) * GAIN
        self.reported_at = now

    def load(self, now: float) -> float:
        """Return the expected number of requests of other senders."""
        if self.estimate <= MIN_ESTIMATE:
            return 0
        return (
            self.trust
            * self.estimate
            * exp((self.reported_at - now) / DECAY_SECONDS)
        )

    def compare(self, latency_ratio: float, slots: int) -> None:
        """Adjust the trust by a latency, given in service times."""
        expected_wait = self.estimate / slots - 1
        if expected_wait <= 0:
            return
        is_plausible = latency_ratio >= expected_wait / 2
        self.trust += (is_plausible - self.trust) * TRUST_GAIN
