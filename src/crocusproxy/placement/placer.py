"""Placing of the requests of one service on its upstreams.

Requests that find no room wait in order of priority and deadline. What can't
be served in time is refused while the caller can still use the refusal. The
load that this answers: servers with few slots whose speed changes several times
a second, near or beyond their capacity.
"""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from math import inf
from random import Random

from ..clock import Clock
from ..routes.model import RegisteredUpstream
from .upstream_state import UpstreamState

#: Work differs from request to request; some need only this share of it.
LEAST_WORK = 0.7
#: Few requests need more than this share of it, on a nearly full upstream too.
SAFE_WORK = 1.7
#: Requests that may wait, for each slot; more could not be served in time.
QUEUE_SHARE = 2
MIN_QUEUE = 8
#: Step of the median of the times, relative to the expected ones.
RATIO_STEP = 0.01
#: How many waiting requests a free slot is offered to.
MAX_OFFERS = 16
#: Upstreams that differ by less than this share of the work count as equal.
NEAR_EQUAL = 0.05


@dataclass(frozen=True, slots=True)
class Demand:
    """What the choice for one request depends on.

    ``work`` is how long it takes at the usual speed, in seconds. The response
    must be there at monotonic second ``give_up_at``, and should be there at
    ``target_at``. ``excluded`` holds keys of upstreams that have been tried.
    """

    priority: int
    work: float
    target_at: float
    give_up_at: float
    excluded: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True, eq=False)
class Placed:
    """The request goes to ``upstream`` now and counts there until released."""

    upstream: UpstreamState
    ticket: int


@dataclass(frozen=True, slots=True)
class Refused:
    """The request is not served; ``code`` says why."""

    code: str
    retry_after: timedelta


Decision = Placed | Refused
_NO_UPSTREAM = Refused('no_upstream', timedelta(milliseconds=200))


@dataclass(slots=True, eq=False)
class Waiting:
    """A request in the queue; ``on_decision`` is called once, with its end."""

    demand: Demand
    since: float
    on_decision: Callable[[Decision], None]

    def can_meet_target(self, now: float) -> bool:
        """Return whether the request can still meet its target."""
        return now + LEAST_WORK * self.demand.work <= self.demand.target_at

    def rank(self, now: float) -> tuple[bool, int, bool, float]:
        """Return the order in which requests leave the queue.

        What can't meet its target goes behind all that still can: a late
        response is worth little to its caller and would make others late. Of
        equal priority, what will probably meet it goes before what may.
        """
        demand = self.demand
        is_close = now + SAFE_WORK * demand.work > demand.target_at
        late = not self.can_meet_target(now)
        return late, demand.priority, is_close, demand.target_at


