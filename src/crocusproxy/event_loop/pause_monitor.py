"""Measures how late the event loop runs, and what it did in a pause.

A process pauses while one step of its loop takes long, or while it waits for a
processor. Time that passes meanwhile says nothing about its peers.
"""

import asyncio
import gc
import time
from collections.abc import Callable, Iterator
from contextlib import contextmanager
from functools import partial
from typing import Any

from prometheus_client import Histogram

from ..clock import Clock
from ..logs import log

HEARTBEAT_SECONDS = 0.05
#: A later run of the loop is logged.
LOGGED_SECONDS = 0.1
#: Shorter delays are usual and do not count as pauses.
MIN_PAUSE_SECONDS = 0.02
#: Runs of the loop after a pause until all input that arrived in it was read. A
#: new connection is accepted in the first one and read in the second one; tasks
#: need some more to take what has arrived.
CATCH_UP_RUNS = 6

_LATENESS = Histogram(
    'crocus_loop_lateness_seconds',
    'How late the event loop ran a timer that is due at fixed intervals.',
    buckets=(0.001, 0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5),
)


class PauseMonitor:
    """Notes pauses of the loop on which it was started.

    ``paused_seconds`` is the sum of all pauses that have ended.
    """

    def __init__(
        self,
        clock: Clock,
        write: Callable[..., None] = log,
        processor_time: Callable[[], float] = time.process_time,
    ) -> None:
        self.clock = clock
        self.write = write
        self.processor_time = processor_time
        self.paused_seconds = float()
        self.catch_up_runs = 0
        self.due_at: float | None = None
        self.processor_seconds = float()
        self.collector_seconds = float()
        self.collector_started_at = float()
        self.longest_step = ''
        self.step_seconds = float()
        self.timer: asyncio.TimerHandle | None = None

    def start(self) -> None:
        """Observe the running loop until ``stop``."""
        gc.callbacks.append(self._note_collection)
        self._schedule(asyncio.get_running_loop())

    def stop(self) -> None:
        """Observe no more."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
            gc.callbacks.remove(self._note_collection)
        self.due_at = None

    def total_seconds(self) -> float:
        """Return the sum of all pauses, with one that is ending now.

        The timer of the monitor may run after others that are due.
        """
        return self.paused_seconds + self._current_pause()

    @contextmanager
    def step(self, name: str) -> Iterator[None]:
        """Name a step that may take long, for the log line of a pause."""
        started_at = self._now()
        try:
            yield
        finally:
            seconds = self._now() - started_at
            if seconds > self.step_seconds:
                self.longest_step = name
                self.step_seconds = seconds

    def is_ending(self) -> bool:
        """Return whether the loop has yet to read what arrived in a pause."""
        return self.catch_up_runs > 0 or self._current_pause() > 0

    def _check(self, loop: asyncio.AbstractEventLoop) -> None:
        assert self.due_at is not None
        _LATENESS.observe(max(self._now() - self.due_at, 0))
        seconds = self._current_pause()
        if seconds:
            self.paused_seconds += seconds
            is_counting = self.catch_up_runs > 0
            self.catch_up_runs = CATCH_UP_RUNS
            if not is_counting:
                loop.call_soon(self._count_run, loop)
        if seconds > LOGGED_SECONDS:
            self._log_pause(seconds)
        self._schedule(loop)

    def _count_run(self, loop: asyncio.AbstractEventLoop) -> None:
        self.catch_up_runs -= 1
        if self.catch_up_runs:
            loop.call_soon(self._count_run, loop)

    def _current_pause(self) -> float:
        if self.due_at is None:
            return 0
        lateness = self._now() - self.due_at
        return lateness if lateness > MIN_PAUSE_SECONDS else 0

    def _schedule(self, loop: asyncio.AbstractEventLoop) -> None:
        self.processor_seconds = self.processor_time()
        self._forget_steps()
        self.due_at = self._now() + HEARTBEAT_SECONDS
        # A delay of the heartbeat itself would count as a longer pause.
        call_later = getattr(loop, 'call_later_undelayed', loop.call_later)
        self.timer = call_later(HEARTBEAT_SECONDS, partial(self._check, loop))

    def _forget_steps(self) -> None:
        self.collector_seconds = float()
        self.longest_step = ''
        self.step_seconds = float()

    def _log_pause(self, seconds: float) -> None:
        used_seconds = self.processor_time() - self.processor_seconds
        self._write(
            'loop_paused',
            seconds=round(seconds, 3),
            processor_seconds=round(used_seconds, 3),
            collector_seconds=round(self.collector_seconds, 3),
            step=self.longest_step,
            step_seconds=round(self.step_seconds, 3),
        )

    def _write(self, event: str, **fields: Any) -> None:
        self.write(event, **fields)

    def _note_collection(self, phase: str, _: dict[str, Any]) -> None:
        if phase == 'start':
            self.collector_started_at = self._now()
        else:
            self.collector_seconds += self._now() - self.collector_started_at

    def _now(self) -> float:
        return self.clock.monotonic().total_seconds()
