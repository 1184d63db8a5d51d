"""Bounded queue of waiting requests, ordered by deadline, fair to callers."""

from collections import Counter
from dataclasses import dataclass
from datetime import timedelta
from heapq import heapify, heappop, heappush
from itertools import count
from typing import Generic, TypeAlias, TypeVar

from .refusal import Refuse

Waiting = TypeVar('Waiting')

_MIN_RETRY = timedelta(milliseconds=50)
_MAX_RETRY = timedelta(seconds=10)
_FIRST_INTERVAL = timedelta(milliseconds=1)
_RATE_GAIN = 0.1
# Chance alone rarely gives one of several equal callers twice the mean.
_FAIR_MULTIPLE = 2


@dataclass(slots=True, eq=False)
class _Entry(Generic[Waiting]):
    item: Waiting
    caller: str
    deadline: timedelta


_Place: TypeAlias = tuple[timedelta, int, _Entry[Waiting]]


class DeadlineQueue(Generic[Waiting]):
    """Requests that wait at a home for room at an upstream.

    The earliest deadline goes first, but a request beyond its caller's fair
    part is set back by the time that one request of every waiting caller
    takes, and the next one by twice that time. A caller may hold
    ``per_caller`` entries and never more than the space that is still free, so
    one caller's flood neither pushes out nor overtakes the others. Times are
    monotonic.
    """

    def __init__(self, limit: int, per_caller: int) -> None:
        self.limit = limit
        self.per_caller = per_caller
        self.interval = _FIRST_INTERVAL
        self.last_pop: timedelta | None = None
        self.queued_by_caller: Counter[str] = Counter()
        self.heap: list[_Place[Waiting]] = []
        self.late: list[Waiting] = []
        self.soonest = timedelta.max  # no deadline in the queue is earlier
        self.numbers = count()

    def __len__(self) -> int:
        """Return the number of waiting requests."""
        return len(self.heap)

    def push(
        self,
        item: Waiting,
        caller: str,
        deadline: timedelta,
        now: timedelta | None = None,
    ) -> Refuse | None:
        """Add a request, or return why it must be refused at once.

        Given ``now``, a request is also refused if the expected wait exceeds
        its deadline.
        """
        code = self._fault(caller, deadline, now)
        if code:
            return Refuse(code, self.retry_after())
        self.queued_by_caller[caller] += 1
        self.soonest = min(self.soonest, deadline)
        rank = deadline + self._set_back(caller)
        entry = _Entry(item, caller, deadline)
        heappush(self.heap, (rank, next(self.numbers), entry))
        return None

    def pop(self, now: timedelta) -> Waiting | None:
        """Remove and return the next request whose deadline lies ahead."""
        while self.heap:
            entry = heappop(self.heap)[2]
            self._release(entry)
            if entry.deadline > now:
                self._measure(now)
                return entry.item
            self.late.append(entry.item)
        return None

    def expired(self, now: timedelta) -> list[Waiting]:
        """Remove and return every request whose deadline has passed."""
        found = self.late
        self.late = []
        if now < self.soonest:
            return found
        places = self.heap
        self.heap = [place for place in places if place[2].deadline > now]
        heapify(self.heap)
        self.soonest = min(
            (place[2].deadline for place in self.heap),
            default=timedelta.max,
        )
        for _, _, entry in places:
            if entry.deadline <= now:
                self._release(entry)
                found.append(entry.item)
        return found

    def expected_wait(self) -> timedelta:
        """Estimate the wait of a request that is pushed now."""
        return self.interval * len(self.heap)

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
        free = self.limit - len(self.heap)
        if free <= 0:
            return 'queue_full'
        if self.queued_by_caller.get(caller, 0) >= min(self.per_caller, free):
            return 'caller_over_limit'
        if now is not None and now + self.expected_wait() > deadline:
            return 'queue_full'
        return ''

    def _set_back(self, caller: str) -> timedelta:
        """Return one round of all callers per request beyond the fair part."""
        held = self.queued_by_caller[caller]
        others = len(self.queued_by_caller) - 1
        mean = (len(self.heap) + 1 - held) / others if others else 0
        beyond = max(held - 1 - round(_FAIR_MULTIPLE * mean), 0)
        return self.interval * (beyond * len(self.queued_by_caller))

    def _release(self, entry: _Entry[Waiting]) -> None:
        if self.queued_by_caller[entry.caller] > 1:
            self.queued_by_caller[entry.caller] -= 1
        else:
            self.queued_by_caller.pop(entry.caller)

    def _measure(self, now: timedelta) -> None:
        """Average the time between pops, without times of an empty queue."""
        if self.last_pop is not None:
            step = now - self.last_pop
            self.interval += (step - self.interval) * _RATE_GAIN
        self.last_pop = now if self.heap else None
