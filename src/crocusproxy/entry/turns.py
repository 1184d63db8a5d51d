"""Turns of the callers' connections, so that none delays the others.

One run of the event loop starts a small number of requests. A connection whose
input has more keeps it and waits for its next turn behind the others. One that
has had much work without a whole request waits behind those that have not: a
body in tiny chunks takes a hundred times as long as other input.
"""

import asyncio
from collections import deque
from itertools import islice
from typing import Protocol

#: Requests that one connection may start in one turn.
REQUESTS_PER_TURN = 4
#: Work of starting a request, where parsing a piece of input is 1.
REQUEST_WORK = 4
#: Work that is done as input is read, in one run of the loop.
_MAX_READ_IN_RUN = 64
#: The end of a run is noted after so much work, as that takes a callback.
_MIN_SCHEDULED = 16
#: Work that is done for waiting connections in one run of the loop.
_MAX_WAITING_IN_RUN = 16
_CHECK_SECONDS = 0.01
#: Held connections that are looked at at once.
_MAX_CHECKED = 64


class TurnTaker(Protocol):
    """The part of a connection that takes turns."""

    def take_turn(self) -> int:
        """Serve some of the input that is kept, and return the work."""

    def has_kept_input(self) -> bool:
        """Return whether input was read that has not been parsed."""

    def has_had_much(self) -> bool:
        """Return whether it had much work since its last whole request."""

    def waits_for_turn(self) -> bool:
        """Return whether a further turn would serve input."""

    def end_if_left(self) -> bool:
        """End a paused connection that its caller left; whether to go on."""


class Turns:
    """Gives turns to connections, round robin.

    ``held`` are the connections that aren't read. The kernel doesn't report
    their end then, so it is looked for at an interval, as is room for their
    requests.
    """

    def __init__(self) -> None:
        self.waiting: deque[TurnTaker] = deque()
        #: Those that have had much work.
        self.waiting_last: deque[TurnTaker] = deque()
        self.members: set[TurnTaker] = set()
        self.held: dict[TurnTaker, None] = {}
        self.work_in_run = 0
        self.is_scheduled = False
        self.is_checking = False

    def on_input(
        self, connection: TurnTaker, loop: asyncio.AbstractEventLoop
    ) -> None:
        """Serve new input at once, unless others have just had much."""
        if connection in self.members:
            return
        if (
            self.work_in_run < _MAX_READ_IN_RUN
            and not connection.has_had_much()
        ):
            self.work_in_run += connection.take_turn()
        if connection.has_kept_input():
            self.wait(connection, loop)
        if self.work_in_run >= _MIN_SCHEDULED:
            self._schedule(loop)

    def wait(
        self, connection: TurnTaker, loop: asyncio.AbstractEventLoop
    ) -> None:
        """Have a connection wait for a turn if it needs one."""
        if connection not in self.members and connection.waits_for_turn():
            self.members.add(connection)
            has_had_much = connection.has_had_much()
            queue = self.waiting_last if has_had_much else self.waiting
            queue.append(connection)
            self._schedule(loop)

    def hold(
        self, connection: TurnTaker, loop: asyncio.AbstractEventLoop
    ) -> None:
        """Look for the end of a connection that isn't read."""
        self.held[connection] = None
        self._check_later(loop)

    def _check_later(self, loop: asyncio.AbstractEventLoop) -> None:
        if not self.is_checking:
            self.is_checking = True
            loop.call_later(_CHECK_SECONDS, self._check_held, loop)

    def _schedule(self, loop: asyncio.AbstractEventLoop) -> None:
        if not self.is_scheduled:
            self.is_scheduled = True
            loop.call_soon(self._run, loop)

    def _run(self, loop: asyncio.AbstractEventLoop) -> None:
        self.is_scheduled = False
        self.work_in_run = 0
        for queue in (self.waiting, self.waiting_last):
            self._serve(queue, loop)
        if self.waiting or self.waiting_last:
            self._schedule(loop)

    def _serve(
        self, queue: deque[TurnTaker], loop: asyncio.AbstractEventLoop
    ) -> None:
        work = 0
        for _ in tuple(queue):
            connection = queue.popleft()
            self.members.discard(connection)
            work += connection.take_turn()
            self.wait(connection, loop)
            if work >= _MAX_WAITING_IN_RUN:
                return

    def _check_held(self, loop: asyncio.AbstractEventLoop) -> None:
        self.is_checking = False
        for connection in tuple(islice(self.held, _MAX_CHECKED)):
            del self.held[connection]  # noqa: WPS420
            if connection.end_if_left():
                self.hold(connection, loop)
                self.wait(connection, loop)
        if self.held:
            self._check_later(loop)
