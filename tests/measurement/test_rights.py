"""Guards against rights with two holders and rights used for too long.

A right ends with its term or with a lower budget.
"""

from datetime import timedelta
from random import Random

import pytest

from crocusproxy.config.model import ProbeBudget
from crocusproxy.measurement.budget import (
    PROBE_BYTES,
    RightsPlan,
    divide_budget,
)
from crocusproxy.measurement.records import RECORD_VERSION, Renewal
from crocusproxy.measurement.right_table import Right
from crocusproxy.measurement.rights import RightsHolder, RightsSettings

SETTINGS = RightsSettings()
TERM = SETTINGS.term
GUARD = SETTINGS.guard
FREE_AT = TERM + GUARD
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
        each.apply_record(offset, renewal, now)


def holder_with_rights(name, *others, count=1, generation=1):
    """Return a holder that acquired its rights at FREE_AT."""
    one = holder(name, count, generation)
    deliver(0, one.propose(FREE_AT), FREE_AT, one, *others)
    return one


def test_started_process_acquires_no_rights_for_a_full_term():
    """An earlier holder may still probe although its records have expired."""
    one = holder('a')
    assert one.propose(FREE_AT - GUARD) is None
    assert one.propose(FREE_AT).services['s'].numbers == (0,)


def test_term_starts_before_the_append():
    one = holder('a')
    deliver(0, one.propose(FREE_AT), FREE_AT + TERM / 2, one)
    end = FREE_AT + TERM - GUARD
    assert one.can_probe('s', end - timedelta(milliseconds=1))
    assert not one.can_probe('s', end)


def test_holder_that_froze_past_its_term_neither_probes_nor_renews():
    other = holder('b')
    frozen = holder_with_rights('a', other)
    assert other.propose(FREE_AT + FREE_AT - GUARD) is None
    acquired_at = FREE_AT + FREE_AT
    acquisition = other.propose(acquired_at)
    deliver(1, acquisition, acquired_at, other)
    resumed_at = acquired_at + SPACING
    assert other.spend_probe('s', resumed_at)
    assert not frozen.spend_probe('s', resumed_at)
    late = frozen.propose(resumed_at)
    deliver(1, acquisition, resumed_at, frozen)
    deliver(2, late, resumed_at, frozen)
    assert not frozen.can_probe('s', resumed_at + SPACING)


def test_first_of_two_acquisitions_of_a_right_takes_effect():
    first, second = holder('a'), holder('b')
    records = first.propose(FREE_AT), second.propose(FREE_AT)
    for offset, record in enumerate(records):
        deliver(offset, record, FREE_AT, first, second)
    assert first.spend_probe('s', FREE_AT + SPACING)
    assert not second.spend_probe('s', FREE_AT + SPACING)
    deliver(
        2, first.propose(FREE_AT + TERM / 2), FREE_AT + TERM / 2, first, second
    )
    assert first.spend_probe('s', FREE_AT + TERM)


def test_acquisition_after_missed_renewals_ends_the_previous_hold():
    old = holder_with_rights('a')
    new = RightsHolder('b', SETTINGS, Random(0))
    configure(new, 1, 1)
    new.begin_page(1, FREE_AT)
    acquired_at = FREE_AT + FREE_AT
    deliver(1, new.propose(acquired_at), acquired_at, new, old)
    deliver(2, old.propose(acquired_at), acquired_at, new, old)
    assert not old.can_probe('s', acquired_at + SPACING)
    assert new.can_probe('s', acquired_at + SPACING)


def test_spacing_applies_after_a_change_of_holder():
    one = holder_with_rights('a')
    assert not one.spend_probe('s', FREE_AT + SPACING / 2)
    assert one.can_probe('s', FREE_AT + SPACING)
    assert one.spend_probe('s', FREE_AT + SPACING)
    assert not one.spend_probe('s', FREE_AT + SPACING)
    assert one.spend_probe('s', FREE_AT + 2 * SPACING)


def test_renewal_with_a_lost_response_takes_effect_when_read():
    one = holder_with_rights('a')
    lost, renewal = (
        one.propose(FREE_AT + TERM / 4),
        one.propose(FREE_AT + TERM / 2),
    )
    deliver(1, lost, FREE_AT + TERM / 2, one)
    deliver(2, renewal, FREE_AT + TERM / 2, one)
    assert one.can_probe('s', FREE_AT + TERM)


