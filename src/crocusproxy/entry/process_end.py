"""Times of the shutdown of an instance."""

from datetime import timedelta

from ..application import Application
from ..clock import Clock

PROGRAM = 'crocus-entry'
#: The drain ends this long before the platform would kill the process.
_KILL_MARGIN = timedelta(milliseconds=300)
#: Time after the drain until what is still open is left to the kernel.
_CLOSE_LIMIT = timedelta(milliseconds=100)


def create_application(shutdown: timedelta, clock: Clock) -> Application:
    """Return an application that ends within ``shutdown`` of a signal."""
    return Application(
        PROGRAM,
        shutdown - _KILL_MARGIN,
        _CLOSE_LIMIT,
        ends_process=True,
        clock=clock,
    )
