"""Tests that the soak reports each violated invariant."""

import pytest

from soak.invariants import BUDGET_SLACK, find_violations
from soak.records import (
    Arrival,
    InstanceDisturbance,
    RunRecord,
    SentRequest,
    Statement,
    UpstreamCut,
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


def test_faulty_upstream_may_not_cut_off_request():
    """Its caller gets an error, and keeps the connection."""
    run = record(
        sent_request(outcome='cut'),
        arrival(),
        upstream_disturbances=[UpstreamDisturbance(9, 11)],
    )
    (line,) = find_violations(run)
    assert 'cut off' in line


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


def stated(terms, figure=0.0):
    return Statement('i-1', terms, figure, set_at=9.0, told_at=10.0)


def arrivals_at(times):
    return [
        Arrival(f'r{number}', PATH, 's2', time, False, 'i-1')
        for number, time in enumerate(times)
    ]


def violations_with(statement, times, **fields):
    requests = [
        sent_request(request_id=f'r{number}', body=f'r{number}', sent_at=time)
        for number, time in enumerate(times)
    ]
    run = RunRecord(
        requests,
        arrivals_at(times),
        allowed_services={PATH: {'s2'}},
        statements=[statement],
        **fields,
    )
    return find_violations(run)


@pytest.mark.parametrize(
    ('statement', 'times', 'message'),
    [
        (stated('limit', 1), [11 + number / 4 for number in range(12)], '12 r'),
        (stated('leave'), [12.1], 'which leaves'),
        (stated('backoff', 5), [11, 11.1, 14.9], '3 requests in the backoff'),
    ],
)
def test_ignored_terms_are_reported(statement, times, message):
    (violation,) = violations_with(statement, times)
    assert message in violation


@pytest.mark.parametrize(
    ('statement', 'times'),
    [
        (stated('limit', 1), [11 + number / 4 for number in range(11)]),
        (stated('limit', 1), [9 + number / 20 for number in range(25)]),
        (stated('leave'), [11.9]),
        (stated('backoff', 5), [10.2, 10.3, 10.4, 11, 12, 15.1]),
    ],
)
def test_kept_terms_are_no_violation(statement, times):
    assert not violations_with(statement, times)


def test_probes_count_towards_a_limit():
    times = [11 + number / 4 for number in range(11)]
    probes = {'i-1': [12.0]}
    (violation,) = violations_with(
        stated('limit', 1), times, probe_times=probes
    )
    assert '12 requests in 4 s' in violation


def cut_run(status, instance=0, count=20):
    """Return a run with requests at an instance that has lost upstreams."""
    requests = [
        sent_request(
            request_id=f'r{number}',
            body=f'r{number}',
            instance=where,
            status=answer,
            sent_at=10 + number / 100,
        )
        for where, answer, start in ((instance, status, 0), (1, 200, count))
        for number in range(start, start + count)
    ]
    arrivals = [
        arrival(request.request_id)
        for request in requests
        if request.status == 200
    ]
    return RunRecord(
        requests,
        arrivals,
        allowed_services={PATH: {'s2'}},
        upstream_cuts=[UpstreamCut(0, 5, 15)],
    )


def test_unserved_callers_of_an_instance_without_upstreams_are_reported():
    (violation,) = find_violations(cut_run(503))
    assert violation.startswith('20 of 20 requests not served')


def test_served_callers_of_an_instance_without_upstreams_are_not_reported():
    assert not find_violations(cut_run(200))


def test_few_failures_at_an_instance_without_upstreams_are_allowed():
    assert not find_violations(cut_run(503, count=9))


def test_failures_while_all_instances_are_cut_off_are_allowed():
    """Overlapping cuts can take the upstreams from every instance."""
    run = cut_run(503)
    run.upstream_cuts.append(UpstreamCut(1, 8, 9))
    assert not find_violations(run)


def test_failures_while_the_other_instance_shuts_down_are_allowed():
    run = cut_run(503)
    run.instance_disturbances.append(
        InstanceDisturbance(1, 8, 9, is_planned=True)
    )
    assert not find_violations(run)


def test_failures_elsewhere_are_no_fault_of_the_cut():
    assert not find_violations(cut_run(503, instance=2))
