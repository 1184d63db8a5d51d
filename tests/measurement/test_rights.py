"""Guards rights against two holders, late starts and withdrawn budgets."""

from datetime import timedelta
from random import Random

import pytest

from crocusproxy.config.model import ProbeBudget
from crocusproxy.measurement.budget import PROBE_BYTES, RightsPlan, divide
from crocusproxy.measurement.records import RECORD_VERSION, Renewal
from crocusproxy.measurement.right_table import Right
from crocusproxy.measurement.rights import RightsHolder, RightsSettings

SETTINGS = RightsSettings()
TERM = SETTINGS.term
GUARD = SETTINGS.guard
FREE = TERM + GUARD
SPACING = RightsPlan().spacing
ZERO = timedelta()


def holder(name, count=1, generation=1):
    one = RightsHolder(name, SETTINGS, Random(0))
    configure(one, count, generation)
    one.begin_page(0, ZERO)
    return one


def configure(one, count, generation, spacing=SPACING):
    plan = RightsPlan(generation, count, spacing=spacing)
    one.configure({'s': plan}, {'s': count})


def deliver(offset, renewal, now, *holders):
    for each in holders:
        each.read(offset, renewal, now)


def holding(name, *others, count=1, generation=1):
    """Return a holder whose rights count from FREE on."""
    one = holder(name, count, generation)
    deliver(0, one.propose(FREE), FREE, one, *others)
    return one


def test_a_process_that_starts_takes_nothing_for_a_full_term():
    """An earlier holder may still probe, though its records have expired."""
    one = holder('a')
    assert one.propose(FREE - GUARD) is None
    assert one.propose(FREE).services['s'].numbers == (0,)


def test_the_term_counts_from_before_the_append():
    one = holder('a')
    deliver(0, one.propose(FREE), FREE + TERM / 2, one)
    end = FREE + TERM - GUARD
    assert one.could_probe('s', end - timedelta(milliseconds=1))
    assert not one.could_probe('s', end)


def test_a_holder_that_froze_past_its_term_neither_probes_nor_renews():
    other = holder('b')
    frozen = holding('a', other)
    assert other.propose(FREE + FREE - GUARD) is None
    taken = FREE + FREE
    take = other.propose(taken)
    deliver(1, take, taken, other)
    awake = taken + SPACING
    assert other.may_probe('s', awake)
    assert not frozen.may_probe('s', awake)
    late = frozen.propose(awake)
    deliver(1, take, awake, frozen)
    deliver(2, late, awake, frozen)
    assert not frozen.could_probe('s', awake + SPACING)


def test_of_two_that_take_a_right_the_first_record_wins():
    first, second = holder('a'), holder('b')
    records = first.propose(FREE), second.propose(FREE)
    for offset, record in enumerate(records):
        deliver(offset, record, FREE, first, second)
    assert first.may_probe('s', FREE + SPACING)
    assert not second.may_probe('s', FREE + SPACING)
    deliver(2, first.propose(FREE + TERM / 2), FREE + TERM / 2, first, second)
    assert first.may_probe('s', FREE + TERM)


def test_a_take_by_a_process_that_missed_the_holders_records_ends_its_chain():
    old = holding('a')
    new = RightsHolder('b', SETTINGS, Random(0))
    configure(new, 1, 1)
    new.begin_page(1, FREE)
    taken = FREE + FREE
    deliver(1, new.propose(taken), taken, new, old)
    deliver(2, old.propose(taken), taken, new, old)
    assert not old.could_probe('s', taken + SPACING)
    assert new.could_probe('s', taken + SPACING)


def test_probes_keep_their_distance_also_from_the_previous_holders():
    one = holding('a')
    assert not one.may_probe('s', FREE + SPACING / 2)
    assert one.could_probe('s', FREE + SPACING)
    assert one.may_probe('s', FREE + SPACING)
    assert not one.may_probe('s', FREE + SPACING)
    assert one.may_probe('s', FREE + 2 * SPACING)


def test_a_renewal_whose_response_was_lost_counts_when_read():
    one = holding('a')
    lost, renewal = one.propose(FREE + TERM / 4), one.propose(FREE + TERM / 2)
    deliver(1, lost, FREE + TERM / 2, one)
    deliver(2, renewal, FREE + TERM / 2, one)
    assert one.could_probe('s', FREE + TERM)


