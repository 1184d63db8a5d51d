"""State of one upstream in a balancer."""

from dataclasses import dataclass, field
from math import exp, inf

from ..config.model import Upstream
from . import slowness as detection
from .circuit_breaker import CircuitBreaker
from .external_load import ExternalLoad
from .trials import Trials

SLOW_START_SECONDS = 3.0  # until a new upstream gets its full share
REJECTION_DECAY_SECONDS = 0.1  # until a rejection has lost 63 % of its weight
DRAIN_NOTICE_SECONDS = 60.0  # from the last notice to a trial request
MAX_REJECTION_LOAD = 8.0  # requests
STUCK_RATIO = 0.6  # typical service times since the request was sent
SLOW_PROBABILITY_THRESHOLD = 0.5
STABLE_SECONDS = 2.0  # without ejection, until the trial interval is reset


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request in flight; ``started_at`` is None while it waits upstream.

    An upstream serves in order of arrival, so a request starts when it is sent
    to a free slot or when an earlier one ends. Times are monotonic seconds.
    """

    sent_at: float
    started_at: float | None
    is_crash_suspect: bool = False


@dataclass(slots=True, eq=False)
class UpstreamState:
    """Open requests and health signals of one upstream.

    ``requests`` holds the open requests by ticket, in order of dispatch.
    ``check_at`` is the time of the next slowness check; ``slow_probability`` is
    the probability that the upstream is slow, 0 below the watch level.
    ``is_ejected`` is set while the upstream gets trial requests only, and
    ``ejected_for_failures`` if failures, not slowness, are the reason.
    ``may_have_restarted`` is set by failures and drains; it leads to a slow
    start, which begins at ``slow_start_at``. ``rejection_load`` is the load, in
    requests, that recent rejections stood for at ``rejected_at``. Times are
    monotonic seconds.
    """

    upstream: Upstream
    is_remote: bool
    draining_until: float = -inf
    is_ejected: bool = False
    ejected_for_failures: bool = False
    may_have_restarted: bool = False
    backoff_until: float = 0
    slow_start_at: float = -SLOW_START_SECONDS
    check_at: float = inf
    slow_probability: float = 0
    readmitted_at: float = -inf
    last_ticket: int = 0
    rejection_load: float = 0
    rejected_at: float = 0
    requests: dict[int, OpenRequest] = field(default_factory=dict)
    slowness: detection.SlownessTest = field(
        default_factory=detection.SlownessTest
    )
    breaker: CircuitBreaker = field(default_factory=CircuitBreaker)
    trials: Trials = field(default_factory=Trials)
    external_load: ExternalLoad = field(default_factory=ExternalLoad)

    @property
    def key(self) -> str:
        """Return the key of the upstream in the configuration."""
        return self.upstream.key

    @property
    def in_flight(self) -> int:
        """Return the number of this process's open requests."""
        return len(self.requests)

    @property
    def is_unhealthy(self) -> bool:
        """Return whether the upstream is ejected or probably slow."""
        return (
            self.is_ejected
            or self.slow_probability > SLOW_PROBABILITY_THRESHOLD
        )

    @property
    def has_crash_suspect(self) -> bool:
        """Return whether an open request may crash upstreams."""
        return any(
            request.is_crash_suspect for request in self.requests.values()
        )

    def load(self, now: float) -> float:
        """Return the number of own, external and recently rejected requests."""
        load = float(len(self.requests))
        if self.external_load.estimate > 0:
            load += self.external_load.load(now)
        if self.rejection_load:
            load += self.rejection_load * exp(
                (self.rejected_at - now) / REJECTION_DECAY_SECONDS
            )
        return load

    def slow_start_share(self, now: float) -> float:
        """Return the share of the capacity that slow start allows to use."""
        return min((now - self.slow_start_at) / SLOW_START_SECONDS, 1.0)

    def open_request(self, now: float, is_crash_suspect: bool = False) -> int:
        """Record a dispatched request and return its ticket."""
        self.last_ticket += 1
        waits = len(self.requests) >= self.upstream.slots
        self.requests[self.last_ticket] = OpenRequest(
            now, None if waits else now, is_crash_suspect
        )
        if self.is_ejected:
            self.trials.started(self.last_ticket)
        self.schedule_check(now)
        return self.last_ticket

    def close_request(self, ticket: int, now: float) -> OpenRequest | None:
        """Remove a request and start the next one in order of arrival."""
        closed = self.requests.pop(ticket, None)
        for index, request in enumerate(self.requests.values()):
            if index >= self.upstream.slots:
                break
            if request.started_at is None:
                request.started_at = now
        return closed

    def record_rejection(self, now: float) -> None:
        """Count a rejection as load, with decaying weight."""
        remaining = self.rejection_load * exp(
            (self.rejected_at - now) / REJECTION_DECAY_SECONDS
        )
        self.rejection_load = min(remaining + 1, MAX_REJECTION_LOAD)
        self.rejected_at = now

    def count_running(self, now: float) -> int:
        """Count running requests whose age still adds evidence."""
        oldest = now - detection.MAX_RATIO * self.slowness.typical_seconds
        return sum(
            request.started_at is not None and request.started_at > oldest
            for request in self.requests.values()
        )

    def is_stuck(self, ticket: int, now: float) -> bool:
        """Return whether a request has been open for too long.

        A trial gets as much time as a good one may take.
        """
        if not self.slowness.has_history:
            return False
        is_trial = self.is_ejected and ticket == self.trials.ticket
        ratio = detection.GOOD_RATIO if is_trial else STUCK_RATIO
        return (
            now - self.requests[ticket].sent_at
            > ratio * self.slowness.typical_seconds
        )

    def schedule_check(self, now: float) -> None:
        """Schedule the next check of the ages of open requests."""
        self.slow_probability = 0
        self.slowness.advance(now, self.count_running(now))
        self.check_at = now + self.slowness.seconds_to_watch_level()

    def check_slowness(self, now: float) -> None:
        """Check the ages of running requests; eject a slow upstream."""
        self.slowness.advance(now, self.count_running(now))
        level = self.slowness.evidence
        if level < detection.WATCH_LEVEL:
            self.slow_probability = 0
            self.schedule_check(now)
            return
        self.slow_probability = self.slowness.probability(level)
        if level >= detection.EJECT_LEVEL or not self.requests:
            self._eject_or_reset(now)

    def eject(self, now: float) -> None:
        """Send trial requests only from now on."""
        if self.is_ejected:
            return
        if now - self.readmitted_at > STABLE_SECONDS:
            self.trials.reset()
        self.is_ejected = True
        self.ejected_for_failures = self.breaker.is_open
        self.trials.schedule(now)

    def drain(self, now: float) -> None:
        """Send no requests until the notice expires, then trial requests."""
        self.draining_until = now + DRAIN_NOTICE_SECONDS
        self.may_have_restarted = True
        self.breaker.trip()
        self.eject(now)

    def readmit(self, now: float) -> None:
        """Send ordinary requests again, keeping part of the evidence.

        An upstream that failed or drained has probably been restarted and gets
        a slow start; one that shed load or was slow has not.
        """
        self.is_ejected = False
        if self.may_have_restarted:
            self.slow_start_at = now
        self.readmitted_at = now
        self.may_have_restarted = False
        self.slowness.evidence = min(
            self.slowness.evidence, detection.SUSPECT_LEVEL / 2
        )
        self.breaker.reset()

    def _eject_or_reset(self, now: float) -> None:
        """Eject a slow upstream, or clear the probability of an idle one.

        The cost of a probably slow upstream keeps requests away. Without an
        ejection it gets no trial requests either, so the evidence of an idle
        upstream would never change.
        """
        if self.slow_probability > SLOW_PROBABILITY_THRESHOLD:
            self.eject(now)
        else:
            self.slow_probability = 0
