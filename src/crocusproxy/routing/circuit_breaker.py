"""Success rate of an upstream, checked before its load is considered."""

from dataclasses import dataclass

GAIN = 0.25
OPEN_BELOW = 0.5  # reached by three rejections or failures in a row


@dataclass(slots=True, eq=False)
class CircuitBreaker:
    """Open while most requests are rejected or fail.

    Without it an upstream that fails at once looks idle and attracts load.
    """

    success: float = 1.0
    failures: int = 0

    @property
    def is_open(self) -> bool:
        """Return whether the upstream must not get ordinary requests."""
        return self.success < OPEN_BELOW

    def answered(self) -> None:
        """Count a complete response."""
        self.failures = 0
        self.success += (1 - self.success) * GAIN

    def failed(self) -> None:
        """Count a rejection or a failure."""
        self.failures += 1
        self.success -= self.success * GAIN

    def trip(self) -> None:
        """Let nothing pass until the trials have passed."""
        self.success = 0

    def reset(self) -> None:
        """Forget the failures after the trials have passed."""
        self.failures = 0
        self.success = 1.0