@pytest.mark.parametrize('gap', ['missed records', 'newer version'])
def test_a_holder_that_cannot_follow_the_stream_holds_nothing(gap):
    one = holding('a')
    outstanding = one.propose(FREE)
    if gap == 'missed records':
        one.begin_page(5, FREE)
    else:
        newer = Renewal('b', 'b/1', TERM, 0, {}, RECORD_VERSION + 1)
        deliver(1, newer, FREE, one)
    deliver(one.table.next, outstanding, FREE, one)
    assert not one.could_probe('s', FREE + SPACING)
    assert one.propose(FREE + SPACING) is None


def test_a_lower_budget_withdraws_rights_as_soon_as_it_is_read():
    old = holder('b', count=2)
    new = holder('a', count=2)
    deliver(0, old.propose(FREE), FREE, old, new)
    outstanding = old.propose(FREE)
    configure(new, 1, generation=2)
    notice = new.propose(FREE)
    assert notice.services['s'].numbers == ()
    deliver(1, notice, FREE, old, new)
    deliver(2, outstanding, FREE, old, new)
    assert old.may_probe('s', FREE + SPACING)
    assert not old.may_probe('s', FREE + SPACING)
    assert Right('s', 1) not in old.chain


def test_an_unread_lower_budget_stops_renewals_made_before_it_is_read():
    """Otherwise rights would last a term longer for each slow append."""
    old, new = holder('b', count=2), holder('a', count=2)
    deliver(0, old.propose(FREE), FREE, old, new)
    configure(new, 1, generation=2)
    outstanding = old.propose(FREE + TERM / 2)
    deliver(1, new.propose(FREE), FREE + TERM / 2, old)
    deliver(2, outstanding, FREE + TERM / 2, old)
    ends = {
        right.number: held.expires_at for right, held in old.held_rights.items()
    }
    assert ends == {
        0: FREE + TERM / 2 + TERM - GUARD,
        1: FREE + TERM - GUARD,
    }


def test_a_newer_longer_spacing_is_kept_before_the_configuration_arrives():
    old = holding('b')
    new = holder('a')
    deliver(0, old.propose(FREE), FREE, new)
    configure(new, 1, 2, spacing=3 * SPACING)
    deliver(1, new.propose(FREE), FREE, old)
    assert old.may_probe('s', FREE + SPACING)
    assert not old.may_probe('s', FREE + 3 * SPACING)
    assert old.may_probe('s', FREE + 4 * SPACING)


def test_a_renewal_passes_the_newest_generation_on():
    """The first announcement expires; a process may start after that."""
    old, new = holder('b', count=2), holder('a', count=2)
    deliver(0, old.propose(FREE), FREE, old, new)
    configure(new, 1, generation=2)
    deliver(1, new.propose(FREE), FREE, old)
    started = RightsHolder('c', SETTINGS, Random(0))
    configure(started, 2, 1)
    started.begin_page(2, FREE)
    deliver(2, old.propose(FREE), FREE, started)
    late = started.propose(FREE + 2 * FREE).services['s']
    assert (late.generation, late.numbers) == (2, (0,))


def test_a_writer_with_an_older_configuration_is_answered():
    """It started after the announcement had expired from the stream."""
    new = holding('a', count=1, generation=2)
    old = holder('b', count=2)
    deliver(1, old.propose(FREE), FREE, new)
    new.configure(new.plans, {})
    assert new.propose(FREE).services['s'].generation == 2


@pytest.mark.parametrize(
    ('per_second', 'bytes_per_second'),
    [(0.25, 10**9), (1, 4096), (2, 4096), (3.9, 10**9), (500, 10_000)],
)
def test_rights_cost_no_more_than_the_budget(per_second, bytes_per_second):
    """Each right may cause two probes in a window: one due, one delayed."""
    plan = divide(ProbeBudget(per_second, bytes_per_second), 1)
    seconds = plan.window / timedelta(seconds=1)
    assert 0 < 2 * plan.count <= per_second * seconds
    assert 2 * plan.count * PROBE_BYTES <= bytes_per_second * seconds
    assert plan.spacing >= 1.25 * plan.window


@pytest.mark.parametrize('budget', [ProbeBudget(0), ProbeBudget(5, 0)])
def test_no_budget_means_no_rights(budget):
    assert divide(budget, 1).count == 0


def test_a_response_beyond_its_bytes_postpones_the_next_probe():
    one = holding('a')
    assert one.may_probe('s', FREE + SPACING)
    one.charge('s', 2)
    assert not one.could_probe('s', FREE + 3 * SPACING)
    assert one.could_probe('s', FREE + 4 * SPACING)
