"""Detects stragglers from the service times of finished and open requests.

The test is a cumulative sum, in continuous time, of the log-likelihood ratio
between exponential service times at the upstream's typical mean and at
``SLOWDOWN`` times it: the evidence grows while requests run and drops at each
end, so a frozen upstream is noticed too and the number of slots does not
matter. Times are monotonic seconds.
"""

from dataclasses import dataclass
from math import exp, inf, log

SLOWDOWN = 3.0
WATCHED = 3.0  # below this level an upstream costs nothing extra
SUSPECT = 6.5  # level at which slow and healthy are equally likely
EJECTED = 10.0
CEILING = 12.0
MAX_RATIO = 10.0  # a longer age adds nothing: one request must not eject
TYPICAL_GAIN = 1 / 256
FIRST_SAMPLES = 32  # before that the mean of all samples is used
GOOD_RATIO = 2.0  # a trial within twice the typical time is good

_GROWTH = 1 - 1 / SLOWDOWN  # per running request and typical service time
_DROP = log(SLOWDOWN)
_MAX_EXPONENT = 50.0
_SHORTEST = 1e-6  # seconds


@dataclass(slots=True, eq=False)
class SlownessTest:
    """Evidence that one upstream is slower than its own history.

    ``typical`` is the mean service time, 0 while unknown; ``running`` is the
    number of requests whose age adds evidence since ``at``.
    """

    typical: float = 0
    samples: int = 0
    evidence: float = 0
    running: int = 0
    at: float = 0

    @property
    def has_history(self) -> bool:
        """Return whether there are enough samples to compare with."""
        return self.samples >= FIRST_SAMPLES

    def level(self, now: float) -> float:
        """Return the evidence, with the running requests up to now."""
        if not self.has_history:
            return 0
        ratio = min((now - self.at) / self.typical, MAX_RATIO)
        return min(self.evidence + self.running * ratio * _GROWTH, CEILING)

    def advance(self, now: float, running: int) -> None:
        """Take in the time since the last event and the running requests."""
        self.evidence = self.level(now)
        self.at = now
        self.running = running

    def finished(self, service_time: float, learn: bool) -> None:
        """Weigh the end of a request; ``learn`` updates the typical time."""
        if self.has_history:
            self.evidence = max(self.evidence - _DROP, 0)
        if learn:
            self.samples += 1
            gain = max(1 / self.samples, TYPICAL_GAIN)
            # A clock that stands still must not make the time a divisor of 0.
            measured = max(service_time, _SHORTEST)
            self.typical += (measured - self.typical) * gain

    def is_good(self, service_time: float) -> bool:
        """Return whether a trial's service time looks healthy."""
        if not self.has_history:
            return True
        return service_time <= self.typical * GOOD_RATIO

    def likelihood(self, level: float) -> float:
        """Return the probability that the upstream is slow."""
        return 1 / (1 + exp(min(SUSPECT - level, _MAX_EXPONENT)))

    def alarm_after(self) -> float:
        """Return in how many seconds the level reaches ``WATCHED``."""
        if not self.has_history:
            return inf
        missing = WATCHED - self.evidence
        if missing <= 0:
            return 0
        if not self.running:
            return inf
        return missing * self.typical / (self.running * _GROWTH)