@pytest.mark.parametrize('gap', ['missed records', 'newer version'])
def test_holder_drops_its_rights_after_a_gap_in_the_stream(gap):
    one = holder_with_rights('a')
    outstanding = one.propose(FREE_AT)
    if gap == 'missed records':
        one.begin_page(5, FREE_AT)
    else:
        newer = Renewal('b', 'b/1', TERM, 0, {}, RECORD_VERSION + 1)
        deliver(1, newer, FREE_AT, one)
    deliver(one.table.next_offset, outstanding, FREE_AT, one)
    assert not one.can_probe('s', FREE_AT + SPACING)
    assert one.propose(FREE_AT + SPACING) is None


def test_lower_budget_withdraws_rights_when_read():
    old = holder('b', count=2)
    new = holder('a', count=2)
    deliver(0, old.propose(FREE_AT), FREE_AT, old, new)
    outstanding = old.propose(FREE_AT)
    configure(new, 1, generation=2)
    announcement = new.propose(FREE_AT)
    assert announcement.services['s'].numbers == ()
    deliver(1, announcement, FREE_AT, old, new)
    deliver(2, outstanding, FREE_AT, old, new)
    assert old.spend_probe('s', FREE_AT + SPACING)
    assert not old.spend_probe('s', FREE_AT + SPACING)
    assert Right('s', 1) not in old.renewable_rights


def test_lower_budget_stops_renewals_appended_before_it_is_read():
    """Otherwise each slow append would prolong the rights by a term."""
    old, new = holder('b', count=2), holder('a', count=2)
    deliver(0, old.propose(FREE_AT), FREE_AT, old, new)
    configure(new, 1, generation=2)
    outstanding = old.propose(FREE_AT + TERM / 2)
    deliver(1, new.propose(FREE_AT), FREE_AT + TERM / 2, old)
    deliver(2, outstanding, FREE_AT + TERM / 2, old)
    ends = {
        right.number: held.expires_at for right, held in old.held_rights.items()
    }
    assert ends == {
        0: FREE_AT + TERM / 2 + TERM - GUARD,
        1: FREE_AT + TERM - GUARD,
    }


def test_longer_spacing_applies_before_the_configuration_arrives():
    old = holder_with_rights('b')
    new = holder('a')
    deliver(0, old.propose(FREE_AT), FREE_AT, new)
    configure(new, 1, 2, spacing=3 * SPACING)
    deliver(1, new.propose(FREE_AT), FREE_AT, old)
    assert old.spend_probe('s', FREE_AT + SPACING)
    assert not old.spend_probe('s', FREE_AT + 3 * SPACING)
    assert old.spend_probe('s', FREE_AT + 4 * SPACING)


def test_renewal_carries_the_newest_generation():
    """A process may start after the first announcement has expired."""
    old, new = holder('b', count=2), holder('a', count=2)
    deliver(0, old.propose(FREE_AT), FREE_AT, old, new)
    configure(new, 1, generation=2)
    deliver(1, new.propose(FREE_AT), FREE_AT, old)
    started = RightsHolder('c', SETTINGS, Random(0))
    configure(started, 2, 1)
    started.begin_page(2, FREE_AT)
    deliver(2, old.propose(FREE_AT), FREE_AT, started)
    late = started.propose(FREE_AT + 2 * FREE_AT).services['s']
    assert (late.generation, late.numbers) == (2, (0,))


def test_lower_budget_is_announced_again_to_an_outdated_writer():
    """The writer started after the announcement had expired."""
    new = holder_with_rights('a', count=1, generation=2)
    old = holder('b', count=2)
    deliver(1, old.propose(FREE_AT), FREE_AT, new)
    new.configure(new.plans, {})
    assert new.propose(FREE_AT).services['s'].generation == 2


@pytest.mark.parametrize(
    ('per_second', 'bytes_per_second'),
    [(0.25, 10**9), (1, 4096), (2, 4096), (3.9, 10**9), (500, 10_000)],
)
def test_rights_stay_within_the_budget(per_second, bytes_per_second):
    """Each right may cause two probes in a window, one due and one delayed."""
    plan = divide_budget(ProbeBudget(per_second, bytes_per_second), 1)
    seconds = plan.window / timedelta(seconds=1)
    assert 0 < 2 * plan.count <= per_second * seconds
    assert 2 * plan.count * PROBE_BYTES <= bytes_per_second * seconds
    assert plan.spacing >= 1.25 * plan.window


@pytest.mark.parametrize('budget', [ProbeBudget(0), ProbeBudget(5, 0)])
def test_budget_of_zero_gives_no_rights(budget):
    assert divide_budget(budget, 1).count == 0


def test_large_response_postpones_the_next_probe():
    one = holder_with_rights('a')
    assert one.spend_probe('s', FREE_AT + SPACING)
    one.charge('s', 2)
    assert not one.can_probe('s', FREE_AT + 3 * SPACING)
    assert one.can_probe('s', FREE_AT + 4 * SPACING)
