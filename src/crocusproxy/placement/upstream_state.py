"""State of one upstream and the expected cost of its next request."""

from collections.abc import Callable
from dataclasses import dataclass, field
from math import exp, inf
from typing import ClassVar

from ..routes.model import RegisteredUpstream
from .change_notifier import ChangeNotifier
from .concurrency import LoadEffect
from .observed_slowdown import ObservedSlowdown
from .upstream_terms import UpstreamTerms

#: Seconds after which a reported slowdown has lost 63 % of its weight.
SLOWDOWN_DECAY_SECONDS = 0.07
#: Slowdown above which another upstream is preferred.
SLOW_THRESHOLD = 2.0
#: Slowdown assumed without a recent report. The dispatcher probes such an
#: upstream before it sends a request there.
TYPICAL_SLOWDOWN = 1.2
#: Extra time of a request to another failure domain.
REMOTE_SECONDS = 0.003
#: Cost of traffic to another failure domain, relative to the service time.
REMOTE_COST_SHARE = 0.25
#: Extra cost of a full upstream, relative to the service time; in proportion
#: to the slots in use otherwise.
BUSY_COST_SHARE = 0.1
#: Weight of the latest response in the failure rate.
FAILURE_WEIGHT = 0.2
INITIAL_BACKOFF_SECONDS = 0.1
MAX_BACKOFF_SECONDS = 2.0
SHED_BACKOFF_SECONDS = 0.03
#: Extra cost of a cold upstream with a limited rate, relative to the service
#: time. It exceeds that of a nearly full one in another failure domain.
COLD_COST_SHARE = 2.0
#: Factor of the assumed slowdown during warm-up.
WARM_UP_SLOWDOWN = 2.0
#: Upper limit of the failure rate in the cost.
MAX_FAILURE_RATE = 0.95
_MIN_SLOWDOWN = 0.1


def _unknown_time() -> float:
    return -inf


