"""Success rate of an upstream, checked before its load is considered."""

from dataclasses import dataclass

GAIN = 0.25
CLOSE_BELOW = 0.5  # reached by three rejections or failures in a row


@dataclass(slots=True, eq=False)
class FailFastGate:
    """Closed while most requests are rejected or fail.

    Without it an upstream that fails at once looks idle and attracts load.
    """

    success: float = 1.0
    failures: int = 0

    @property
    def closed(self) -> bool:
        """Return whether the upstream must not get ordinary requests."""
        return self.success < CLOSE_BELOW

    def answered(self) -> None:
        """Count a complete response."""
        self.failures = 0
        self.success += (1 - self.success) * GAIN

    def failed(self) -> None:
        """Count a rejection or a failure."""
        self.failures += 1
        self.success -= self.success * GAIN

    def close(self) -> None:
        """Let nothing pass until the trials have passed."""
        self.success = 0

    def reopen(self) -> None:
        """Forget the failures after the trials have passed."""
        self.failures = 0
        self.success = 1.0
