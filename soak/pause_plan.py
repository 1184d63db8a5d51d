"""Brief pauses of instances in series that overlap."""

from collections.abc import Iterator
from random import Random
from typing import get_args

from .faults import PauseBriefly, PauseRole, PauseStep
from .plan import ScheduledFault

MAX_SERIES = 3
SERIES_INTERVAL_SECONDS = (0.05, 0.8)
PAUSE_SECONDS = (0.05, 1.2)


class PausePlanner:
    """Draws brief pauses from a seed, apart from the faults of that seed."""

    def __init__(self, seed: int, instance_count: int) -> None:
        self.random = Random(f'pauses-{seed}')
        self.instance_count = instance_count

    def schedule(
        self, series_count: int, seconds: float
    ) -> tuple[ScheduledFault, ...]:
        """Return ``series_count`` series of pauses at any steps."""
        return tuple(
            scheduled
            for _ in range(series_count)
            for scheduled in self._series(seconds)
        )

    def _series(self, seconds: float) -> Iterator[ScheduledFault]:
        at = self.random.uniform(0.2, seconds)
        for _ in range(self.random.randint(1, MAX_SERIES)):
            yield ScheduledFault(round(at, 2), self._pause())
            at += self.random.uniform(*SERIES_INTERVAL_SECONDS)

    def _pause(self) -> PauseBriefly:
        return PauseBriefly(
            self.random.randrange(self.instance_count),
            self.random.choice(get_args(PauseRole)),
            self.random.choice(get_args(PauseStep)),
            round(self.random.random(), 2),
            round(self.random.uniform(*PAUSE_SECONDS), 2),
        )
