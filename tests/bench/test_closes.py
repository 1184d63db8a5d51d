"""Guards against losses that the tool does not report, and reports wrongly."""

import json
import math
import subprocess
import sys
import sysconfig
from pathlib import Path

import pytest

from bench.closes.ledger import Ledger, Loss, Request, find_loss
from bench.closes.report import count_causes
from bench.closes.series import DEPLOYMENTS

ROOT = Path(__file__).resolve().parents[2]


def make_request(**fields):
    return Request(
        id='r',
        target='/',
        instance='n',
        connection=1,
        deadline_seconds=10,
        **fields,
    )


@pytest.fixture
def tree(tmp_path):
    """A checkout of this code, built with the packages of the tests."""
    packages = tmp_path / 'target/deps'
    packages.mkdir(parents=True)
    for package in Path(sysconfig.get_path('purelib')).iterdir():
        (packages / package.name).symlink_to(package)
    (packages / 'crocusproxy').symlink_to(ROOT / 'src/crocusproxy')
    (tmp_path / 'deploy').symlink_to(ROOT / 'deploy')
    return tmp_path


def run_tool(*arguments):
    return subprocess.run(
        (sys.executable, '-m', 'bench.closes', *arguments),
        capture_output=True,
        text=True,
        timeout=120,
    )


@pytest.mark.parametrize(
    ('fields', 'loss'),
    [
        ({'arrived_at': 0.1, 'ended_at': 1}, Loss.CUT),
        ({'arrived_at': 0.1, 'ended_at': 1, 'is_behind': True}, Loss.PIPELINED),
        (
            {'arrived_at': 0.1, 'answered_at': 0.5, 'ended_at': 1},
            Loss.UNDELIVERED,
        ),
        ({'ended_at': 0.3}, Loss.LATE),
        ({'arrived_at': 0.1, 'dropped_at': 1, 'completed_at': 1}, None),
        ({'ended_at': 0.1}, None),
        ({'ended_at': 0.3, 'is_behind': True}, None),
        ({'arrived_at': 0.1, 'ended_at': 10}, None),
        ({'arrived_at': 0.1, 'broken_at': 0.9, 'ended_at': 1}, None),
        ({'arrived_at': 0.1}, None),
    ],
)
def test_only_what_the_pages_count_is_lost(fields, loss):
    assert find_loss(make_request(**fields), stops=()) is loss


def test_answer_that_is_cut_short_but_looks_complete_is_lost():
    answered = {'completed_at': 1, 'is_upstream_answer': True}
    cut = make_request(expected_bytes=2, body_bytes=1, **answered)
    assert find_loss(cut, stops=()) is Loss.TRUNCATED
    whole = make_request(expected_bytes=2, body_bytes=2, **answered)
    assert find_loss(whole, stops=()) is None


def test_request_that_is_not_sent_completely_is_not_lost():
    partly = make_request(sent_at=math.inf, arrived_at=0.1, ended_at=1)
    assert find_loss(partly, stops=()) is None


def test_work_in_the_last_sixth_of_the_grace_excuses_an_early_request():
    cut = make_request(sent_at=1.0, arrived_at=1.1, ended_at=5.5)
    assert find_loss(cut, stops=[0.4]) is None
    assert find_loss(cut, stops=[0.6]) is Loss.CUT
    late = make_request(sent_at=3.5, arrived_at=3.6, ended_at=5.5)
    assert find_loss(late, stops=[0.4]) is Loss.CUT


def test_own_answer_for_a_request_at_work_is_lost_at_a_stop_only():
    replaced = make_request(arrived_at=0.1, dropped_at=2, completed_at=2)
    assert find_loss(replaced, stops=[1.0]) is Loss.REPLACED
    assert find_loss(replaced, stops=[2.5]) is None


def test_instance_with_a_fault_is_not_counted_until_it_is_stable():
    ledger = Ledger()
    ledger.add(make_request(sent_at=5.0, arrived_at=5.1, ended_at=6))
    ledger.faults['n'].append((1.0, 1.9))
    assert len(ledger.losses()) == 1
    ledger.faults['n'].append((1.0, 2.1))
    assert not ledger.losses()


def test_causes_of_ends_are_read_from_logs(tmp_path):
    path = tmp_path / 'front-01.log'
    event = {
        'message_type': 'connection_ended',
        'cause': 'stop',
        'requests': [{'stage': 'sent'}, {'stage': 'answered'}],
    }
    path.write_text(f'not JSON\n{json.dumps(event, separators=",:")}\n')
    assert count_causes([path]) == {'stop/sent': 1, 'stop/answered': 1}


@pytest.mark.parametrize('deployment', DEPLOYMENTS.values())
def test_only_requests_by_get_are_on_safe_routes(deployment):
    kinds = [route[1] for route in deployment.routes()]
    assert [kind == 'safe' for kind in kinds] == [
        kind.method == 'GET' for kind in deployment.kinds
    ]


@pytest.mark.parametrize(
    'arguments',
    [('--form=none',), ('--seconds=-1',), ('--tree=/nowhere',)],
)
def test_invalid_arguments_are_reported(arguments):
    result = run_tool(*arguments)
    assert result.returncode == 2
    assert result.stderr.startswith(f'bench.closes: {arguments[0][:6]}')


def test_slow_readers_get_all_answers_at_an_idle_timeout_and_a_stop(
    tree, tmp_path
):
    """The kernel discarded answers that a closing instance had written."""
    path = tmp_path / 'closes.json'
    finished = run_tool(
        '--form=idle,stop',
        f'--tree={tree}',
        f'--json={path}',
        f'--folder={tmp_path / "logs"}',
    )
    assert finished.returncode == 0, finished.stdout + finished.stderr
    results = json.loads(path.read_text())
    assert [result['form'] for result in results] == ['idle', 'stop']
    for result in results:
        assert result['passed_on'] >= 60
        assert result['lost'] == 0
