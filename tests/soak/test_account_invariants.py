"""Tests that the soak reports violations of client accounts' invariants."""

import pytest

from soak.invariants import find_violations
from soak.records import (
    Arrival,
    KeyPeriod,
    Quota,
    QuotaChange,
    RunRecord,
    SentRequest,
    StoreDisturbance,
)

PATH = '/unsafe/'
FREE_PATH = '/safe/'
KEYS = {
    'key-of-main': KeyPeriod('main'),
    'old': KeyPeriod('rotated', added_at=1, removed_at=7),
    'new': KeyPeriod('rotated', added_at=7),
}


def account_run(key, sent_at=10.0, path=PATH, count=1, status=200, **fields):
    """Return a run with equal requests, which ran if the status is 200."""
    requests = [
        SentRequest(
            f'r{number}',
            path,
            idempotent=True,
            instance=0,
            sent_at=sent_at + number / 10,
            outcome='answered',
            ended_at=sent_at + number / 10 + 0.05,
            status=status,
            body=f'r{number}',
            is_signed=True,
            key=key,
        )
        for number in range(count)
    ]
    account = KEYS[key].account if key in KEYS else ''
    arrival_fields = {'account': account, **fields.pop('arrival', {})}
    arrivals = [
        Arrival(
            request.request_id,
            path,
            's2',
            request.sent_at,
            has_run=True,
            **arrival_fields,
        )
        for request in requests
        if status == 200
    ]
    return RunRecord(
        requests,
        arrivals,
        allowed_services={path: {'s2'}},
        keys=KEYS,
        anonymous_paths={FREE_PATH},
        **fields,
    )


@pytest.mark.parametrize(
    ('run', 'message'),
    [
        (account_run('unknown'), 'without a valid key'),
        (account_run('unknown', path=FREE_PATH), 'without a valid key'),
        (account_run(''), 'without a valid key'),
        (account_run('old', 9.6), 'without a valid key'),
        (account_run('new', 6), 'without a valid key'),
        (account_run('new', arrival={'account': 'main'}), "account 'main'"),
        (account_run('new', arrival={'account': ''}), "account ''"),
        (
            account_run('', path=FREE_PATH, arrival={'account': 'forged'}),
            "account 'forged'",
        ),
        (account_run('new', arrival={'leaks_key': True}), 'key passed'),
        (account_run('key-of-main', 0, status=401), '401 with a valid key'),
        (account_run('new', 9.6, status=401), '401 with a valid key'),
        (account_run('old', 6.9, status=401), '401 with a valid key'),
        (account_run('', path=FREE_PATH, status=401), '401 with a valid key'),
    ],
)
def test_violation_is_reported(run, message):
    (line,) = find_violations(run)
    assert message in line


@pytest.mark.parametrize(
    'run',
    [
        account_run('key-of-main', 0),
        account_run('old', 9.4),
        account_run('old', 8, status=401),
        account_run('new', 9, status=401),
        account_run('', path=FREE_PATH),
        account_run('', status=401),
        account_run('unknown', status=401),
    ],
)
def test_correct_run_has_no_violations(run):
    assert not find_violations(run)


@pytest.mark.parametrize(
    ('disturbance', 'is_reported'),
    [
        (StoreDisturbance(8, 9.5), False),
        (StoreDisturbance(5, 7.2), True),
        # The configuration was in force before the disturbance.
        (StoreDisturbance(9.6, 10), True),
        (StoreDisturbance(9.6, 10, is_restore=True), False),
    ],
)
def test_disturbance_of_the_store_delays_a_change(disturbance, is_reported):
    run = account_run('old', 9.9, store_disturbances=[disturbance])
    assert bool(find_violations(run)) == is_reported


@pytest.mark.parametrize(('rate', 'is_reported'), [(3, True), (4, False)])
def test_requests_beyond_a_quota_are_reported(rate, is_reported):
    """In 5 s, 3 a second and a burst of 10 allow 47 requests, 4 allow 53."""
    run = account_run('key-of-main', count=50, quotas={'main': Quota(rate, 10)})
    violations = find_violations(run)
    assert bool(violations) == is_reported
    assert all('48 requests of main ran' in line for line in violations)


@pytest.mark.parametrize(
    ('changed_at', 'disturbances', 'is_reported'),
    [
        (6, [], True),
        # The requests end before a window after the propagation.
        (7.6, [], False),
        # The disturbance delays the propagation.
        (6, [StoreDisturbance(6.5, 7.5)], False),
    ],
)
def test_lowered_quota_binds_a_window_after_it_is_in_force(
    changed_at, disturbances, is_reported
):
    """A change in force at 8.5 is binding at 13.5; requests end at 14.9."""
    run = account_run(
        'key-of-main',
        count=50,
        quotas={'main': Quota(10, 10)},
        quota_changes=[QuotaChange('main', changed_at, Quota(1, 1))],
        store_disturbances=disturbances,
    )
    assert bool(find_violations(run)) == is_reported


def test_raised_quota_counts_from_its_publication_on():
    run = account_run(
        'key-of-main',
        count=50,
        quotas={'main': Quota(1, 1)},
        quota_changes=[QuotaChange('main', 11, Quota(10, 10))],
    )
    assert not find_violations(run)


def test_request_without_an_end_is_no_violation():
    """The end of the load cancels requests, which have no time of their end."""
    run = account_run('new')
    run.requests[0].outcome = 'not_sent'
    run.requests[0].ended_at = 0
    assert not find_violations(run)


def test_rejected_requests_do_not_count_towards_a_quota():
    run = account_run(
        'key-of-main', count=50, status=429, quotas={'main': Quota(3, 10)}
    )
    assert not find_violations(run)
