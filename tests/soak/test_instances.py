"""Guards against exits that a run overlooks and against overlapping reloads."""

import asyncio
from contextlib import suppress

import pytest

from soak import instances
from soak.instances import PORT_NAMES, Instance
from soak.records import RunRecord


class Process:
    pid = 0
    returncode = None

    def __init__(self):
        self.signalled_by = []

    def poll(self):
        return self.returncode

    def send_signal(self, _):
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
