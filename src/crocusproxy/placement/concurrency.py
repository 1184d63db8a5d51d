"""Learns how the requests in flight at an upstream affect its durations.

Some upstreams slow down when nearly full and then serve fewer requests per
second than with free slots; others do not. The limit of requests in flight
that follows is the number with the most responses per second.
"""

from collections.abc import Iterable, Iterator
from dataclasses import dataclass, field
from heapq import heappop, heappush
from itertools import count
from math import ceil, exp, inf, log
from random import Random
from typing import Protocol

#: Share of slots in use at which an upstream counts as nearly full before
#: there are responses.
NEARLY_FULL_SHARE = 0.8
#: Ratio of the duration at a nearly full upstream to the usual one before there
#: are responses.
NEARLY_FULL_RATIO = 1.7
#: Largest number of slots with an estimate for each number in flight. With
#: more slots, neighbouring numbers share one.
MAX_LEVELS = 8
#: Step of the logarithm of an estimated ratio at each response.
LOG_RATIO_STEP = 0.01
#: The step at the first responses of a level.
INITIAL_LOG_RATIO_STEP = 0.04
#: Responses after which a level counts as known.
MIN_RESPONSES = 30
#: Weight of the latest response in the shares of the levels and the balance.
SHARE_WEIGHT = 0.02
#: Balance of longer and shorter responses beyond which the speed of the whole
#: service is changing, so that ratios say nothing about the load.
MAX_BALANCE = 0.5
#: Gain in throughput that justifies a higher limit, since durations grow too.
LIMIT_GAIN = 1.05
#: Step of the median ratio at each response, relative to the estimate.
MEDIAN_STEP_SHARE = 0.01
#: Ratio to the expected duration after which a request is evaluated, whether it
#: has ended or not.
EVALUATION_RATIO = 2.5
#: Upper limit of the expected durations under load, relative to the usual ones.
MAX_PACE = 2.0
TRIAL_SECONDS = 0.5
#: Share of upstreams that exceed the limit during a trial.
HIGHER_TRIAL_SHARE = 0.05
#: The same while the level above the limit is unknown.
FIRST_TRIAL_SHARE = 0.25
#: Share of upstreams that stay below the limit, which costs capacity.
LOWER_TRIAL_SHARE = 0.01
#: Limit from which it is also tried to stay below it.
MIN_LOWERED_LIMIT = 3


@dataclass(slots=True)
class LoadLevel:
    """A number of requests in flight, or several neighbouring ones.

    ``in_flight`` is the highest of them. ``log_ratio`` is the logarithm of the
    median duration relative to that of all requests, ``share`` the recent
    share of requests, and ``response_count`` the number of responses that the
    ratio was learnt from.
    """

    in_flight: int
    log_ratio: float
    share: float = 0
    response_count: int = 0

    @property
    def is_known(self) -> bool:
        """Return whether the ratio has been learnt from enough responses."""
        return self.response_count >= MIN_RESPONSES


