"""Guards against broken bounds that the tool does not report."""

import json
import subprocess
import sys
from random import Random
from types import SimpleNamespace

import pytest

from bench.margins.config_loss import LossResult, Propagation, draw_loss
from bench.margins.report import (
    find_end_margins,
    find_margins,
    write_end_json,
    write_json,
)
from bench.margins.shutdown import EndResult
from bench.margins.testbed import split_into_domains


def make_result(config_seconds, removal_seconds):
    return LossResult(
        'reader',
        'n0',
        2,
        0.0,
        Propagation(config_seconds, 'n1'),
        Propagation(removal_seconds, 'n2'),
    )


def make_end(exit_seconds, stopped=None):
    return EndResult(
        'one:busy', 'n0', 0.0, exit_seconds, 0, 0.0, 2.1, None, stopped
    )


def make_testbed(domains):
    instances = [
        SimpleNamespace(name=f'n{number}', failure_domain=domain)
        for number, domain in enumerate(domains)
    ]
    return SimpleNamespace(
        domains=domains,
        instances=instances,
        home=lambda: instances[0],
        instances_of=lambda lost: [
            one for one in instances if one.failure_domain in lost
        ],
    )


def run_tool(*arguments):
    return subprocess.run(
        (sys.executable, '-m', 'bench.margins', *arguments),
        capture_output=True,
        text=True,
        timeout=120,
    )


def test_one_time_beyond_the_bound_breaks_it():
    results = [make_result(0.1, 0.2)] * 99
    assert not any(margin.is_broken for margin in find_margins(results))
    config, removal = find_margins([*results, make_result(2.01, 0.2)])
    assert config.is_broken
    assert not removal.is_broken
    assert (config.median, config.high, config.slowest) == (0.1, 0.1, 2.01)
    assert find_margins([]) == ()


def test_report_has_every_loss(tmp_path):
    path = tmp_path / 'margins.json'
    write_json(path, [make_result(0.5, 1.0)])
    document = json.loads(path.read_text())
    assert [margin['share'] for margin in document['margins']] == [0.25, 0.5]
    assert document['losses'][0]['removal']['slowest'] == 'n2'


def test_one_late_end_breaks_the_bound():
    """A process that is killed before `stopped` has no such log line."""
    in_time = make_end(2.9, 2.5)
    assert not any(one.is_broken for one in find_end_margins([in_time], 3.0))
    end, *parts = find_end_margins([in_time, make_end(3.1)], 3.0)
    assert end.is_broken
    assert end.count == 2
    assert {one.promise: one.count for one in parts} == {
        'SIGTERM to draining': 2,
        'port closed to stopped': 1,
        'stopped to exit': 1,
    }
    assert not any(one.is_broken for one in parts)
    assert find_end_margins([], 3.0) == ()


def test_report_has_every_end(tmp_path):
    path = tmp_path / 'margins.json'
    write_end_json(path, [make_end(1.5, 1.4)], 3.0)
    document = json.loads(path.read_text())
    assert document['margins'][0]['share'] == 0.5
    assert document['margins'][-1]['share'] is None
    assert document['ends'][0]['stopped'] == 1.4


@pytest.mark.parametrize(
    'arguments',
    [
        ('--plan=none',),
        ('--repeats=0',),
        ('--repeats=many',),
        ('--instances=4',),
        ('--instances=61',),
        ('--busy=-1',),
        ('--bound=none',),
        ('--shutdown=0',),
        ('--shutdown=long', '--bound=shutdown'),
        ('--plan=reader', '--bound=shutdown'),
    ],
)
def test_invalid_argument_gets_one_line(arguments):
    finished = run_tool(*arguments)
    assert finished.returncode == 2
    (line,) = finished.stderr.splitlines()
    assert arguments[0].split('=')[0] in line


@pytest.mark.parametrize('count', [5, 14, 15, 27, 60])
def test_each_instance_has_a_failure_domain(count):
    domains = split_into_domains(count)
    assert len(domains) == count
    assert len(set(domains)) == 3


def test_series_stops_the_home_in_turn_with_cuts():
    """Stops were late only after other losses, and no plan had both."""
    testbed = make_testbed(split_into_domains(14))
    home = testbed.home()
    losses = [draw_loss(testbed, 'series', one, Random(1)) for one in range(5)]
    two, one, stop, domain_stop, both = losses
    assert home in two.cut
    assert len({instance.failure_domain for instance in two.cut}) == 2
    assert len({instance.failure_domain for instance in one.cut}) == 1
    assert (stop.stopped, stop.cut) == ((home,), ())
    assert domain_stop.stopped == tuple(testbed.instances[:5])
    assert domain_stop.cut == ()
    assert (both.stopped, both.cut) == ((home,), domain_stop.stopped)


def test_loss_is_measured_with_real_processes():
    """The tool itself must work; its figures depend on the machine."""
    finished = run_tool('--repeats=1', '--instances=5', '--plan=reader')
    assert finished.returncode in {0, 1}, finished.stderr
    assert 'configuration in force' in finished.stdout


def test_end_is_measured_with_real_processes():
    """The tool itself must work; its figures depend on the machine."""
    finished = run_tool(
        '--bound=shutdown', '--repeats=1', '--instances=5', '--plan=home+one'
    )
    assert finished.returncode in {0, 1}, finished.stderr
    assert 'end of the process' in finished.stdout
