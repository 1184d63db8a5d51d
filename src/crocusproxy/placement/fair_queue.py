"""Order of the requests that wait for a slot.

Requests in time come first, by priority, and are served fairly among accounts.
Late ones get capacity that no request in time needs, unless their priority is
served less often than a less urgent one.
"""

from collections.abc import Iterator
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count

from ..limits.fair_level import FairLevel
from .account_usage import AccountUsage
from .decayed_rate import DecayedRate
from .requests import QueuedRequest, Standing
from .served_shares import ServedShares

#: Time over which the rate of started late requests is averaged.
LATE_RATE_SECONDS = 1.0


@dataclass(slots=True)
class QueueChanges:
    """Requests whose time has run out, and requests that have become late."""

    expired: list[QueuedRequest] = field(default_factory=list)
    late: list[QueuedRequest] = field(default_factory=list)


@dataclass(slots=True)
class PriorityLevels:
    """The levels of one priority, by standing."""

    levels: dict[Standing, FairLevel[QueuedRequest]] = field(
        default_factory=lambda: {standing: FairLevel() for standing in Standing}
    )
    late_rate: DecayedRate = field(
        default_factory=lambda: DecayedRate(LATE_RATE_SECONDS)
    )

    def in_time_count(self) -> int:
        """Return the number of requests that can still meet their target."""
        levels = self.levels
        return len(levels[Standing.IN_TIME]) + len(levels[Standing.AT_RISK])


