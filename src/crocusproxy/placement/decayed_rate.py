"""Rates of events, averaged with an exponential decay."""

from dataclasses import dataclass
from math import exp


@dataclass(slots=True)
class DecayedRate:
    """Events per second; ``decay_seconds`` is the time of the average."""

    decay_seconds: float
    total: float = 0
    counted_at: float = 0

    def count(self, now: float, amount: float = 1) -> None:
        """Count an event at a monotonic second."""
        self.total = self.decayed_total(now) + amount
        self.counted_at = now

    def decayed_total(self, now: float) -> float:
        """Return the decayed number of events."""
        return self.total * exp((self.counted_at - now) / self.decay_seconds)

    def per_second(self, now: float) -> float:
        """Return the events per second."""
        return self.decayed_total(now) / self.decay_seconds
