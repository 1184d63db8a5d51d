"""Guards against timers that a loop of constantly long runs holds up."""

import asyncio
import time
from contextlib import contextmanager

import pytest

from crocusproxy.clock import SystemClock
from crocusproxy.event_loop.input_first_loop import InputFirstLoop
from crocusproxy.event_loop.pause_monitor import PauseMonitor
from crocusproxy.event_loop.peer_timeout import PeerTimeout

TIMER_SECONDS = 0.1
FEED_SECONDS = 0.7
#: Half of the time is pauses, and each check of the timer is late.
MAX_FEED_SECONDS = 2.2
#: The least number of runs that read what arrived, the run in which the timer
#: is due, and one for a busy host.
MAX_RUNS_LATE = 5


class BusyLoop:
    """The running loop, each run of which takes ``run_seconds``."""

    def __init__(self, run_seconds):
        self.run_seconds = run_seconds
        self.run_count = 0
        self.is_busy = True
        self.pauses = PauseMonitor(SystemClock(), self.note)
        self.logged = []

    def note(self, _, **fields):
        self.logged.append(fields['seconds'])

    def work(self):
        time.sleep(self.run_seconds)
        self.run_count += 1
        if self.is_busy:
            asyncio.get_running_loop().call_soon(self.work)

    @contextmanager
    def at_work(self):
        asyncio.get_running_loop().pauses = self.pauses
        self.pauses.start()
        self.work()
        try:
            yield
        finally:
            self.is_busy = False
            self.pauses.stop()


def run_busy(scenario, run_seconds):
    busy = BusyLoop(run_seconds)

    async def run():
        with busy.at_work():
            return await scenario(busy)

    with asyncio.Runner(loop_factory=InputFirstLoop) as runner:
        return runner.run(run())


@pytest.mark.parametrize('run_seconds', (0.023, 0.04))
def test_timers_of_a_busy_loop_are_late_by_few_of_its_runs(run_seconds):
    """They were late by up to 13 runs."""

    async def scenario(busy):
        runs_late = []
        for _ in range(10):
            runs = busy.run_count
            started_at = time.monotonic()
            await asyncio.sleep(TIMER_SECONDS)
            seconds = time.monotonic() - started_at
            runs = busy.run_count - runs
            runs_late.append(runs * (1 - TIMER_SECONDS / seconds))
        return max(runs_late)

    assert run_busy(scenario, run_seconds) <= MAX_RUNS_LATE


def test_busy_loop_counts_no_pause_beyond_its_own_lateness():
    """Timers that waited for input were logged as pauses of 0.27 s."""

    async def scenario(busy):
        started_at = time.monotonic()
        await asyncio.sleep(1)
        share = busy.pauses.total_seconds() / (time.monotonic() - started_at)
        return share, max(busy.logged, default=0)

    share, longest = run_busy(scenario, 0.04)
    assert share < 0.6
    assert longest < 0.2


def test_silent_feed_of_a_busy_loop_is_noticed_in_time():
    """0.7 s took 3.2 s."""

    async def scenario(_):
        started_at = time.monotonic()
        with pytest.raises(TimeoutError):
            async with PeerTimeout(FEED_SECONDS):
                await asyncio.get_running_loop().create_future()
        return time.monotonic() - started_at

    assert run_busy(scenario, 0.04) < MAX_FEED_SECONDS
