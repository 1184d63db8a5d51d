"""Plays accounts and kinds of requests that compete for too little capacity."""

import pytest

from .load_model import Kind, Load, LoadModel, Servers

SERVERS = Servers(20, 4, knee_factor=1.7)
#: Requests per second that the upstreams serve, of those of ``kinds_of``.
CAPACITY = 20 * 3 / 0.15
ACCOUNTS = 30
LARGE_ACCOUNTS = 3


def kinds_of(rate):
    return (
        Kind('urgent', 0.2 * rate, 1, 0.1, 0.25, 1),
        Kind('usual', 0.5 * rate, 2, 0.15, 0.5, 2),
        Kind('patient', 0.3 * rate, 3, 0.2, 2.5, 5),
    )


def play_hot_account(hot, factor=1.0):
    """Play six quiet seconds and four in which an account sends seven times."""
    usual = [6 if one < LARGE_ACCOUNTS else 1 for one in range(ACCOUNTS)]
    peak = list(usual)
    peak[hot] *= 7
    names = [str(one) for one in range(ACCOUNTS)]
    load = Load(
        kinds_of(0.9 * CAPACITY),
        10,
        lambda now: factor * sum(peak) / sum(usual) if now >= 6 else 1,
        lambda now, random: random.choices(names, peak if now >= 6 else usual)[
            0
        ],
        max_factor=4,
        counted_from=6,
    )
    groups = LoadModel(SERVERS, load).play()
    return groups, {name: groups[f'account {name}'] for name in names}


@pytest.mark.parametrize('hot', [0, 10])
@pytest.mark.parametrize('factor', [1, 1.5])
def test_hot_account_pays_for_its_excess_itself(hot, factor):
    """Ordered by target alone, the worst tenth got 0.64 of the mean."""
    groups, accounts = play_hot_account(hot, factor)
    hot_account = accounts.pop(str(hot))
    values = sorted(one.value for one in accounts.values())
    mean = sum(values) / len(values)
    worst = values[: len(values) // 10]
    assert sum(worst) / len(worst) > 0.8 * mean
    assert hot_account.value < mean
    # Nor may it be starved.
    assert hot_account.answered > 0.3 * groups['all'].answered


def test_large_account_is_not_starved_in_favour_of_small_ones():
    """With equal shares for all accounts, it would be."""
    load = Load(
        kinds_of(CAPACITY),
        8,
        lambda now: 2 if now >= 4 else 0.8,
        lambda now, random: random.choice(['large'] * 10 + list('abcdefghij')),
        counted_from=4,
    )
    groups = LoadModel(SERVERS, load).play()
    assert groups['account large'].value > 0.8 * groups['all'].value


def play_kinds(target, factor, seconds=6):
    rate = CAPACITY * factor
    kinds = (
        Kind('urgent', 0.3 * rate, 1, 0.1, target, 1),
        Kind('patient', 0.7 * rate, 2, 0.17, 2.5, 5),
    )
    load = Load(kinds, seconds, counted_from=1)
    return LoadModel(SERVERS, load).play()


@pytest.mark.parametrize('factor', [1.3, 2])
def test_urgent_requests_are_in_time_beside_patient_ones(factor):
    """Upstreams filled by patient requests made a tenth of them late."""
    groups = play_kinds(0.25, factor)
    assert groups['urgent'].in_time_share > 0.97
    assert groups['patient'].in_time_share > 0.35


@pytest.mark.parametrize('factor', [1.3, 2])
def test_late_requests_of_an_urgent_kind_are_answered_too(factor):
    """The patient ones, always in time, took all slots, and 0.003 were."""
    groups = play_kinds(0.06, factor)
    assert groups['urgent'].answered > 0.9 * groups['patient'].answered


def test_late_requests_do_not_displace_those_in_time_for_nothing():
    """Of the urgent requests a third is late anyhow."""
    groups = play_kinds(0.12, 1.3)
    assert groups['urgent'].answered > 0.97
    assert groups['patient'].in_time_share > 0.8
