"""Circuit breaker of an upstream."""

from dataclasses import dataclass

GAIN = 0.25  # weight of the latest result in the success rate
OPEN_THRESHOLD = 0.5  # reached by three consecutive rejections or failures


@dataclass(slots=True, eq=False)
class CircuitBreaker:
    """Open while most requests are rejected or fail.

    Without it, an upstream that fails at once looks idle and attracts load.
    """

    success_rate: float = 1.0
    failures: int = 0

    @property
    def is_open(self) -> bool:
        """Return whether the upstream gets trial requests only."""
        return self.success_rate < OPEN_THRESHOLD

    def answered(self) -> None:
        """Count a complete response."""
        self.failures = 0
        self.success_rate += (1 - self.success_rate) * GAIN

    def failed(self) -> None:
        """Count a rejection or a failure."""
        self.failures += 1
        self.success_rate -= self.success_rate * GAIN

    def trip(self) -> None:
        """Open the breaker until the trials have passed."""
        self.success_rate = 0

    def reset(self) -> None:
        """Close the breaker after the trials have passed."""
        self.failures = 0
        self.success_rate = 1.0
