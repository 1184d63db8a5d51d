"""Guards against a soak that passes although a promise was broken."""

import pytest

from soak.invariants import BUDGET_SLACK, faults
from soak.records import Arrival, Disturbance, RunRecord, Sent, Upset

PATH = '/unsafe/'


def sent(**changes):
    fields = {
        'request_id': 'r1',
        'path': PATH,
        'idempotent': False,
        'instance': 0,
        'sent': 10.0,
        'end': 'answered',
        'ended': 10.1,
        'status': 200,
        'body': 'r1',
        'signed': True,
    }
    return Sent(**{**fields, **changes})


def arrival(request_id='r1', path=PATH, service='s2', at=10.05, ran=True):
    return Arrival(request_id, path, service, at, ran)


def record(one, *arrivals, **more):
    return RunRecord([one], list(arrivals), allowed={PATH: {'s2'}}, **more)


def test_proper_run_breaks_nothing():
    assert not faults(record(sent(), arrival()))


@pytest.mark.parametrize(
    ('one', 'arrivals', 'words'),
    [
        (sent(), [arrival(), arrival()], 'duplicated'),
        (sent(status=503), [arrival()], 'refused though it ran'),
        (sent(), [arrival(), arrival('r2')], 'nobody sent'),
        (sent(path='/safe/'), [arrival()], 'nobody sent'),
        (sent(body='r2'), [arrival()], 'response of another'),
        (sent(signed=False), [arrival()], 'response of another'),
        (sent(), [arrival(service='s1')], 'ran at s1'),
        (sent(end='late'), [], 'no response in time'),
        (sent(end='cut'), [arrival()], 'cut off'),
    ],
)
def test_each_breach_is_found(one, arrivals, words):
    (line,) = faults(record(one, *arrivals))
    assert words in line


def test_idempotent_request_may_run_again():
    one = sent(idempotent=True)
    assert not faults(record(one, arrival(), arrival()))


@pytest.mark.parametrize('end', ['late', 'cut'])
def test_killed_instance_excuses_what_it_held(end):
    killed = Disturbance(0, 9.9, 11, planned=False)
    run = record(sent(end=end), arrival(), disturbances=[killed])
    assert not faults(run)


@pytest.mark.parametrize('end', ['late', 'cut'])
def test_planned_end_excuses_nothing(end):
    ended = Disturbance(0, 9.9, 11, planned=True)
    run = record(sent(end=end), arrival(), disturbances=[ended])
    assert faults(run)


def test_harmed_upstream_may_cut_a_request_off():
    run = record(sent(end='cut'), arrival(), upsets=[Upset(9, 11)])
    assert not faults(run)


def test_repeats_beyond_the_budget_are_found():
    run = RunRecord(allowed={PATH: {'s2'}})
    for number in range(BUDGET_SLACK + 1):
        one = sent(request_id=f'r{number}', idempotent=True, body=f'r{number}')
        run.sent.append(one)
        run.arrivals += [arrival(f'r{number}')] * 3
    (line,) = faults(run)
    assert 'repeats at s2' in line


def test_older_version_after_a_newer_one_is_found():
    run = RunRecord(allowed={'/only1/': {'s1'}, '/only2/': {'s1'}})
    for number, path, at in ((1, '/only2/', 1.0), (2, '/only1/', 2.0)):
        request_id = f'r{number}'
        run.sent.append(
            sent(
                request_id=request_id,
                path=path,
                idempotent=True,
                sent=at,
                ended=at + 0.1,
                body=request_id,
            )
        )
        run.arrivals.append(arrival(request_id, path, 's1', at))
    (line,) = faults(run)
    assert 'version 1 after 2' in line
