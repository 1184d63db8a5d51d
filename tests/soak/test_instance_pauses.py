"""Tests that pauses which no fault caused are told apart."""

import json

import pytest

from soak.instance_log import InstanceLog
from soak.instance_pauses import own_pauses
from soak.records import (
    BriefPause,
    InstanceDisturbance,
    InstancePause,
    RunRecord,
)

RUN_STARTED_AT = 1000.0


@pytest.fixture
def log(tmp_path):
    path = tmp_path / 'n0.log'
    event = {
        'timestamp': RUN_STARTED_AT + 5,
        'message_type': 'loop_paused',
        'seconds': 0.8,
        'processor_seconds': 0.02,
    }
    path.write_text(json.dumps(event) + '\n')
    made = InstanceLog(path)
    made.read()
    return made


def pauses(log, **fields):
    return list(own_pauses(RunRecord(**fields), log, 0, RUN_STARTED_AT))


def test_pause_without_a_fault_is_shown_with_its_processor_time(log):
    (pause,) = pauses(log)
    assert pause == InstancePause(0, 5.0, 0.8, 0.02)
    assert str(pause) == (
        'n0 paused for 0.80 s before second 5.00, busy for 0.02 s of it'
    )


def test_pause_that_a_fault_caused_is_left_out(log):
    assert not pauses(log, brief_pauses=[BriefPause(0, 4.1, 4.9)])
    assert not pauses(
        log, instance_disturbances=[InstanceDisturbance(0, 4, 6, False)]
    )


def test_fault_of_another_instance_or_time_leaves_a_pause(log):
    assert pauses(log, brief_pauses=[BriefPause(1, 4.1, 4.9)])
    assert pauses(log, brief_pauses=[BriefPause(0, 3.1, 3.9)])
