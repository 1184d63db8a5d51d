"""Guards against pauses of the event loop that nobody can see."""

import asyncio
import gc
import time

import pytest

from crocusproxy.clock import SystemClock
from crocusproxy.event_loop.pause_monitor import PauseMonitor

PAUSE_SECONDS = 0.3


@pytest.fixture
def lines():
    return []


@pytest.fixture
def monitor(lines):
    return PauseMonitor(
        SystemClock(), lambda event, **fields: lines.append((event, fields))
    )


async def run_paused(monitor, pause):
    monitor.start()
    try:
        await asyncio.sleep(0.12)
        pause()
        await asyncio.sleep(0.12)
    finally:
        monitor.stop()


def test_pause_is_logged_with_its_longest_step(monitor, lines):
    def pause():
        with monitor.step('reload'):
            time.sleep(PAUSE_SECONDS)

    asyncio.run(run_paused(monitor, pause))
    event, fields = max(lines, key=lambda line: line[1]['seconds'])
    assert event == 'loop_paused'
    assert fields['seconds'] > PAUSE_SECONDS / 2
    assert fields['step'] == 'reload'
    assert fields['step_seconds'] >= PAUSE_SECONDS


def test_pause_tells_work_from_waiting_for_a_processor(monitor, lines):
    asyncio.run(run_paused(monitor, lambda: time.sleep(PAUSE_SECONDS)))
    _, fields = max(lines, key=lambda line: line[1]['seconds'])
    assert fields['processor_seconds'] < fields['seconds'] / 2


def test_pause_names_the_time_of_the_collector(monitor, lines):
    def pause():
        gc.collect()
        time.sleep(PAUSE_SECONDS)

    asyncio.run(run_paused(monitor, pause))
    assert any(fields['collector_seconds'] > 0 for _, fields in lines)


def test_pause_counts_before_the_timer_of_the_monitor_runs(monitor):
    totals = []

    def pause():
        before = monitor.total_seconds()
        time.sleep(PAUSE_SECONDS)
        totals.append(monitor.total_seconds() - before)

    asyncio.run(run_paused(monitor, pause))
    assert totals[0] > PAUSE_SECONDS / 2


def test_stopped_monitor_observes_nothing(monitor):
    async def scenario():
        monitor.start()
        monitor.stop()
        time.sleep(PAUSE_SECONDS)
        return monitor.total_seconds()

    assert asyncio.run(scenario()) == 0
    assert monitor._note_collection not in gc.callbacks