class LoadEffect:
    """Effect of the load on durations at upstreams with the same slots.

    The more common a level is, the more it decides on the median of all
    requests, and the less its own ratio says about it. ``balance`` is the
    recent share of longer requests than expected minus that of shorter ones.
    """

    def __init__(self, slots: int) -> None:
        self.slots = max(slots, 1)
        level_count = min(self.slots, MAX_LEVELS)
        self.levels = tuple(
            self._initial_level(number * self.slots // level_count)
            for number in range(1, level_count + 1)
        )
        self.share_sum = float()
        self.balance = float()
        self._evaluate_levels()

    def level(self, in_flight: int) -> LoadLevel:
        """Return the level of a number of requests in flight."""
        return self.levels[self._index(in_flight)]

    def ratio(self, in_flight: int) -> float:
        """Return the duration relative to that with few requests in flight.

        ``in_flight`` includes the request itself.
        """
        return self.ratios[self._index(in_flight)]

    def relative_ratio(self, in_flight: int) -> float:
        """Return the duration relative to that of all recent requests."""
        return exp(self.level(in_flight).log_ratio)

    def record(self, in_flight: int, ratio: float) -> None:
        """Learn from a request.

        ``ratio`` is that of its actual to its expected duration, which
        includes ``relative_ratio``.
        """
        level = self.level(in_flight)
        self._count(level)
        sign = 1 if ratio > 1 else -1
        self.balance += SHARE_WEIGHT * (sign - self.balance)
        if abs(self.balance) > MAX_BALANCE:
            return
        step = LOG_RATIO_STEP if level.is_known else INITIAL_LOG_RATIO_STEP
        level.log_ratio += sign * step * (1 - level.share / self.share_sum)
        level.response_count += 1
        self._evaluate_levels()

    def _index(self, in_flight: int) -> int:
        number = ceil(in_flight * len(self.levels) / self.slots)
        return min(max(number, 1), len(self.levels)) - 1

    def _evaluate_levels(self) -> None:
        """Compute what each choice among upstreams asks for."""
        first = self.levels[0].log_ratio
        self.ratios = tuple(
            max(exp(level.log_ratio - first), 1) for level in self.levels
        )
        self.limit = self._best_limit()

    def _initial_level(self, in_flight: int) -> LoadLevel:
        is_nearly_full = in_flight >= NEARLY_FULL_SHARE * self.slots
        return LoadLevel(
            in_flight, log(NEARLY_FULL_RATIO) if is_nearly_full else 0
        )

    def _count(self, level: LoadLevel) -> None:
        for other in self.levels:
            other.share *= 1 - SHARE_WEIGHT
        level.share += SHARE_WEIGHT
        self.share_sum += SHARE_WEIGHT * (1 - self.share_sum)

    def _best_limit(self) -> int:
        """Return the number in flight with the most responses per second."""
        best = 1
        best_throughput = float()
        for level in self.levels:
            throughput = level.in_flight / exp(level.log_ratio)
            if throughput > LIMIT_GAIN * best_throughput:
                best = level.in_flight
                best_throughput = throughput
        return best


class TriedUpstream(Protocol):
    """An upstream, as far as trials are concerned."""

    trial_offset: int
    load_effect: LoadEffect


@dataclass(slots=True, eq=False)
class LoadSample:
    """A request whose duration will be evaluated.

    ``usual_seconds`` is the duration that its route and the reported speed of
    the upstream suggest; ``seconds`` is the actual one, infinite until it ends.
    Requests without a response are no samples.
    """

    effect: LoadEffect
    in_flight: int
    started_at: float
    usual_seconds: float
    seconds: float = inf
    is_answered: bool = True


@dataclass(slots=True)
class ServiceConcurrency:
    """Load effects of one service, and trials of other limits.

    ``median_ratio`` is the estimated median of the ratio of actual to usual
    duration over all upstreams, apart from the load effects.

    During a trial a few upstreams have another limit, so that the ratio is
    learnt for more requests in flight than the limit, and for fewer also if
    all upstreams are always full. Trials run only while requests wait.
    """

    random: Random
    effects: dict[int, LoadEffect] = field(default_factory=dict)
    median_ratio: float = 1.0
    trial_ends_at: float = -inf
    samples: list[tuple[float, int, LoadSample]] = field(default_factory=list)
    sequence: Iterator[int] = field(default_factory=count)

    def effect(self, slots: int) -> LoadEffect:
        """Return the load effect at upstreams with a number of slots."""
        effect = self.effects.get(slots)
        if effect is None:
            effect = LoadEffect(slots)
            self.effects[slots] = effect
        return effect

    def limit(self) -> int:
        """Return the highest limit per upstream, 0 without upstreams."""
        return max((one.limit for one in self.effects.values()), default=0)

    def expected_seconds(self, sample: LoadSample) -> float:
        """Return the duration that is expected from all that was learnt."""
        ratio = sample.effect.relative_ratio(sample.in_flight)
        return self.median_ratio * ratio * sample.usual_seconds

    def pace(self) -> float:
        """Return the ratio of actual to usual durations at the limit.

        It is at least 1, and bounded, as it may be of a short slow phase.
        """
        ratios = [
            one.relative_ratio(one.limit) for one in self.effects.values()
        ]
        ratio = self.median_ratio * max(ratios, default=1)
        return min(max(ratio, 1), MAX_PACE)

    def start(
        self,
        effect: LoadEffect,
        in_flight: int,
        usual_seconds: float,
        now: float,
    ) -> LoadSample:
        """Record the start of a request."""
        sample = LoadSample(effect, in_flight, now, usual_seconds)
        wait = EVALUATION_RATIO * self.expected_seconds(sample)
        heappush(self.samples, (now + wait, next(self.sequence), sample))
        return sample

    def end(self, sample: LoadSample, now: float, *, answered: bool) -> None:
        """Record the end of a request, and learn from the samples that are due.

        Short requests end first. If each were evaluated at its end, the first
        ones with a new number in flight would all seem to be fast.
        """
        sample.seconds = now - sample.started_at
        sample.is_answered = answered
        while self.samples and self.samples[0][0] <= now:
            due = heappop(self.samples)[2]
            if due.is_answered:
                self._learn(due)

    def renew_trials(
        self, upstreams: Iterable[TriedUpstream], now: float
    ) -> None:
        """Choose the upstreams of the next trial if the last one has ended."""
        if now < self.trial_ends_at:
            return
        self.trial_ends_at = now + TRIAL_SECONDS
        for upstream in upstreams:
            upstream.trial_offset = self._offset(upstream.load_effect)

    def _learn(self, sample: LoadSample) -> None:
        # The estimates of now rather than those at the start: with many
        # requests in flight the median would overshoot.
        ratio = sample.seconds / self.expected_seconds(sample)
        step = MEDIAN_STEP_SHARE if ratio > 1 else -MEDIAN_STEP_SHARE
        self.median_ratio *= 1 + step
        sample.effect.record(sample.in_flight, ratio)

    def _offset(self, effect: LoadEffect) -> int:
        higher_share = HIGHER_TRIAL_SHARE
        if not effect.level(effect.limit + 1).is_known:
            higher_share = FIRST_TRIAL_SHARE
        draw = self.random.random()
        if draw < higher_share:
            return 1
        is_lower = draw > 1 - LOWER_TRIAL_SHARE
        return -1 if is_lower and effect.limit >= MIN_LOWERED_LIMIT else 0
