"""Bounded queue of waiting requests, ordered by deadline, fair to callers."""

from dataclasses import dataclass, field
from datetime import timedelta
from heapq import heapify, heappop, heappush
from itertools import count
from typing import Generic, TypeVar

from .refusal import Refuse

Waiting = TypeVar('Waiting')

_MIN_RETRY = timedelta(milliseconds=50)
_MAX_RETRY = timedelta(seconds=10)
_RATE_GAIN = 0.1


@dataclass(slots=True)
class _Lane(Generic[Waiting]):
    """Waiting requests of one caller; ``turn`` counts those already served."""

    turn: int
    heap: list[tuple[timedelta, int, Waiting]] = field(default_factory=list)


class DeadlineQueue(Generic[Waiting]):
    """Requests that wait at a home for room at an upstream.

    Callers take turns; within a turn the earliest deadline goes first. A caller
    may hold ``per_caller`` entries and never more than the space that is still
    free, so one caller's flood cannot push out the others.
    """

    def __init__(self, limit: int, per_caller: int) -> None:
        self.limit = limit
        self.per_caller = per_caller
        self.size = 0
        self.turn = 0
        self.interval = timedelta()
        self.last_pop: timedelta | None = None
        self.late: list[Waiting] = []
        self.lanes: dict[str, _Lane[Waiting]] = {}
        self.order: list[tuple[int, timedelta, int, str]] = []
        self.numbers = count()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return self.size

    def push(
        self,
        item: Waiting,
        caller: str,
        deadline: timedelta,
        now: timedelta | None = None,
    ) -> Refuse | None:
        """Add a request, or return why it must be refused at once.

        Given ``now``, a request is also refused if the expected wait exceeds
        its deadline. Times are monotonic.
        """
        code = self._fault(caller, deadline, now)
        if code:
            return Refuse(code, self.retry_after())
        lane = self.lanes.get(caller)
        if lane is None:
            lane = _Lane(self.turn)
            self.lanes[caller] = lane
        heappush(lane.heap, (deadline, next(self.numbers), item))
        self.size += 1
        self._announce(caller, lane)
        return None

    def pop(self, now: timedelta) -> Waiting | None:
        """Remove and return the next request whose deadline lies ahead."""
        while self.order:
            turn, deadline, number, caller = heappop(self.order)
            lane = self.lanes.get(caller)
            if lane is None or (lane.turn, lane.heap[0][1]) != (turn, number):
                continue  # outdated by a push, a pop or an expiry
            if deadline > now:
                self._measure(now)
                return self._serve(caller, lane)
            self.late.append(self._take(caller, lane))
        return None

    def expired(self, now: timedelta) -> list[Waiting]:
        """Remove and return every request whose deadline has passed."""
        found = self.late
        self.late = []
        for caller, lane in tuple(self.lanes.items()):
            late = [entry for entry in lane.heap if entry[0] <= now]
            if not late:
                continue
            found.extend(entry[2] for entry in late)
            lane.heap = [entry for entry in lane.heap if entry[0] > now]
            heapify(lane.heap)
            self.size -= len(late)
            self._settle(caller, lane)
        return found

    def expected_wait(self) -> timedelta:
        """Estimate the wait of a request that is pushed now."""
        return self.interval * self.size

    def retry_after(self) -> timedelta:
        """Return when the present queue will probably have been served."""
        return min(max(self.expected_wait(), _MIN_RETRY), _MAX_RETRY)

    def _fault(
        self,
        caller: str,
        deadline: timedelta,
        now: timedelta | None,
    ) -> str:
        if now is not None and deadline <= now:
            return 'deadline_passed'
        free = self.limit - self.size
        if free <= 0:
            return 'queue_full'
        lane = self.lanes.get(caller)
        held = len(lane.heap) if lane else 0
        if held >= min(self.per_caller, free):
            return 'caller_over_limit'
        if now is not None and now + self.expected_wait() > deadline:
            return 'queue_full'
        return ''

    def _serve(self, caller: str, lane: _Lane[Waiting]) -> Waiting:
        self.turn = max(self.turn, lane.turn)
        lane.turn += 1
        return self._take(caller, lane)

    def _take(self, caller: str, lane: _Lane[Waiting]) -> Waiting:
        item = heappop(lane.heap)[2]
        self.size -= 1
        self._settle(caller, lane)
        return item

    def _settle(self, caller: str, lane: _Lane[Waiting]) -> None:
        if lane.heap:
            self._announce(caller, lane)
        else:
            self.lanes.pop(caller)

    def _announce(self, caller: str, lane: _Lane[Waiting]) -> None:
        deadline, number, _ = lane.heap[0]
        heappush(self.order, (lane.turn, deadline, number, caller))

    def _measure(self, now: timedelta) -> None:
        if self.last_pop is not None:
            step = now - self.last_pop
            self.interval += (step - self.interval) * _RATE_GAIN
        self.last_pop = now
