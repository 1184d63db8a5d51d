"""Tests that the soak reports responses that were lost with a connection."""

import pytest

from soak.delivery_invariants import (
    LOSS_SLACK_SECONDS,
    lost_by_log,
    lost_responses,
    lost_unread,
)
from soak.records import (
    Arrival,
    BriefPause,
    ConnectionEnd,
    InstanceDisturbance,
    RunRecord,
    SentRequest,
    UpstreamDisturbance,
)


def cut_run(outcome='cut', **fields):
    request = SentRequest('r1', '/', True, 0, 10.0, outcome, 10.1)
    return RunRecord(requests=[request], **fields)


def arrival(*, has_run=True):
    return Arrival('r1', '/', 's1', 10.05, has_run)


@pytest.mark.parametrize('has_run', [True, False])
def test_cut_after_a_request_was_passed_on_is_reported(has_run):
    run = cut_run(arrivals=[arrival(has_run=has_run)])
    (line,) = lost_responses(run)
    assert 'cut off after it was passed on: r1' in line


def test_request_that_no_upstream_got_may_be_cut():
    """The caller may repeat a request that came too late for a connection."""
    assert not list(lost_responses(cut_run()))


@pytest.mark.parametrize(
    ('instance', 'start', 'end', 'is_planned', 'is_allowed'),
    [
        (0, 9.0, 10.05, False, True),
        (0, 9.0, 11.0, True, False),
        (1, 9.0, 11.0, False, False),
        (0, 8.0, 9.9, False, False),
    ],
)
def test_only_a_kill_of_the_own_instance_may_cut(
    instance, start, end, is_planned, is_allowed
):
    disturbance = InstanceDisturbance(instance, start, end, is_planned)
    run = cut_run(arrivals=[arrival()], instance_disturbances=[disturbance])
    assert bool(list(lost_responses(run))) is not is_allowed


def test_faulty_upstream_may_not_cut():
    run = cut_run(
        arrivals=[arrival()],
        upstream_disturbances=[UpstreamDisturbance(9, 11)],
    )
    assert list(lost_responses(run))


def unread_run(waited=LOSS_SLACK_SECONDS + 0.1, outcome='cut', **fields):
    request = SentRequest('r1', '/', True, 0, 10.0, outcome, 10.0 + waited)
    return RunRecord(requests=[request], **fields)


def test_end_of_a_connection_on_a_request_that_waited_is_reported():
    (line,) = lost_unread(unread_run())
    assert 'cut off 0.30 s after it was sent: r1 at n0' in line


def test_pause_of_the_instance_does_not_excuse_a_lost_request():
    """It can be answered after the pause."""
    pauses = [BriefPause(0, 9.9, 10.29)]
    assert list(lost_unread(unread_run(brief_pauses=pauses)))


def test_pause_does_not_excuse_a_cut_after_a_request_was_passed_on():
    pauses = [BriefPause(0, 9.9, 10.09)]
    assert list(
        lost_responses(cut_run(arrivals=[arrival()], brief_pauses=pauses))
    )


@pytest.mark.parametrize(
    'run',
    [
        unread_run(LOSS_SLACK_SECONDS - 0.1),
        unread_run(outcome='left'),
        unread_run(outcome='answered'),
        unread_run(
            instance_disturbances=[InstanceDisturbance(0, 9.9, 10.1, False)]
        ),
    ],
)
def test_end_that_the_request_crossed_or_a_kill_caused_is_allowed(run):
    assert not list(lost_unread(run))


def test_request_behind_another_may_be_cut_unless_it_was_passed_on():
    run = unread_run(arrivals=[])
    run.requests[0].is_behind = True
    assert not list(lost_unread(run))
    run.arrivals.append(arrival())
    assert list(lost_responses(run))


def ended(cause, stage, request_id='r1'):
    return ConnectionEnd(0, cause, '', ((request_id, stage),))


@pytest.mark.parametrize(
    'cause', ['stop', 'idle_timeout', 'response', 'send_timeout']
)
@pytest.mark.parametrize('stage', ['forwarded', 'sent', 'answered'])
def test_logged_loss_is_reported(cause, stage):
    run = cut_run(connection_ends=[ended(cause, stage)])
    (line,) = lost_by_log(run)
    assert f'({cause}) with r1 {stage}' in line


@pytest.mark.parametrize(
    ('outcome', 'end'),
    [
        ('cut', ended('caller', 'sent')),
        ('cut', ended('error', 'sent')),
        ('cut', ended('stop', 'reading')),
        ('cut', ended('stop', 'queued')),
        ('answered', ended('stop', 'answered')),
        ('left', ended('stop', 'sent')),
    ],
)
def test_end_that_costs_no_response_is_allowed(outcome, end):
    assert not list(lost_by_log(cut_run(outcome, connection_ends=[end])))


def test_logged_loss_of_a_request_that_nobody_sent_is_reported():
    """An instance that logs a wrong request id would hide a loss."""
    assert list(
        lost_by_log(cut_run(connection_ends=[ended('stop', 'sent', '')]))
    )
