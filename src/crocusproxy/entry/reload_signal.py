"""SIGHUP, from the first moment of the process on."""

import signal
from collections.abc import Callable


class ReloadSignal:
    """Remembers a SIGHUP that comes before the process can act on it.

    Without a handler the signal would end a process that is still starting.
    """

    def __init__(self) -> None:
        self.came_early = False
        self.act: Callable[[], None] | None = None
        signal.signal(signal.SIGHUP, self._take)

    def connect(self, act: Callable[[], None]) -> None:
        """Call ``act`` for each signal, also for one that came before."""
        self.act = act
        if self.came_early:
            self.came_early = False
            act()

    def _take(self, *_: object) -> None:
        if self.act is None:
            self.came_early = True
        else:
            self.act()
