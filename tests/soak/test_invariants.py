"""Tests that the soak reports each violated invariant."""

import pytest

from soak.invariants import BUDGET_SLACK, find_violations
from soak.records import (
    Arrival,
    InstanceDisturbance,
    RunRecord,
    SentRequest,
    UpstreamDisturbance,
)

PATH = '/unsafe/'


def sent_request(**overrides):
    fields = {
        'request_id': 'r1',
        'path': PATH,
        'idempotent': False,
        'instance': 0,
        'sent_at': 10.0,
        'outcome': 'answered',
        'ended_at': 10.1,
        'status': 200,
        'body': 'r1',
        'is_signed': True,
    }
    return SentRequest(**{**fields, **overrides})


def arrival(
    request_id='r1', path=PATH, service='s2', arrived_at=10.05, has_run=True
):
    return Arrival(request_id, path, service, arrived_at, has_run)


def record(request, *arrivals, **fields):
    return RunRecord(
        [request], list(arrivals), allowed_services={PATH: {'s2'}}, **fields
    )


def test_correct_run_has_no_violations():
    assert not find_violations(record(sent_request(), arrival()))


@pytest.mark.parametrize(
    ('request_record', 'arrivals', 'message'),
    [
        (sent_request(), [arrival(), arrival()], 'duplicated'),
        (sent_request(status=503), [arrival()], 'refused though it ran'),
        (sent_request(), [arrival(), arrival('r2')], 'nobody sent'),
        (sent_request(path='/safe/'), [arrival()], 'nobody sent'),
        (sent_request(body='r2'), [arrival()], 'response of another'),
        (sent_request(is_signed=False), [arrival()], 'response of another'),
        (sent_request(), [arrival(service='s1')], 'ran at s1'),
        (sent_request(outcome='late'), [], 'no response in time'),
        (sent_request(outcome='cut'), [arrival()], 'cut off'),
    ],
)
def test_violation_is_reported(request_record, arrivals, message):
    (line,) = find_violations(record(request_record, *arrivals))
    assert message in line


def test_idempotent_request_may_run_again():
    request = sent_request(idempotent=True)
    assert not find_violations(record(request, arrival(), arrival()))


@pytest.mark.parametrize('outcome', ['late', 'cut'])
def test_killed_instance_may_interrupt_request(outcome):
    kill = InstanceDisturbance(0, 9.9, 11, is_planned=False)
    run = record(
        sent_request(outcome=outcome), arrival(), instance_disturbances=[kill]
    )
    assert not find_violations(run)


@pytest.mark.parametrize('outcome', ['late', 'cut'])
def test_planned_shutdown_may_not_interrupt_request(outcome):
    shutdown = InstanceDisturbance(0, 9.9, 11, is_planned=True)
    run = record(
        sent_request(outcome=outcome),
        arrival(),
        instance_disturbances=[shutdown],
    )
    assert find_violations(run)


def test_faulty_upstream_may_cut_off_request():
    run = record(
        sent_request(outcome='cut'),
        arrival(),
        upstream_disturbances=[UpstreamDisturbance(9, 11)],
    )
    assert not find_violations(run)


def test_retries_beyond_budget_are_reported():
    run = RunRecord(allowed_services={PATH: {'s2'}})
    for number in range(BUDGET_SLACK + 1):
        request = sent_request(
            request_id=f'r{number}', idempotent=True, body=f'r{number}'
        )
        run.requests.append(request)
        run.arrivals += [arrival(f'r{number}')] * 3
    (line,) = find_violations(run)
    assert 'repeats at s2' in line


def test_older_version_after_newer_one_is_reported():
    run = RunRecord(allowed_services={'/only1/': {'s1'}, '/only2/': {'s1'}})
    for number, path, at in ((1, '/only2/', 1.0), (2, '/only1/', 2.0)):
        request_id = f'r{number}'
        run.requests.append(
            sent_request(
                request_id=request_id,
                path=path,
                idempotent=True,
                sent_at=at,
                ended_at=at + 0.1,
                body=request_id,
            )
        )
        run.arrivals.append(arrival(request_id, path, 's1', at))
    (line,) = find_violations(run)
    assert 'version 1 after 2' in line
