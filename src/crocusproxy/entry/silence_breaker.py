"""Refusal of requests while no upstream responds."""

from ..placement.upstream_reach import UpstreamReach

#: Requests wait this long for upstreams that are silent, or a successor.
SILENCE_GRACE_SECONDS = 0.5
#: Then one request in this time is tried, and the others are refused at once.
SILENCE_TRIAL_INTERVAL_SECONDS = 0.1


class SilenceBreaker:
    """Circuit breaker for all upstreams of this instance together."""

    def __init__(self, reach: UpstreamReach) -> None:
        self.reach = reach
        self.next_trial_at = float()

    def refuses(self, now: float) -> bool:
        """Return whether a request would only wait for silent upstreams.

        ``now`` is in monotonic seconds.
        """
        if self.reach.silent_seconds() < SILENCE_GRACE_SECONDS:
            return False
        if now < self.next_trial_at:
            return True
        self.next_trial_at = now + SILENCE_TRIAL_INTERVAL_SECONDS
        return False
