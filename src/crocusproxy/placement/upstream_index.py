"""Index of the upstreams of one service by the cost of their next request.

The choice of an upstream needs those with a low cost only. The index is kept up
to date by changes of the upstreams, and by timers where a cost falls with time.
A cost that rises with time is noticed when the upstream is drawn, so each entry
must be checked before use.
"""

from bisect import bisect_left, insort
from collections.abc import Mapping
from dataclasses import dataclass
from functools import partial
from heapq import heappop, heappush
from itertools import count
from math import floor, inf, log
from typing import NamedTuple

from .concurrency import LoadEffect
from .upstream_state import (
    BUSY_COST_SHARE,
    MAX_FAILURE_RATE,
    REMOTE_COST_SHARE,
    REMOTE_SECONDS,
    SLOW_THRESHOLD,
    SLOWDOWN_DECAY_SECONDS,
    TYPICAL_SLOWDOWN,
    UpstreamState,
)

#: Width of a bucket, as a slowdown ratio. A smaller one needs more timers; it
#: must be well below the share of the service time by which equal costs differ.
BUCKET_WIDTH = 0.01
#: Share of the excess over the assumed slowdown that may decay until the next
#: timer. With a smaller one, timers after a report are more frequent; a larger
#: one gives looser lower bounds, so more draws fail.
DECAY_SHARE = 1 / 3
#: Difference of slowdowns that is taken for a rounding error.
ROUNDING_ERROR = 1e-10


class GroupKey(NamedTuple):
    """What the upstreams of a group have in common."""

    effect: LoadEffect
    slots: int
    is_remote: bool
    in_flight: int
    trial_offset: int


class UpstreamGroup:
    """Upstreams that are not slow, with the same load.

    ``buckets`` holds them by a lower bound of their slowdown,
    ``bucket_numbers`` the sorted keys of ``buckets``.
    """

    def __init__(self, key: GroupKey) -> None:
        self.key = key
        self.buckets: dict[int, list[UpstreamState]] = {}
        self.bucket_numbers: list[int] = []


@dataclass(slots=True)
class GroupCosts:
    """Lower bounds of the costs in a group, for one service time.

    The bound of a bucket is the sum of ``base`` and ``step`` times its number.
    The buckets before ``position`` in ``bucket_numbers`` of the group have been
    examined.
    """

    group: UpstreamGroup
    base: float
    step: float
    position: int = 0

    def lowest(self) -> float:
        """Return the lowest bound that has not been examined."""
        numbers = self.group.bucket_numbers
        if self.position == len(numbers):
            return inf
        return self.base + self.step * numbers[self.position]

    def examine_up_to(self, limit: float) -> list[list[UpstreamState]]:
        """Return the further buckets whose bound is at most ``limit``."""
        buckets: list[list[UpstreamState]] = []
        while self.lowest() <= limit:
            number = self.group.bucket_numbers[self.position]
            buckets.append(self.group.buckets[number])
            self.position += 1
        return buckets


def group_costs(group: UpstreamGroup, service_time: float) -> GroupCosts:
    """Return the lower bounds of the costs in a group.

    They follow from ``UpstreamState.cost`` for the lowest slowdown in a bucket.
    """
    key = group.key
    ratio = key.effect.ratio(key.in_flight + 1)
    busy = BUSY_COST_SHARE * key.in_flight / max(key.slots, 1)
    base = (TYPICAL_SLOWDOWN * ratio + busy) * service_time
    if key.is_remote:
        base += REMOTE_SECONDS + REMOTE_COST_SHARE * service_time
    return GroupCosts(group, base, BUCKET_WIDTH * ratio * service_time)


@dataclass(slots=True, eq=False)
class _IndexEntry:
    """Position of an upstream in the index, and its part of the slots."""

    slots: int = 0
    group: UpstreamGroup | None = None
    bucket_number: int = 0
    position: int = 0