class ServicePlacer:
    """The upstreams of one service and the requests that wait for them."""

    def __init__(
        self, service: str, failure_domain: str, clock: Clock, random: Random
    ) -> None:
        self.service = service
        self.failure_domain = failure_domain
        self.clock = clock
        self.random = random
        self.upstreams: dict[str, UpstreamState] = {}
        self.queue: list[Waiting] = []
        self.usual_ratio = 1.0

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self.clock.monotonic().total_seconds()

    def put(self, entry: RegisteredUpstream) -> None:
        """Add an upstream, or replace what is registered of it."""
        state = self.upstreams.get(entry.key)
        if state is not None and _is_same_start(state.entry, entry):
            state.entry = entry
        else:
            if state is not None:
                state.is_removed = True
            is_remote = entry.failure_domain != self.failure_domain
            state = UpstreamState(entry, is_remote)
            self.upstreams[entry.key] = state
        warm_up = entry.warm_up.total_seconds()
        state.cold_until = self.now() + warm_up if warm_up else -inf
        self.process_queue()

    def remove(self, key: str) -> None:
        """Forget an upstream; its requests in flight go on."""
        state = self.upstreams.pop(key, None)
        if state is not None:
            state.is_removed = True

    def place(
        self, demand: Demand, on_decision: Callable[[Decision], None]
    ) -> Waiting:
        """Decide now, or when room is there or time has run out."""
        now = self.now()
        waiting = Waiting(demand, now, on_decision)
        if not self._has_upstream(demand):
            on_decision(_NO_UPSTREAM)
            return waiting
        if not self.queue and self._place_now(waiting, now):
            return waiting
        self.queue.append(waiting)
        self.process_queue()
        return waiting

    def withdraw(self, waiting: Waiting) -> None:
        """Take a request out of the queue without a decision."""
        if waiting in self.queue:
            self.queue.remove(waiting)

    def release(self, placed: Placed, *, answered: bool = False) -> None:
        """Count a request as ended at its upstream."""
        now = self.now()
        ratio = placed.upstream.observed.end(
            placed.ticket, now, answered=answered
        )
        if answered:
            step = RATIO_STEP if ratio > 1 else -RATIO_STEP
            self.usual_ratio *= 1 + step
        if self.queue:
            self.process_queue()

    def process_queue(self) -> None:
        """Place what has room and refuse what has no time left."""
        now = self.now()
        self.queue.sort(key=lambda waiting: waiting.rank(now))
        self._place_queued(now)
        for waiting in tuple(self.queue):
            if now + waiting.demand.work >= waiting.demand.give_up_at:
                self._refuse(waiting)
        while len(self.queue) > self._queue_limit():
            self._refuse(self.queue[-1])

    def _has_upstream(self, demand: Demand) -> bool:
        return any(
            state.is_usable and state.key not in demand.excluded
            for state in self.upstreams.values()
        )

    def _place_now(self, waiting: Waiting, now: float) -> bool:
        """Place a request that finds the queue empty, the usual case."""
        state = self._choose(waiting, self._offered(now), now)
        if state is None:
            return False
        waiting.on_decision(self._start(state, waiting.demand.work, now))
        return True

    def _place_queued(self, now: float) -> None:
        """Go through the queue while there are free slots.

        The cost of a call must not grow with the queue: a free slot that the
        first requests do not want is not offered to all others.
        """
        free = self._offered(now)
        for waiting in tuple(self.queue[:MAX_OFFERS]):
            if not free:
                break
            state = self._choose(waiting, free, now)
            if state is not None:
                self.queue.remove(waiting)
                placed = self._start(state, waiting.demand.work, now)
                free = [one for one in free if one.has_slot]
                waiting.on_decision(placed)

    def _refuse(self, waiting: Waiting) -> None:
        self.queue.remove(waiting)
        waiting.on_decision(self._overloaded())

    def _queue_limit(self) -> int:
        slots = sum(
            state.entry.slots
            for state in self.upstreams.values()
            if state.is_usable
        )
        return max(QUEUE_SHARE * slots, MIN_QUEUE)

    def _overloaded(self) -> Refused:
        return Refused('overloaded', timedelta(milliseconds=100))

    def _start(self, state: UpstreamState, work: float, now: float) -> Placed:
        # What all upstreams need more than expected is nobody's slowness.
        expected = self.usual_ratio * work
        expected *= max(state.expected_slowdown(now), 1)
        return Placed(state, state.observed.start(now, expected))

    def _offered(self, now: float) -> list[UpstreamState]:
        """Return the upstreams with a free slot that are worth sending to.

        Work that begins on a slow upstream holds its slot for several times as
        long, also after the upstream is fast again. A slow one is therefore
        used only if all are slow.
        """
        usable = [
            state
            for state in self.upstreams.values()
            if state.is_usable and now >= state.backoff_until
        ]
        fast = [state for state in usable if not state.is_slow(now)]
        return [state for state in fast or usable if state.has_slot]

    def _choose(
        self, waiting: Waiting, free: list[UpstreamState], now: float
    ) -> UpstreamState | None:
        """Return the best of the upstreams with room, or None to wait."""
        work = waiting.demand.work
        near = NEAR_EQUAL * work
        best = inf
        offers: list[tuple[float, UpstreamState]] = []
        for state in free:
            if state.key in waiting.demand.excluded:
                continue
            if not _is_worth_sending(state, waiting, now):
                continue
            cost = state.cost(work, now)
            if cost <= best + near:
                offers.append((cost, state))
                best = min(best, cost)
        equal = [state for cost, state in offers if cost <= best + near]
        return self.random.choice(equal) if equal else None


def _is_worth_sending(
    state: UpstreamState, waiting: Waiting, now: float
) -> bool:
    """Return whether an upstream is fast enough for a request.

    A request that can still meet its target waits rather than go to a slow
    upstream at which it would miss it.
    """
    if not state.is_slow(now):
        return True
    demand = waiting.demand
    due = (
        demand.target_at if waiting.can_meet_target(now) else demand.give_up_at
    )
    return now + state.expected_time(demand.work, now) <= due


def _is_same_start(one: RegisteredUpstream, other: RegisteredUpstream) -> bool:
    return (one.started_at, one.address) == (other.started_at, other.address)
