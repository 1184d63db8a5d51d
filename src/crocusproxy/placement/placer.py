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

#: Requests beyond the slots of an upstream, relative to the slots.
DEPTH_SHARE = 0.5
NEAR_EQUAL = 0.05  # service times
#: A slower upstream is not worth sending to while a request can still wait.
MAX_WAIT_SHARE = 0.5  # of the time until the request must be answered


@dataclass(frozen=True, slots=True)
class Demand:
    """What the choice for one request depends on.

    ``give_up_at`` is the monotonic time in seconds by which the response must
    be back, ``target_at`` the one by which it should be. ``excluded`` holds
    keys of upstreams that have been tried.
    """

    priority: int
    target_at: float
    give_up_at: float
    idempotent: bool = True
    excluded: frozenset[str] = frozenset()


@dataclass(frozen=True, slots=True, eq=False)
class Placed:
    """The request goes to ``upstream`` now and counts there until released."""

    upstream: UpstreamState


@dataclass(frozen=True, slots=True)
class Refused:
    """The request is not served; ``code`` says why."""

    code: str
    retry_after: timedelta


Decision = Placed | Refused
_NO_UPSTREAM = Refused('no_upstream', timedelta(milliseconds=200))


@dataclass(slots=True, eq=False)
class Waiting:
    """A request in the queue; ``decide`` is called once, with its end."""

    demand: Demand
    since: float
    decide: Callable[[Decision], None]

    @property
    def rank(self) -> tuple[int, float]:
        """Return the order in which requests leave the queue."""
        return self.demand.priority, self.demand.target_at


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
                state.gone = True
            state = UpstreamState(
                entry, entry.failure_domain != self.failure_domain
            )
            self.upstreams[entry.key] = state
        warm_up = entry.warm_up.total_seconds()
        state.cold_until = self.now() + warm_up if warm_up else -inf
        self.pump()

    def remove(self, key: str) -> None:
        """Forget an upstream; its requests in flight go on."""
        state = self.upstreams.pop(key, None)
        if state is not None:
            state.gone = True

    def place(
        self, demand: Demand, decide: Callable[[Decision], None]
    ) -> Waiting:
        """Decide now, or when room is there or time has run out."""
        now = self.now()
        waiting = Waiting(demand, now, decide)
        if not self._candidates(demand):
            decide(_NO_UPSTREAM)
            return waiting
        self.queue.append(waiting)
        self.queue.sort(key=lambda one: one.rank)
        self.pump()
        return waiting

    def withdraw(self, waiting: Waiting) -> None:
        """Take a request out of the queue without a decision."""
        if waiting in self.queue:
            self.queue.remove(waiting)

    def release(self, placed: Placed) -> None:
        """Count a request as ended at its upstream."""
        placed.upstream.in_flight -= 1
        self.pump()

    def pump(self) -> None:
        """Place what has room and refuse what has waited for too long."""
        now = self.now()
        for waiting in tuple(self.queue):
            state = self._choose(waiting.demand, now)
            if state is not None:
                self.queue.remove(waiting)
                state.in_flight += 1
                waiting.decide(Placed(state))
            elif now >= self._latest_start(waiting):
                self.queue.remove(waiting)
                waiting.decide(self._overloaded())

    def _latest_start(self, waiting: Waiting) -> float:
        demand = waiting.demand
        return waiting.since + MAX_WAIT_SHARE * (
            demand.give_up_at - waiting.since
        )

    def _overloaded(self) -> Refused:
        return Refused('overloaded', timedelta(milliseconds=100))

    def _candidates(self, demand: Demand) -> list[UpstreamState]:
        return [
            state
            for state in self.upstreams.values()
            if state.usable and state.key not in demand.excluded
        ]

    def _choose(self, demand: Demand, now: float) -> UpstreamState | None:
        best = inf
        offers: list[tuple[float, UpstreamState]] = []
        for state in self._candidates(demand):
            if now < state.rest_until or not _has_room(state):
                continue
            cost = state.cost(now)
            if cost <= best + NEAR_EQUAL:
                offers.append((cost, state))
                best = min(best, cost)
        near = [state for cost, state in offers if cost <= best + NEAR_EQUAL]
        return self.random.choice(near) if near else None


def _has_room(state: UpstreamState) -> bool:
    slots = state.entry.slots
    return state.in_flight < slots + int(DEPTH_SHARE * slots)


def _is_same_start(one: RegisteredUpstream, other: RegisteredUpstream) -> bool:
    return (one.started_at, one.address) == (other.started_at, other.address)