class UpstreamIndex:
    """The usable upstreams of ``upstreams``, indexed by their cost.

    ``usable`` holds all of them, ``cold`` those that are cold, whose cost is
    not indexed, and ``groups`` those that are neither cold nor slow and that no
    backoff or rate limit forbids a request. ``slot_count`` is the number of
    slots of those without a limited rate. All are up to date after a call of
    ``refresh``.
    """

    def __init__(self, upstreams: Mapping[str, UpstreamState]) -> None:
        self.upstreams = upstreams
        self.usable: dict[UpstreamState, _IndexEntry] = {}
        self.cold: dict[UpstreamState, None] = {}
        self.groups: dict[GroupKey, UpstreamGroup] = {}
        self.slot_count = 0
        self.refreshed_at = -inf
        self._changed: dict[UpstreamState, None] = {}
        self._timers: list[tuple[float, int, UpstreamState]] = []
        self._timer_of: dict[UpstreamState, int] = {}
        self._sequence = count()

    def add(self, state: UpstreamState) -> None:
        """Index an upstream from now on."""
        notify = partial(self.note_change, state)
        state.on_change = notify
        state.terms.on_change = notify
        state.terms.warm_up.on_change = notify
        notify()

    def note_change(self, state: UpstreamState) -> None:
        """Index a changed upstream again at the next refresh.

        Drop a removed one now.
        """
        if state.is_removed:
            self._changed.pop(state, None)
            self._remove(state)
            _detach(state)
        else:
            self._changed[state] = None

    def refresh(self, now: float) -> None:
        """Apply all changes and the passing of time."""
        if now < self.refreshed_at:
            # A ``Selection`` may be older than another call. Timers due between
            # the two were already removed, so everything is indexed again.
            self._changed.update(dict.fromkeys(self.upstreams.values()))
        self.refreshed_at = now
        timers = self._timers
        while timers and timers[0][0] <= now:
            _, sequence, state = heappop(timers)
            if self._timer_of.get(state) == sequence:
                self._changed[state] = None
        if self._changed:
            changed = tuple(self._changed)
            for state in changed:
                self._remove(state)
                self._insert(state, now)
            self._changed.clear()

    def _insert(self, state: UpstreamState, now: float) -> None:
        warm_up = state.terms.warm_up
        is_cold = warm_up.is_cold(now)
        if is_cold:
            self._set_timer(state, warm_up.cold_until())
        if not state.is_usable:
            return
        entry = _IndexEntry()
        self.usable[state] = entry
        if is_cold:
            self.cold[state] = None
            return
        if state.rate_limit is None:
            entry.slots = state.entry.slots
            self.slot_count += entry.slots
        may_start = state.may_start(now)
        if may_start and state.is_slow(now):
            self._set_timer(state, _fast_at(state, now))
        elif may_start:
            self._insert_by_cost(state, entry, now)
        else:
            next_at = state.terms.next_request_at(now)
            self._set_timer(state, max(state.backoff_until, next_at))

    def _insert_by_cost(
        self, state: UpstreamState, entry: _IndexEntry, now: float
    ) -> None:
        slowdown, valid_until = _lowest_slowdown(state, now)
        self._set_timer(state, valid_until)
        key = GroupKey(
            state.load_effect,
            state.entry.slots,
            state.is_remote,
            state.in_flight,
            state.trial_offset,
        )
        group = self.groups.get(key)
        if group is None:
            group = UpstreamGroup(key)
            self.groups[key] = group
        above_typical = slowdown - TYPICAL_SLOWDOWN + 2 * ROUNDING_ERROR
        entry.group = group
        entry.bucket_number = floor(above_typical / BUCKET_WIDTH)
        bucket = group.buckets.get(entry.bucket_number)
        if bucket is None:
            bucket = []
            group.buckets[entry.bucket_number] = bucket
            insort(group.bucket_numbers, entry.bucket_number)
        entry.position = len(bucket)
        bucket.append(state)

    def _remove(self, state: UpstreamState) -> None:
        self._timer_of.pop(state, None)
        self.cold.pop(state, None)
        entry = self.usable.pop(state, None)
        if entry is None:
            return
        self.slot_count -= entry.slots
        if entry.group is not None:
            self._remove_from_group(state, entry, entry.group)

    def _remove_from_group(
        self, state: UpstreamState, entry: _IndexEntry, group: UpstreamGroup
    ) -> None:
        bucket = group.buckets[entry.bucket_number]
        last = bucket.pop()
        if last is not state:
            bucket[entry.position] = last
            self.usable[last].position = entry.position
        if len(bucket) == 0:
            group.buckets.pop(entry.bucket_number)
            group.bucket_numbers.pop(
                bisect_left(group.bucket_numbers, entry.bucket_number)
            )
        if not group.bucket_numbers:
            self.groups.pop(group.key)

    def _set_timer(self, state: UpstreamState, at: float) -> None:
        if at < inf:
            sequence = next(self._sequence)
            self._timer_of[state] = sequence
            heappush(self._timers, (at, sequence, state))


def _detach(state: UpstreamState) -> None:
    """Let the terms, which outlive the upstream, no longer refer to it."""
    terms = state.terms
    if terms.on_change is state.on_change:
        terms.on_change = _ignore_change
        terms.warm_up.on_change = _ignore_change


def _ignore_change() -> None:
    """Notify nobody, as the upstream has been removed."""


def _lowest_slowdown(state: UpstreamState, now: float) -> tuple[float, float]:
    """Return a lower bound of the slowdown, and until when it is valid.

    The slowdown is that of reports and observations together, raised for
    failures as in the cost. It decays to the assumed one. Below the assumed
    slowdown it rises, so the present value is the bound. Above it, the value
    after the next decay step is.
    """
    scale = state.observed.slowdown(now)
    scale /= 1 - min(state.failure_rate, MAX_FAILURE_RATE)
    assumed = scale * state.assumed_slowdown(now)
    expected = scale * state.expected_slowdown(now)
    excess = expected - assumed
    drop_at = _next_drop(state, now)
    if abs(excess) <= ROUNDING_ERROR:
        return assumed, drop_at
    if excess < 0:
        steady_at = now + SLOWDOWN_DECAY_SECONDS * log(-excess / ROUNDING_ERROR)
        return expected, min(steady_at, drop_at)
    decay = max(BUCKET_WIDTH, DECAY_SHARE * excess)
    if decay >= excess:
        return assumed, drop_at
    seconds = -SLOWDOWN_DECAY_SECONDS * log(1 - decay / excess)
    return expected - decay, min(now + seconds, drop_at)


def _next_drop(state: UpstreamState, now: float) -> float:
    """Return when the slowdown next falls at once, infinite if never."""
    drop_at = inf
    if state.observed.slowdown(now) > 1:
        drop_at = state.observed.level_until
    if now < state.warm_up_until:
        drop_at = min(drop_at, state.warm_up_until)
    return drop_at


def _fast_at(state: UpstreamState, now: float) -> float:
    """Return when a slow upstream may be fast without a new signal."""
    drop_at = _next_drop(state, now)
    assumed = state.assumed_slowdown(now)
    excess = state.expected_slowdown(now) - assumed
    permitted = SLOW_THRESHOLD / state.observed.slowdown(now) - assumed
    if excess <= 0 or permitted <= 0:
        return drop_at
    seconds = SLOWDOWN_DECAY_SECONDS * log(excess / permitted)
    return min(now + seconds - ROUNDING_ERROR, drop_at)