@dataclass(slots=True, eq=False)
class UpstreamState(ChangeNotifier):
    """Requests in flight and latest signals of one upstream.

    ``slowdown`` is the ratio of the service time to the usual one, as reported
    at ``reported_at``. Until ``backoff_until`` the upstream gets no request;
    ``terms`` may ask for a longer time. An upstream that another instance
    dispatches to is not ``is_owned``; one that others may dispatch to as well
    is not ``is_exclusive``. The failure domain of one that ``is_evacuated``
    gets no new requests. ``trial_offset`` is added to the limit of requests in
    flight during a trial. ``now`` returns the time. Times are monotonic
    seconds.
    """

    # These have no effect on the cost.
    unwatched: ClassVar[frozenset[str]] = frozenset(('on_change', 'probed_at'))

    entry: RegisteredUpstream
    is_remote: bool
    load_effect: LoadEffect
    trial_offset: int = 0
    warm_up_until: float = -inf
    reported_at: float = -inf
    slowdown: float = TYPICAL_SLOWDOWN
    failure_rate: float = 0
    consecutive_failures: int = 0
    backoff_until: float = -inf
    probed_at: float = -inf
    is_removed: bool = False
    is_owned: bool = True
    is_exclusive: bool = True
    is_evacuated: bool = False
    observed: ObservedSlowdown = field(default_factory=ObservedSlowdown)
    terms: UpstreamTerms = field(default_factory=UpstreamTerms)
    now: Callable[[], float] = _unknown_time

    @property
    def key(self) -> str:
        """Return the key of the upstream."""
        return self.entry.key

    @property
    def is_usable(self) -> bool:
        """Return whether new requests may be sent here."""
        if self.is_removed or self.entry.leaving or self.terms.is_leaving:
            return False
        if self.is_evacuated:
            return False
        # A rate limit binds all instances together, so only one may use it.
        return self.is_owned and (self.is_exclusive or not self.is_limited)

    @property
    def rate_limit(self) -> float | None:
        """Return the stated limit in requests per second, if there is one."""
        return self.terms.rate_limit

    @property
    def is_cold(self) -> bool:
        """Return whether the warm-up limits the rate of requests."""
        warm_up = self.terms.warm_up
        return warm_up.rate > 0 and warm_up.is_cold(self.now())

    @property
    def is_limited(self) -> bool:
        """Return whether a stated limit or the warm-up limits requests."""
        return self.rate_limit is not None or self.is_cold

    @property
    def in_flight(self) -> int:
        """Return the number of requests in flight."""
        return len(self.observed.running)

    @property
    def has_slot(self) -> bool:
        """Return whether a slot is free."""
        return len(self.observed.running) < self.entry.slots

    def is_backing_off(self, now: float) -> bool:
        """Return whether a backoff forbids requests and probes."""
        return now < self.backoff_until or now < self.terms.backoff_until

    def may_start(self, now: float) -> bool:
        """Return whether no backoff or rate limit forbids a request."""
        terms = self.terms
        if now < self.backoff_until or now < terms.backoff_until:
            return False
        if terms.limiter is not None and terms.limiter.next_at(now) > now:
            return False
        return terms.warm_up.next_at(now) <= now

    def report(self, slowdown: float, now: float) -> None:
        """Record a reported slowdown."""
        self.slowdown = max(slowdown, _MIN_SLOWDOWN)
        self.reported_at = now

    def expected_slowdown(self, now: float) -> float:
        """Return the expected ratio of the service time to the usual one."""
        weight = exp((self.reported_at - now) / SLOWDOWN_DECAY_SECONDS)
        assumed = self.assumed_slowdown(now)
        return weight * self.slowdown + (1 - weight) * assumed

    def assumed_slowdown(self, now: float) -> float:
        """Return the slowdown that is expected without a recent report."""
        if now < self.warm_up_until:
            return TYPICAL_SLOWDOWN * WARM_UP_SLOWDOWN
        return TYPICAL_SLOWDOWN

    def is_slow(self, now: float) -> bool:
        """Return whether the upstream is probably slow."""
        return (
            self.expected_slowdown(now) * self.observed.slowdown(now)
            > SLOW_THRESHOLD
        )

    def expected_time(self, service_time: float, now: float) -> float:
        """Return the expected duration of one more request, in seconds.

        ``service_time`` is its duration at the usual speed, in seconds.
        """
        # A request keeps the speed at which it started, even if the
        # upstream's speed changes meanwhile.
        time = (
            service_time
            * self.expected_slowdown(now)
            * self.observed.slowdown(now)
        )
        return time * self.load_effect.ratio(self.in_flight + 1)

    def cost(self, service_time: float, now: float) -> float:
        """Return the expected time, weighted for failures and locality."""
        if self.terms.warm_up.is_due(now):
            return 0
        time = self.expected_time(service_time, now)
        time += (
            BUSY_COST_SHARE * service_time * self.in_flight / self.entry.slots
        )
        if self.terms.warm_up.is_cold(now):
            time += COLD_COST_SHARE * service_time
        time /= 1 - min(self.failure_rate, MAX_FAILURE_RATE)
        return (
            time
            + (REMOTE_SECONDS + REMOTE_COST_SHARE * service_time)
            * self.is_remote
        )

    def succeeded(self) -> None:
        """Record a complete response."""
        self.consecutive_failures = 0
        self.failure_rate *= 1 - FAILURE_WEIGHT

    def failed(self, now: float) -> None:
        """Record a failure; the backoff doubles with each consecutive one.

        The upstream may be starting again.
        """
        self.terms.warm_up.assume_cold(now)
        self.consecutive_failures += 1
        self.failure_rate += FAILURE_WEIGHT * (1 - self.failure_rate)
        backoff = INITIAL_BACKOFF_SECONDS * 2 ** min(
            self.consecutive_failures - 1, 5
        )
        self.backoff_until = now + min(backoff, MAX_BACKOFF_SECONDS)

    def end_backoff(self) -> None:
        """Forget the failures in a row; they were not those of the upstream."""
        if self.consecutive_failures:
            self.forget_failures()
            self.terms.warm_up.end_assumption()

    def forget_failures(self) -> None:
        """End the backoff and forget all failures."""
        self.consecutive_failures = 0
        self.failure_rate = 0
        self.backoff_until = -inf

    def shed(self, now: float) -> None:
        """Record that the upstream shed a request."""
        self.failure_rate += FAILURE_WEIGHT * (1 - self.failure_rate) / 2
        self.backoff_until = max(self.backoff_until, now + SHED_BACKOFF_SECONDS)
