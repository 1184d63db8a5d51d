"""Detects slow upstreams by the service times of finished and open requests.

The test is a CUSUM, in continuous time, of the log-likelihood ratio between
exponential service times at the upstream's typical mean and at
``SLOWDOWN_RATIO`` times it. The evidence grows while requests run and drops at
each end, so it also detects frozen upstreams and does not depend on the number
of slots. Times are monotonic seconds.
"""

from dataclasses import dataclass
from math import exp, inf, log

SLOWDOWN_RATIO = 3.0
WATCH_LEVEL = 3.0  # an upstream below this level has no extra cost
SUSPECT_LEVEL = 6.5  # level at which slow and healthy are equally likely
EJECT_LEVEL = 10.0
MAX_LEVEL = 12.0
# In typical service times: a longer age of a request adds no evidence, so that
# a single long request does not eject an upstream.
MAX_RATIO = 10.0
TYPICAL_GAIN = 1 / 256  # weight of the latest sample in the mean
MIN_SAMPLES = 32  # with fewer, the mean of all samples is used
GOOD_RATIO = 2.0  # limit of a good trial, in typical service times

# Per running request and typical service time.
_EVIDENCE_GROWTH = 1 - 1 / SLOWDOWN_RATIO
# Per finished request.
_EVIDENCE_DROP = log(SLOWDOWN_RATIO)
_MAX_EXPONENT = 50.0
_MIN_SECONDS = 1e-6


@dataclass(slots=True, eq=False)
class SlownessTest:
    """Evidence that one upstream is slower than its own history.

    ``typical_seconds`` is the mean service time, 0 while unknown;
    ``running_count`` is the number of requests whose age adds evidence since
    ``updated_at``.
    """

    typical_seconds: float = 0
    sample_count: int = 0
    evidence: float = 0
    running_count: int = 0
    updated_at: float = 0

    @property
    def has_history(self) -> bool:
        """Return whether there are enough samples to compare with."""
        return self.sample_count >= MIN_SAMPLES

    def level(self, now: float) -> float:
        """Return the evidence, including the running requests up to now."""
        if not self.has_history:
            return 0
        ratio = min((now - self.updated_at) / self.typical_seconds, MAX_RATIO)
        return min(
            self.evidence + self.running_count * ratio * _EVIDENCE_GROWTH,
            MAX_LEVEL,
        )

    def advance(self, now: float, running_count: int) -> None:
        """Add the evidence since the last event and set ``running_count``."""
        self.evidence = self.level(now)
        self.updated_at = now
        self.running_count = running_count

    def finished(self, service_time: float, learn: bool) -> None:
        """Record the end of a request; ``learn`` updates the typical time."""
        if self.has_history:
            self.evidence = max(self.evidence - _EVIDENCE_DROP, 0)
        if learn:
            self.sample_count += 1
            gain = max(1 / self.sample_count, TYPICAL_GAIN)
            # Avoids a division by 0 if the clock did not advance.
            seconds = max(service_time, _MIN_SECONDS)
            self.typical_seconds += (seconds - self.typical_seconds) * gain

    def is_good(self, service_time: float) -> bool:
        """Return whether a trial's service time is within the limit."""
        if not self.has_history:
            return True
        return service_time <= self.typical_seconds * GOOD_RATIO

    def probability(self, level: float) -> float:
        """Return the probability that the upstream is slow."""
        return 1 / (1 + exp(min(SUSPECT_LEVEL - level, _MAX_EXPONENT)))

    def seconds_to_watch_level(self) -> float:
        """Return the seconds until the level reaches ``WATCH_LEVEL``."""
        if not self.has_history:
            return inf
        missing = WATCH_LEVEL - self.evidence
        if missing <= 0:
            return 0
        if not self.running_count:
            return inf
        return (
            missing
            * self.typical_seconds
            / (self.running_count * _EVIDENCE_GROWTH)
        )
