"""Schedule of trial requests to an ejected upstream."""

from dataclasses import dataclass

INITIAL_INTERVAL_SECONDS = 0.005
INTERVAL_GROWTH = 1.35  # factor after each failed trial
MAX_INTERVAL_SECONDS = 1.0
REQUIRED_SUCCESSES = 2  # consecutive, before an upstream is readmitted


@dataclass(slots=True, eq=False)
class Trials:
    """One trial request at a time, with exponential backoff after failures.

    ``ticket`` is that of the trial in flight, or 0. Times are in monotonic
    seconds.
    """

    interval: float = INITIAL_INTERVAL_SECONDS
    due_at: float = 0
    successes: int = 0
    ticket: int = 0

    def schedule(self, now: float) -> None:
        """Schedule the first trial after an ejection or a failed trial."""
        self.successes = 0
        self.ticket = 0
        self.due_at = now + self.interval

    def is_due(self, now: float) -> bool:
        """Return whether a trial may be sent now."""
        return not self.ticket and now >= self.due_at

    def started(self, ticket: int) -> None:
        """Record the request that serves as the trial."""
        self.ticket = ticket

    def passed(self, now: float) -> bool:
        """Record a good trial; return whether to readmit the upstream."""
        self.ticket = 0
        self.successes += 1
        self.due_at = now
        return self.successes >= REQUIRED_SUCCESSES

    def failed(self, now: float) -> None:
        """Record a failed trial."""
        self.interval = min(
            self.interval * INTERVAL_GROWTH, MAX_INTERVAL_SECONDS
        )
        self.schedule(now)

    def reset(self) -> None:
        """Start from the initial interval at the next ejection."""
        self.interval = INITIAL_INTERVAL_SECONDS
