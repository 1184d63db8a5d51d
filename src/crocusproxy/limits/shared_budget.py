"""A budget of repeats that all instances share."""

from collections import deque

#: Share of the allowance that is left to what other instances spend.
RESERVE = 0.2


class RepeatBudget:
    """Bounds the repeats for one service within any window of ``window``.

    ``ratio`` of the requests and ``slack`` repeats are allowed in a window of
    that many seconds, summed over all instances. The instance that serves a
    site spends most of it. The slack of each one grows with its own requests,
    and so slowly that all instances together stay within ``ratio`` of all
    requests, however these are divided among them.
    """

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window = window
        self.slack_growth = ratio * RESERVE / (1 - RESERVE)
        self.requests: deque[float] = deque()
        self.repeats: deque[float] = deque()

    def count_request(self, now: float) -> None:
        """Count a request of a caller at monotonic second ``now``."""
        self.requests.append(now)

    def try_spend(self, now: float) -> bool:
        """Count one repeat if it is within the budget."""
        _drop_before(self.requests, now - self.window)
        _drop_before(self.repeats, now - self.window)
        share = 1 - RESERVE
        slack = min(self.slack, self.slack_growth * len(self.requests))
        allowed = share * (self.ratio * len(self.requests) + slack)
        if len(self.repeats) + 1 > allowed:
            return False
        self.repeats.append(now)
        return True


def _drop_before(times: deque[float], oldest: float) -> None:
    while times and times[0] < oldest:
        times.popleft()
