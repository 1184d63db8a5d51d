"""Guards against exits that a run overlooks and against overlapping reloads."""

import asyncio
import signal
import time
from contextlib import suppress

import pytest

from soak import instances
from soak.instances import PORT_NAMES, Instance
from soak.records import BriefPause, RunRecord


class Process:
    pid = 0
    returncode = None

    def __init__(self):
        self.signalled_by = []
        self.signals = []

    def poll(self):
        return self.returncode

    def send_signal(self, number):
        self.signals.append(number)
        self.signalled_by.append(asyncio.current_task().get_name())


class Processes:
    def __init__(self, folder):
        self.folder = folder
        self.running = {}

    def start(self, name, _):
        self.running[name] = Process()

    def kill(self, name):
        self.running.pop(name)


class TestInstance(Instance):
    __test__ = False

    async def is_ready(self):
        return True


@pytest.fixture
def instance(tmp_path, monkeypatch):
    monkeypatch.setattr(instances, 'EXIT_CHECK_INTERVAL_SECONDS', 0)
    monkeypatch.setattr(instances, 'INTERPRETER_START_SECONDS', -1)
    ports = range(len(PORT_NAMES))
    made = TestInstance(
        0, Processes(tmp_path), 'store:1', RunRecord(1), lambda: 0.0, ports
    )
    made.seeds = ()
    made.spawn()
    return made


async def watch(instance):
    with suppress(TimeoutError):
        async with asyncio.timeout(0.05):
            await instance.watch_exits()


@pytest.mark.parametrize('end', ['kill', 'terminate', 'watch'])
def test_exit_before_a_signal_is_a_violation_once(instance, end):
    """The next planned fault started a new process and hid the exit."""
    actions = {
        'kill': lambda: instance.kill(0),
        'terminate': instance.terminate,
        'watch': lambda: watch(instance),
    }
    instance.processes.running['n0'].returncode = 0
    asyncio.run(actions[end]())
    instance.check_exit()
    assert instance.run_record.violations == [
        'n0: ended by itself with 0 before second 0.00'
    ]


def test_overlapping_reloads_run_one_after_the_other(instance):
    """The second one changed the file before the first one was read."""

    async def scenario():
        await asyncio.gather(
            *(
                asyncio.create_task(instance.reload(2), name=name)
                for name in ('first', 'second')
            )
        )

    asyncio.run(scenario())
    process = instance.processes.running['n0']
    assert process.signalled_by == ['first', 'first', 'second', 'second']


async def nothing():
    """Do nothing in a pause."""


def test_brief_pause_is_no_disturbance_and_always_ends(instance):
    """An instance that stayed stopped would fail every later check."""

    async def fail():
        assert instance.run_record.is_stopped(0)
        raise ConnectionError

    with pytest.raises(ConnectionError):
        asyncio.run(instance.pause_briefly(1, fail))
    process = instance.processes.running['n0']
    assert process.signals == [signal.SIGSTOP, signal.SIGCONT]
    assert not instance.run_record.is_stopped(0)
    assert not instance.run_record.instance_disturbances


def test_brief_pauses_of_an_instance_follow_each_other(instance):
    """The SIGCONT of the first one would end the second one."""

    async def scenario():
        await asyncio.gather(
            *(instance.pause_briefly(0.01, nothing) for _ in range(2))
        )

    asyncio.run(scenario())
    process = instance.processes.running['n0']
    assert process.signals == [signal.SIGSTOP, signal.SIGCONT] * 2


@pytest.mark.parametrize(('end', 'is_late'), [(1.5, True), (2.5, False)])
def test_stopped_process_has_the_time_of_the_stop_besides(
    instance, end, is_late
):
    """It has 3 s in which it runs to end after SIGTERM."""
    instance.run_record.brief_pauses.append(BriefPause(0, 0.5, end))
    times = iter((0.0, 4.9))
    instance.now = lambda: next(times, 4.9)
    process = instance.processes.running['n0']
    polls = iter((None, None))
    process.poll = lambda: next(polls, 0)
    asyncio.run(instance.terminate())
    assert bool(instance.run_record.violations) is is_late


def test_work_beside_a_stop_begins_before_the_signal_and_with_it(instance):
    async def note(name):
        steps.append((name, len(process.signals)))

    steps = []
    process = instance.processes.running['n0']
    process.send_signal = lambda number: (
        process.signals.append(number),
        setattr(process, 'returncode', 0),
    )
    asyncio.run(
        instance.terminate(
            prepare=lambda: note('prepare'),
            accompany=lambda: note('accompany'),
        )
    )
    assert steps == [('prepare', 0), ('accompany', 1)]


@pytest.mark.parametrize(
    ('killed_at', 'is_paused'), [(None, True), (0.35, True), (0.2, False)]
)
def test_pause_of_a_stopping_process_leaves_it_time_to_answer(
    instance, killed_at, is_paused
):
    """It was stopped until after the time at which it would be killed."""
    instance.killed_at = killed_at
    started_at = time.monotonic()
    asyncio.run(instance.pause_briefly(0.1, nothing))
    seconds = time.monotonic() - started_at
    assert bool(instance.run_record.brief_pauses) is is_paused
    assert (seconds >= 0.1) is (killed_at is None)
