"""Planned work in series that overlap: stops, reloads and configurations."""

from collections.abc import Iterator
from random import Random

from .faults import (
    Fault,
    Publish,
    Reload,
    ReplaceUpstream,
    SetIdleTimeout,
    Terminate,
    TerminateTwice,
)
from .plan import ScheduledFault

MAX_SERIES = 4
SERIES_INTERVAL_SECONDS = (0.1, 0.6)
#: Instances that may get SIGTERM at once.
MAX_TERMINATED = 4
SECOND_SIGNAL_SECONDS = (0.1, 3.0)
IDLE_TIMEOUT_SECONDS = (0.3, 2.0)


class PlannedWorkPlanner:
    """Draws planned work from a seed, apart from the faults of that seed."""

    def __init__(
        self, seed: int, instance_count: int, upstream_count: int
    ) -> None:
        self.random = Random(f'planned-{seed}')
        self.instance_count = instance_count
        self.upstream_count = upstream_count

    def schedule(
        self, series_count: int, seconds: float
    ) -> tuple[ScheduledFault, ...]:
        """Return ``series_count`` series of work of one kind each."""
        return tuple(
            scheduled
            for _ in range(series_count)
            for scheduled in self._series(seconds)
        )

    def _series(self, seconds: float) -> Iterator[ScheduledFault]:
        draw = self.random.choice(
            (
                self._terminate,
                self._terminate_twice,
                self._terminate_twice,
                self._reload,
                self._publish,
                self._set_idle_timeout,
                self._set_idle_timeout,
                self._replace_upstream,
            )
        )
        at = self.random.uniform(0.2, seconds)
        for _ in range(self.random.randint(1, MAX_SERIES)):
            yield ScheduledFault(round(at, 2), draw())
            at += self.random.uniform(*SERIES_INTERVAL_SECONDS)

    def _terminate(self) -> Fault:
        return Terminate(self.random.randrange(self.instance_count))

    def _terminate_twice(self) -> Fault:
        count = self.random.choice((1, 1, MAX_TERMINATED))
        instances = self.random.sample(
            range(self.instance_count), min(count, self.instance_count - 1)
        )
        seconds = self.random.uniform(*SECOND_SIGNAL_SECONDS)
        return TerminateTwice(tuple(instances), round(seconds, 2))

    def _reload(self) -> Fault:
        instance = self.random.randrange(self.instance_count)
        return Reload(instance, self.random.randint(1, 4))

    def _publish(self) -> Fault:
        return Publish(self.random.randint(1, 3))

    def _set_idle_timeout(self) -> Fault:
        seconds = self.random.uniform(*IDLE_TIMEOUT_SECONDS)
        return SetIdleTimeout(round(seconds, 2))

    def _replace_upstream(self) -> Fault:
        return ReplaceUpstream(self.random.randrange(self.upstream_count))