class FairQueue:
    """Queued requests in their order.

    The cost of adding or taking a request grows with the logarithm of the
    number of requests and accounts. ``pace`` is the ratio of actual to expected
    durations, ``timely_count`` the number of requests that are expected to
    meet their target although they wait for long.
    """

    def __init__(self, usage: AccountUsage, served: ServedShares) -> None:
        self.usage = usage
        self.served = served
        self.pace = 1.0
        self.length = 0
        self.timely_count = 0
        self.priorities: dict[int, PriorityLevels] = {}
        self.timers: list[tuple[float, int, QueuedRequest]] = []
        self.sequence = count()

    def __len__(self) -> int:
        """Return the number of requests."""
        return self.length

    def __iter__(self) -> Iterator[QueuedRequest]:
        """Iterate over the requests by level; accounts are not interleaved."""
        for level in self._order():
            yield from level

    def __contains__(self, queued_request: QueuedRequest) -> bool:
        """Return whether a request waits here."""
        return queued_request.is_queued

    def push(self, queued_request: QueuedRequest, now: float) -> None:
        """Add a request."""
        queued_request.sequence = next(self.sequence)
        queued_request.is_queued = True
        queued_request.standing = queued_request.standing_at(now, self.pace)
        self._enter(queued_request, now)
        self._set_timer(queued_request, now)
        self.length += 1

    def remove(self, queued_request: QueuedRequest) -> None:
        """Remove a request."""
        self._level(queued_request).remove(queued_request)
        self._left(queued_request)

    def take(self, now: float) -> QueuedRequest | None:
        """Remove and return the next request."""
        for level in self._order():
            while level:
                queued_request = level.take()
                assert queued_request is not None
                if self._keeps_standing(queued_request, now):
                    self._left(queued_request)
                    return queued_request
        return None

    def give_back(self, queued_request: QueuedRequest, now: float) -> None:
        """Return a request that was taken, in its former place."""
        account = queued_request.account
        weight = self.usage.weight(account, now)
        self._level(queued_request).give_back(queued_request, weight)
        queued_request.is_queued = True
        self.length += 1
        self.timely_count += queued_request.is_timely

    def advance(self, now: float) -> QueueChanges:
        """Apply the passing of time; expired requests remain in the queue."""
        changes = QueueChanges()
        while self.timers and self.timers[0][0] <= now:
            _, _, queued_request = heappop(self.timers)
            if not queued_request.is_queued:
                continue
            if now >= queued_request.latest_start:
                changes.expired.append(queued_request)
            else:
                self._advance_one(queued_request, now, changes)
        return changes

    def last(self) -> QueuedRequest:
        """Return the request that is served last."""
        levels = [level for level in self._order() if level]
        return levels[-1].last()

    def set_timely(self, queued_request: QueuedRequest) -> None:
        """Mark a request in time whose turn is expected to come in time."""
        queued_request.is_timely = True
        self.timely_count += 1

    def ahead_of(self, queued_request: QueuedRequest) -> float:
        """Return about how many requests are served before one in time."""
        priority = queued_request.request.priority
        ahead = float()
        for other, levels in self.priorities.items():
            if other < priority:
                ahead += levels.in_time_count()
        own = self.priorities[priority].levels[queued_request.standing]
        return ahead + own.ahead_of(queued_request.account)

    def in_time_count(self) -> int:
        """Return the number of requests that can still meet their target."""
        return sum(
            levels.in_time_count() for levels in self.priorities.values()
        )

    def count_late_start(self, priority: int, now: float) -> None:
        """Count the start of a late request."""
        self.priorities[priority].late_rate.count(now)

    def expected_late_starts(
        self, priority: int, seconds: float, now: float
    ) -> float:
        """Return how many more late requests will start, as far as known."""
        levels = self.priorities[priority]
        starts = levels.late_rate.per_second(now) * seconds
        return starts - len(levels.levels[Standing.LATE])

    def _keeps_standing(
        self, queued_request: QueuedRequest, now: float
    ) -> bool:
        """Move a taken request to a later level if it has lost its place."""
        standing = queued_request.standing_at(now, self.pace)
        if standing <= queued_request.standing:
            return True
        self._move(queued_request, standing, now)
        return False

    def _advance_one(
        self,
        queued_request: QueuedRequest,
        now: float,
        changes: QueueChanges,
    ) -> None:
        standing = queued_request.standing_at(now, self.pace)
        if standing > queued_request.standing:
            self._level(queued_request).remove(queued_request)
            self._move(queued_request, standing, now)
            if standing is Standing.LATE:
                changes.late.append(queued_request)
        self._set_timer(queued_request, now)

    def _order(self) -> list[FairLevel[QueuedRequest]]:
        """Return the levels in the order in which they are served."""
        first: list[FairLevel[QueuedRequest]] = []
        late: list[FairLevel[QueuedRequest]] = []
        for priority in sorted(self.priorities):
            levels = self.priorities[priority].levels
            first.append(levels[Standing.IN_TIME])
            first.append(levels[Standing.AT_RISK])
            is_behind = self.served.is_behind(priority)
            (first if is_behind else late).append(levels[Standing.LATE])
        return first + late

    def _level(self, queued_request: QueuedRequest) -> FairLevel[QueuedRequest]:
        priority = queued_request.request.priority
        return self.priorities[priority].levels[queued_request.standing]

    def _enter(self, queued_request: QueuedRequest, now: float) -> None:
        priority = queued_request.request.priority
        if priority not in self.priorities:
            self.priorities[priority] = PriorityLevels()
        weight = self.usage.weight(queued_request.account, now)
        self._level(queued_request).push(queued_request, weight)

    def _move(
        self, queued_request: QueuedRequest, standing: Standing, now: float
    ) -> None:
        queued_request.standing = standing
        self.timely_count -= queued_request.is_timely
        queued_request.is_timely = False
        self._enter(queued_request, now)

    def _left(self, queued_request: QueuedRequest) -> None:
        queued_request.is_queued = False
        self.length -= 1
        self.timely_count -= queued_request.is_timely

    def _set_timer(self, queued_request: QueuedRequest, now: float) -> None:
        next_change = queued_request.next_change(now, self.pace)
        heappush(
            self.timers, (next_change, next(self.sequence), queued_request)
        )
