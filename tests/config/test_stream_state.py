"""Guards against readers that compute different states from one stream."""

from dataclasses import replace

import pytest

from crocusproxy.config.change import (
    RULES_VERSION,
    Delete,
    apply_edits,
    edits_between,
)
from crocusproxy.config.model import Document
from crocusproxy.config.records import (
    InvalidChange,
    UnknownRules,
    UnreadableRecord,
    read_record,
)
from crocusproxy.config.snapshot import make_snapshot
from crocusproxy.config.stream_state import (
    MAX_VERDICTS,
    StreamState,
    apply_record,
    initial_state,
)
from crocusproxy.config.verdict import Accepted, Rejected
from crocusproxy.protocol.codec import to_plain
from tests.config.samples import change, put_service, put_upstream


def state_after(records, state=None, start=0):
    state = state or initial_state(start)
    for offset, record in enumerate(records, start):
        state = apply_record(state, offset, record)
    return state


def snapshot_of(state):
    return make_snapshot(state.document, state.verdicts, state.offset)


CHANGES = (
    change('one', 0, put_service('s'), put_upstream('s', 'a')),
    change('two', 1, put_service('t')),
    change('late', 1, Delete('service', 't')),
)
STATE = state_after(CHANGES)


def test_a_change_against_an_old_generation_is_rejected_with_the_current_one():
    assert STATE.verdicts == {
        'one': Accepted(1),
        'two': Accepted(2),
        'late': Rejected('generation_conflict', 2),
    }


def test_a_repeated_submission_keeps_its_first_verdict():
    state = apply_record(STATE, 3, CHANGES[0])
    assert state.verdicts == STATE.verdicts
    assert state.document == STATE.document


def test_only_the_last_verdicts_are_kept():
    state = STATE
    for offset in range(3, 3 + MAX_VERDICTS):
        state = apply_record(
            state, offset, change(f's{offset}', 0, put_service('s'))
        )
    assert len(state.verdicts) == MAX_VERDICTS
    assert not state.verdicts.keys() & {'one', 'two', 'late'}


def test_no_record_after_one_with_newer_rules_is_applied():
    newer = {**to_plain(CHANGES[0]), 'rules': RULES_VERSION + 1, 'new': 1}
    state = apply_record(STATE, 3, read_record(newer))
    assert state.unknown_rules == RULES_VERSION + 1
    later = apply_record(state, 4, change('three', 2, put_service('u')))
    assert (later.document, later.offset) == (STATE.document, 2)


@pytest.mark.parametrize(
    ('raw', 'kind'),
    [
        ({}, UnreadableRecord),
        ({'rules': True, 'type': 'change'}, UnreadableRecord),
        ({'rules': 1, 'type': 'other'}, UnreadableRecord),
        ({'rules': 1, 'type': 'change', 'submission': 's'}, UnreadableRecord),
        ({'rules': 1, 'type': 'snapshot', 'through': []}, UnreadableRecord),
        (
            {**to_plain(CHANGES[0]), 'submission': 'x' * 65},
            UnreadableRecord,
        ),
        ({'rules': 9, 'type': []}, UnknownRules),
        (
            {'rules': 1, 'type': 'change', 'submission': 's', 'base': 2},
            InvalidChange,
        ),
    ],
)
def test_a_record_of_any_form_is_read_without_an_error(raw, kind):
    record = read_record(raw)
    assert isinstance(record, kind)
    assert apply_record(STATE, 3, record).document == STATE.document


def test_a_malformed_change_gets_a_verdict_for_its_waiting_writer():
    raw = {**to_plain(CHANGES[0]), 'base': 2, 'submission': 'bad', 'edits': 1}
    verdict = apply_record(STATE, 3, read_record(raw)).verdicts['bad']
    assert (verdict.code, verdict.generation) == ('config_invalid', 2)
    assert verdict.faults[0].path == 'edits'


def test_a_snapshot_replaces_expired_records_and_keeps_the_verdicts():
    parts = snapshot_of(STATE)
    state = state_after(parts, start=3)
    assert state.has_baseline
    assert state.document == STATE.document
    assert state.verdicts == STATE.verdicts


