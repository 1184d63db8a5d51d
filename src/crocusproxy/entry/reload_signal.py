"""Handling of SIGHUP from the start of the process on."""

import signal
from collections.abc import Callable


class ReloadSignal:
    """Defers a SIGHUP that arrives before the process can reload.

    Without a handler the signal would kill a process that is still starting.
    """

    def __init__(self) -> None:
        self.is_pending = False
        self.callback: Callable[[], None] | None = None
        signal.signal(signal.SIGHUP, self._handle)

    def connect(self, callback: Callable[[], None]) -> None:
        """Call ``callback`` for each signal, and now if one is pending."""
        self.callback = callback
        if self.is_pending:
            self.is_pending = False
            callback()

    def disconnect(self) -> None:
        """Ignore the signal from now on.

        The interpreter removes handlers when it ends, and the signal would then
        kill the process.
        """
        signal.signal(signal.SIGHUP, signal.SIG_IGN)

    def _handle(self, *_: object) -> None:
        if self.callback is None:
            self.is_pending = True
        else:
            self.callback()
