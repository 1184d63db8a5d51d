"""Which paths to the store have failed, and how often others are tried."""

from collections.abc import Iterable
from datetime import timedelta

from ..clock import Clock

#: After this time, a failed path counts like one that has never failed. Faults
#: move: an older failure says nothing about the present ones.
FAILURE_MEMORY = timedelta(seconds=3)
#: After each failover without a working path, this many times as many failures
#: pass before the next one: the store itself is then probably unreachable.
_BACKOFF_FACTOR = 2
_MAX_SKIPPED_FAILOVERS = 7


class PathHistory:
    """The latest failures of paths, by their addresses."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.failed_at: dict[str, timedelta] = {}

    def record_failure(self, path: str) -> None:
        """Record that a read on a path has failed."""
        self.failed_at[path] = self.clock.monotonic()

    def order(self, paths: Iterable[str]) -> list[str]:
        """Return the paths without a recent failure, then the others.

        Both keep their order, which spreads them over failure domains.
        """
        return sorted(paths, key=self._has_failed_recently)

    def _has_failed_recently(self, path: str) -> bool:
        failed_at = self.failed_at.get(path)
        if failed_at is None:
            return False
        if self.clock.monotonic() - failed_at < FAILURE_MEMORY:
            return True
        self.failed_at.pop(path)
        return False


class FailoverBackoff:
    """Makes failovers rare while no path works.

    ``to_skip`` failures pass before other paths are tried again.
    """

    def __init__(self) -> None:
        self.skipped = 0
        self.to_skip = 0

    def allows(self) -> bool:
        """Return whether to try other paths after one more failure."""
        if self.skipped < self.to_skip:
            self.skipped += 1
            return False
        return True

    def grow(self) -> None:
        """Skip more failures, as no path has responded."""
        self.skipped = 0
        self.to_skip = min(
            _BACKOFF_FACTOR * self.to_skip + 1, _MAX_SKIPPED_FAILOVERS
        )

    def reset(self) -> None:
        """Skip no failure, as a read has succeeded."""
        self.to_skip = 0
