"""Guards against a demo that leaks processes or hides a failure."""

import asyncio
import json
import os
import signal
import sys
from pathlib import Path

import pytest

from standins.processes import Processes

FIGURE_NAMES = {
    'calls',
    'answered',
    'not_run',
    'failed',
    'unknown',
    'duplicated',
    'cut_short',
    'added_ms',
    'probes',
    'probe_budget',
    'new_work_after_drain_ms',
}


def start_demo(processes, seconds):
    command = [sys.executable, '-u', '-m', 'standins.demo']
    return processes.start('demo', [*command, f'--seconds={seconds}'])


def children(process):
    path = Path(f'/proc/{process.pid}/task/{process.pid}/children')
    return path.read_text().split()


def wait_for(log, text, process):
    while text not in log.read_text():
        assert process.poll() is None, log.read_text()
        os.sched_yield()


def test_a_short_run_is_correct_and_prints_its_figures_last(tmp_path):
    with Processes(tmp_path) as processes:
        start_demo(processes, 4)
        asyncio.run(processes.wait_for_exit('demo', 60))
        last = processes.log_path('demo').read_text().splitlines()[-1]
    figures = json.loads(last)
    assert FIGURE_NAMES <= figures.keys()
    assert figures['answered'] > 0
    assert figures['duplicated'] == figures['cut_short'] == 0


@pytest.mark.parametrize('interrupt', [signal.SIGINT, signal.SIGTERM])
def test_an_interrupted_run_leaves_no_process_behind(tmp_path, interrupt):
    with Processes(tmp_path) as processes:
        demo = start_demo(processes, 30)
        log = processes.log_path('demo')
        wait_for(log, 'callers send', demo)
        started = children(demo)
        demo.send_signal(interrupt)
        assert demo.wait(60) == 1
        assert 'every process was ended' in log.read_text()
    assert len(started) > 10
    assert not [pid for pid in started if Path(f'/proc/{pid}').exists()]
