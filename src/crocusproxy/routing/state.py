"""What one balancer knows of one upstream."""

from dataclasses import dataclass, field
from math import exp, inf

from ..config.model import Upstream
from . import slowness as limits
from .circuit_breaker import CircuitBreaker
from .external_load import ExternalLoad
from .trials import Trials

SLOW_START_SECONDS = 3.0  # seconds until a cold upstream gets its full share
PENALTY_FADE = 0.1  # seconds in which a rejection loses 63 % of its weight
DRAIN_MEMORY = 60.0  # seconds without a new notice until a trial
MAX_PENALTY = 8.0
STUCK_AGE = 0.6  # service times since the request was sent
SUSPECT_LIKELIHOOD = 0.5
STEADY_AFTER = 2.0  # seconds without removal that reset the trial interval


@dataclass(slots=True, eq=False)
class OpenRequest:
    """A request in flight; ``began`` is None while it waits upstream.

    An upstream serves in order of arrival, so a request begins when it is
    sent to a free slot or when an earlier one ends. Monotonic seconds.
    """

    sent: float
    began: float | None
    is_suspect: bool = False


@dataclass(slots=True, eq=False)
class UpstreamState:
    """Open requests, signals and marks of one upstream.

    ``ejected`` is set while the upstream gets trial requests only,
    ``was_failing`` if failures and not slowness are the reason. ``may_be_cold``
    is set while the latest sign is that of a restart. Times are monotonic
    seconds.
    """

    upstream: Upstream
    is_remote: bool
    draining_until: float = -inf
    ejected: bool = False
    was_failing: bool = False
    may_be_cold: bool = False
    backoff_until: float = 0
    cold_since: float = -SLOW_START_SECONDS
    alarm_at: float = inf
    slow: float = 0
    returned_at: float = -inf
    last_ticket: int = 0
    penalty: float = 0
    penalty_at: float = 0
    open: dict[int, OpenRequest] = field(default_factory=dict)
    slowness: limits.SlownessTest = field(default_factory=limits.SlownessTest)
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
        return len(self.open)

    @property
    def is_suspect(self) -> bool:
        """Return whether the upstream is out or probably slow."""
        return self.ejected or self.slow > SUSPECT_LIKELIHOOD

    @property
    def holds_suspect(self) -> bool:
        """Return whether a request that may crash upstreams is open here."""
        return any(request.is_suspect for request in self.open.values())

    def load(self, now: float) -> float:
        """Return own, external and recently rejected requests."""
        load = float(len(self.open))
        if self.external_load.estimate > 0:
            load += self.external_load.load(now)
        if self.penalty:
            load += self.penalty * exp((self.penalty_at - now) / PENALTY_FADE)
        return load

    def warmth(self, now: float) -> float:
        """Return the share of its capacity that a cold upstream may use."""
        return min((now - self.cold_since) / SLOW_START_SECONDS, 1.0)

    def open_request(self, now: float, is_suspect: bool = False) -> int:
        """Record a dispatched request and return its ticket."""
        self.last_ticket += 1
        waits = len(self.open) >= self.upstream.slots
        self.open[self.last_ticket] = OpenRequest(
            now, None if waits else now, is_suspect
        )
        if self.ejected:
            self.trials.started(self.last_ticket)
        self.watch(now)
        return self.last_ticket

    def close_request(self, ticket: int, now: float) -> OpenRequest | None:
        """Forget a request; the next one in line begins."""
        closed = self.open.pop(ticket, None)
        for index, request in enumerate(self.open.values()):
            if index >= self.upstream.slots:
                break
            if request.began is None:
                request.began = now
        return closed

    def reject(self, now: float) -> None:
        """Count a rejection as load for a while."""
        left = self.penalty * exp((self.penalty_at - now) / PENALTY_FADE)
        self.penalty = min(left + 1, MAX_PENALTY)
        self.penalty_at = now

    def count_running(self, now: float) -> int:
        """Count running requests whose age still adds evidence."""
        oldest = now - limits.MAX_RATIO * self.slowness.typical
        return sum(
            request.began is not None and request.began > oldest
            for request in self.open.values()
        )

    def is_stuck(self, ticket: int, now: float) -> bool:
        """Return whether a request has been open for too long.

        A trial gets as much time as a good one may take.
        """
        if not self.slowness.has_history:
            return False
        is_trial = self.ejected and ticket == self.trials.ticket
        ratio = limits.GOOD_RATIO if is_trial else STUCK_AGE
        return now - self.open[ticket].sent > ratio * self.slowness.typical

    def watch(self, now: float) -> None:
        """Plan when the ages of open requests have to be looked at."""
        self.slow = 0
        self.slowness.advance(now, self.count_running(now))
        self.alarm_at = now + self.slowness.alarm_after()

    def look(self, now: float) -> None:
        """Weigh the ages of running requests; take out a slow upstream."""
        self.slowness.advance(now, self.count_running(now))
        level = self.slowness.evidence
        if level < limits.WATCHED:
            self.slow = 0
            self.watch(now)
            return
        self.slow = self.slowness.likelihood(level)
        if level >= limits.EJECTED or not self.open:
            self._decide(now)

    def eject(self, now: float) -> None:
        """Send trial requests only from now on."""
        if self.ejected:
            return
        if now - self.returned_at > STEADY_AFTER:
            self.trials.reset()
        self.ejected = True
        self.was_failing = self.breaker.is_open
        self.trials.schedule(now)

    def drain(self, now: float) -> None:
        """Send nothing until the notice is old, then start with trials."""
        self.draining_until = now + DRAIN_MEMORY
        self.may_be_cold = True
        self.breaker.trip()
        self.eject(now)

    def readmit(self, now: float) -> None:
        """Send ordinary requests again, on probation.

        An upstream that failed or drained has probably been restarted; one
        that shed load or was slow has not.
        """
        self.ejected = False
        if self.may_be_cold:
            self.cold_since = now
        self.returned_at = now
        self.may_be_cold = False
        self.slowness.evidence = min(self.slowness.evidence, limits.SUSPECT / 2)
        self.breaker.reset()

    def _decide(self, now: float) -> None:
        """Take a slow upstream out, or let an idle one prove itself.

        Nothing would change the evidence against an idle upstream that is
        avoided but gets no trials.
        """
        if self.slow > SUSPECT_LIKELIHOOD:
            self.eject(now)
        else:
            self.slow = 0