def test_changes_between_the_parts_are_applied_after_adoption():
    # The reader must move back, because the change precedes the last part.
    first, *others = snapshot_of(STATE)
    three = change('three', 2, put_service('u'))
    stream = {3: first, 4: three, **dict(enumerate(others, 5))}
    state = initial_state(3)
    while state.offset < max(stream):
        offset = state.offset + 1
        state = apply_record(state, offset, stream[offset])
    assert state.verdicts['three'] == Accepted(3)


def test_a_snapshot_is_not_used_if_later_records_have_expired():
    state = state_after(snapshot_of(STATE), start=4)
    assert not state.has_baseline


def test_parts_of_equal_snapshots_are_interchangeable():
    parts = snapshot_of(STATE)
    state = state_after((parts[1], parts[0], parts[1], parts[0]), start=3)
    assert state.document == STATE.document


def test_snapshots_at_different_offsets_do_not_mix():
    earlier = snapshot_of(state_after(CHANGES[:2]))
    parts = snapshot_of(STATE)
    assert not state_after((earlier[0], parts[1]), start=3).has_baseline


def corrupt_parts():
    first, *others = snapshot_of(STATE)
    return (replace(first, upstreams=()), *others)


def test_a_corrupt_snapshot_is_ignored_by_a_new_reader():
    state = state_after(corrupt_parts(), start=3)
    assert not state.has_baseline
    assert state.problem.code == 'snapshot_digest_wrong'
    assert state_after(snapshot_of(STATE), state, start=5).has_baseline


def test_a_corrupt_snapshot_does_not_count_as_the_newest():
    # Otherwise no other snapshot would be written in time for new readers.
    state = state_after(corrupt_parts(), STATE, start=3)
    assert state.snapshot is None
    assert state.problem.code == 'snapshot_digest_wrong'
    assert state.document == STATE.document


@pytest.mark.parametrize(
    ('generation', 'code'),
    [(2, 'snapshot_differs'), (3, 'snapshot_from_the_future')],
)
def test_a_snapshot_that_differs_from_the_local_state_is_ignored(
    generation, code
):
    forged = apply_edits(STATE.document, [put_service('x')], generation)
    parts = make_snapshot(forged, STATE.verdicts, STATE.offset)
    state = state_after(parts, STATE, start=3)
    assert state.problem.code == code
    assert state.document == STATE.document


@pytest.mark.parametrize('fields', [{'through': 50}, {'index': 7}])
def test_a_part_with_an_impossible_position_is_ignored(fields):
    # A reader that adopted it would skip the records up to 50.
    parts = [replace(part, **fields) for part in snapshot_of(STATE)]
    state = state_after(parts, start=3)
    assert not state.has_baseline
    assert state.problem.code == 'snapshot_malformed'


def test_the_number_of_incomplete_snapshots_is_bounded():
    state = StreamState(offset=99)
    part = snapshot_of(STATE)[0]
    for through in range(50):
        state = apply_record(state, 100, replace(part, through=through))
    assert len(state.open_snapshots) == 8


def document_of(count):
    edits = [put_service(f's{number}') for number in range(count // 10)]
    edits += [
        put_upstream(f's{number % (count // 10)}', f'u{number}', 1000 + number)
        for number in range(count)
    ]
    return apply_edits(Document(), edits, 1)


def test_an_edit_leaves_other_groups_untouched():
    # Copying or comparing all upstreams for each change would be too slow.
    old = document_of(100)
    new = apply_edits(old, [put_upstream('s1', 'new')], 2)
    shared_groups = {
        service
        for service, group in old.table.groups.items()
        if new.table.groups[service] is group
    }
    assert shared_groups == old.table.groups.keys() - {'s1'}
    assert edits_between(old, new) == (put_upstream('s1', 'new'),)
    assert apply_edits(old, edits_between(old, new), 2) == new
    assert apply_edits(new, edits_between(new, old), 1) == old


def test_the_address_index_drops_moved_and_deleted_upstreams():
    document = document_of(20)
    upstream = document.upstreams['s1/u1']
    moved = apply_edits(document, [put_upstream('s1', 'u1', 1)], 2)
    deleted = apply_edits(document, [Delete('upstream', 's1/u1')], 2)
    assert document.table.at_address(upstream.address) == (upstream,)
    assert not moved.table.at_address(upstream.address)
    assert not deleted.table.at_address(upstream.address)
    assert 's1/u1' not in deleted.upstreams
