"""A budget of repeats that all instances share."""

from collections import deque

#: Share of the allowance that is left to what other instances spend.
RESERVE = 0.2
#: An instance has the whole slack once it has served so many times as many
#: requests, so that instances that take over from each other don't add up.
SLACK_GROWTH = 0.1


class RepeatBudget:
    """Bounds the repeats for one service within any window of ``window``.

    ``ratio`` of the requests and ``slack`` repeats are allowed in a window of
    that many seconds, summed over all instances. The instance that serves a
    site spends most of it; an instance whose requests are few has no slack.
    """

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self.ratio = ratio
        self.slack = slack
        self.window = window
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
        # The slack grows with the requests, so that idle instances have none.
        slack = min(self.slack, SLACK_GROWTH * len(self.requests))
        allowed = share * (self.ratio * len(self.requests) + slack)
        if len(self.repeats) + 1 > allowed:
            return False
        self.repeats.append(now)
        return True


def _drop_before(times: deque[float], oldest: float) -> None:
    while times and times[0] < oldest:
        times.popleft()
