"""When an upstream that was taken out may be tried again."""

from dataclasses import dataclass

FIRST_INTERVAL = 0.005  # seconds
GROWTH = 1.35  # of the interval after each bad trial
MAX_INTERVAL = 1.0
NEEDED = 2  # good trials in a row before an upstream returns


@dataclass(slots=True, eq=False)
class Trials:
    """One trial request at a time, with a growing interval after bad ones.

    Times are monotonic seconds.
    """

    interval: float = FIRST_INTERVAL
    due: float = 0
    good: int = 0
    ticket: int = 0

    def schedule(self, now: float) -> None:
        """Plan the first trial after an upstream was taken out."""
        self.good = 0
        self.ticket = 0
        self.due = now + self.interval

    def is_due(self, now: float) -> bool:
        """Return whether a trial may be sent now."""
        return not self.ticket and now >= self.due

    def started(self, ticket: int) -> None:
        """Remember the request that serves as the trial."""
        self.ticket = ticket

    def passed(self, now: float) -> bool:
        """Record a good trial; return whether the upstream may return."""
        self.ticket = 0
        self.good += 1
        self.due = now
        return self.good >= NEEDED

    def missed(self, now: float) -> None:
        """Record a bad trial."""
        self.interval = min(self.interval * GROWTH, MAX_INTERVAL)
        self.schedule(now)

    def reset(self) -> None:
        """Start from the first interval at the next removal."""
        self.interval = FIRST_INTERVAL
