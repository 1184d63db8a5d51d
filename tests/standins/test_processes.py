"""Guards against processes that outlive the demo or a test."""

import asyncio
import os
import subprocess
import sys

import pytest

from standins.processes import (
    MODULES,
    PortBlocks,
    Processes,
    ProcessFailedError,
    free_ports,
    program_command,
    standin_command,
)

IGNORES_SIGTERM = (
    'import signal, time; signal.signal(signal.SIGTERM, signal.SIG_IGN);'
    'print("ready", flush=True); time.sleep(60)'
)
KILLED_AFTER_STARTING_A_CHILD = (
    'import os, pathlib, signal, sys;'
    'from standins.processes import Processes;'
    'child = Processes(pathlib.Path(sys.argv[1])).start("c", ["sleep", "60"]);'
    'print(child.pid, flush=True);'
    'os.kill(os.getpid(), signal.SIGKILL)'
)


def is_running(pid):
    try:
        with open(f'/proc/{pid}/stat') as stat:
            return stat.read().rsplit(')')[1].split()[0] != 'Z'
    except FileNotFoundError:
        return False


def wait_for_line(path):
    while not path.read_text():
        os.sched_yield()


def test_processes_are_stopped_when_the_block_fails(tmp_path):
    started = []
    with pytest.raises(RuntimeError), Processes(tmp_path) as processes:
        started.append(processes.start('plain', ['sleep', '60']))
        raise RuntimeError
    assert started[0].returncode is not None


def test_a_process_that_ignores_sigterm_is_killed(tmp_path):
    with Processes(tmp_path) as processes:
        command = [sys.executable, '-c', IGNORES_SIGTERM]
        stubborn = processes.start('stubborn', command)
        wait_for_line(processes.log_path('stubborn'))
        assert processes.stop_all(grace_seconds=0.1) == ('stubborn',)
    assert stubborn.returncode == -9


def test_a_child_does_not_outlive_a_parent_that_is_killed(tmp_path):
    command = [sys.executable, '-c', KILLED_AFTER_STARTING_A_CHILD, tmp_path]
    parent = subprocess.run(command, stdout=subprocess.PIPE, timeout=20)
    while is_running(int(parent.stdout)):
        os.sched_yield()


def test_a_start_failure_reports_the_log_and_its_last_lines(tmp_path):
    with Processes(tmp_path) as processes:
        processes.start('broken', [sys.executable, '-c', 'raise Oops'])
        with pytest.raises(ProcessFailedError, match='broken.log') as caught:
            url = f'http://127.0.0.1:{free_ports(1)[0]}/'
            asyncio.run(processes.wait_ready('broken', url, 20))
    assert "name 'Oops' is not defined" in str(caught.value)


def test_two_runs_on_a_host_get_no_common_port(tmp_path):
    """An instance never became ready, as another run had taken its port.

    Seen with two and more runs of the upgrade test and of bench.margins.
    """
    runs = [PortBlocks(tmp_path) for _ in range(20)]
    for run in (*runs, *runs):
        run.reserve()
    ports = [port for run in runs for port in run.take()]
    assert len(set(ports)) == len(ports) > 0


def test_port_is_taken_again_as_late_as_possible(tmp_path):
    """A program that had not bound its port yet would lose it."""
    blocks = PortBlocks(tmp_path)
    blocks.reserve()
    taking = blocks.take()
    first = [next(taking) for _ in range(30)]
    second = [port for port, _ in zip(blocks.take(), first, strict=False)]
    assert not set(first) & set(second)


def test_free_ports_are_different():
    assert len(set(free_ports(50))) == 50


def test_a_program_without_a_main_module_has_no_command(monkeypatch):
    monkeypatch.setitem(MODULES, 'absent', 'crocusproxy.absent')
    assert program_command('absent') is None
    assert program_command('crocus-locator', 'x')[1:] == ['x']
    assert standin_command('upstream', port=1)[-1] == '--port=1'
