"""Guards against explain output that omits related events of a request."""

import json

from crocusproxy.cli.exits import ExitCode
from crocusproxy.cli.explain import explain


def line(timestamp, event, instance='n1', **fields):
    record = {
        'timestamp': timestamp,
        'message_type': event,
        'instance': instance,
    }
    return json.dumps(record | fields)


LOG = [
    line(90.0, 'home_taken_over', epoch=1),
    line(97.0, 'upstream_changed', upstream='i-1', state='leaving'),
    line(98.0, 'upstream_changed', upstream='i-2', state='ready'),
    line(99.0, 'home_taken_over', epoch=2),
    line(99.5, 'home_taken_over', 'n2', epoch=2),
    line(100.0, 'call_ended', request_id='r1', upstream='i-1', took_ms=5),
    line(100.1, 'request_refused', request_id='r1', code='timed_out'),
    line(100.2, 'call_ended', request_id='r2', upstream='i-1'),
    'not a log line',
    '{"broken": ',
]


def write_log(tmp_path, prefix=''):
    path = tmp_path / 'n1.log'
    path.write_text('\n'.join(prefix + line_text for line_text in LOG))
    return str(path)


def test_explain_shows_the_request_and_related_events(tmp_path):
    result = explain('r1', [write_log(tmp_path)])
    events = [
        (
            line_record['event'],
            line_record.get('upstream') or line_record.get('epoch', ''),
        )
        for line_record in result.json_value['lines']
    ]
    assert events == [
        ('upstream_changed', 'i-1'),
        ('home_taken_over', 2),
        ('call_ended', 'i-1'),
        ('request_refused', ''),
    ]
    assert 'code=timed_out' in result.text


def test_explain_finds_a_request_in_the_end_of_its_connection(tmp_path):
    path = tmp_path / 'n1.log'
    requests = [{'request_id': 'r1'}, {'request_id': 'r2'}]
    path.write_text(line(100.0, 'connection_ended', requests=requests))
    assert 'connection_ended' in explain('r2', [str(path)]).text
    assert explain('r3', [str(path)]).exit_code is ExitCode.rejected


def test_prefix_of_a_log_collector_is_skipped(tmp_path):
    result = explain('r1', [write_log(tmp_path, '12.5 n1 ')])
    assert len(result.json_value['lines']) == 4


def test_unknown_request_id_exits_as_rejected(tmp_path):
    result = explain('r9', [write_log(tmp_path)])
    assert result.exit_code == ExitCode.rejected
    assert 'r9' in result.text


def test_both_attempts_of_a_hedged_request_are_shown(tmp_path):
    path = tmp_path / 'n1.log'
    hedge = line(2, 'call_ended', request_id='r1', upstream='i-2', hedge=True)
    first = line(2, 'call_ended', request_id='r1', outcome='cancelled')
    path.write_text(f'{hedge}\n{first}')
    text = explain('r1', [str(path)]).text
    assert 'hedge=True' in text
    assert 'outcome=cancelled' in text
