"""How often the requests of each priority are served."""

from .decayed_rate import DecayedRate

#: Time over which the shares are averaged.
SHARE_SECONDS = 5.0
#: Decisions from which a share is known.
MIN_DECISIONS = 10
#: Difference by which the share of a more urgent priority should be higher. Its
#: callers have less time to try again, and more of its late responses miss
#: their deadline.
MIN_SHARE_LEAD = 0.1
#: Share from which a priority is never behind, as few of its requests are lost.
SUFFICIENT_SHARE = 0.95


class ServedShares:
    """Shares of placed requests among the decided ones, by priority."""

    def __init__(self) -> None:
        self.placed: dict[int, DecayedRate] = {}
        self.decided: dict[int, DecayedRate] = {}

    def count(self, priority: int, now: float, *, is_placed: bool) -> None:
        """Count a decision."""
        if priority not in self.decided:
            self.placed[priority] = DecayedRate(SHARE_SECONDS)
            self.decided[priority] = DecayedRate(SHARE_SECONDS)
        self.decided[priority].count(now)
        self.placed[priority].count(now, is_placed)

    def share(self, priority: int) -> float | None:
        """Return the share of placed requests, None if it is unknown."""
        decided = self.decided.get(priority)
        if decided is None or decided.total < MIN_DECISIONS:
            return None
        # Both totals are as of the same moment.
        return self.placed[priority].total / decided.total

    def is_behind(self, priority: int) -> bool:
        """Return whether less urgent requests are served about as often."""
        own = self.share(priority)
        if own is None or own >= SUFFICIENT_SHARE:
            return False
        others = [
            self.share(other) for other in self.decided if other > priority
        ]
        return own < MIN_SHARE_LEAD + max(
            (share for share in others if share is not None), default=-1
        )
