"""Guards against a placement that is no better than counting requests."""

import pytest
import yaml

from bench.placement import SCENARIOS, Model, credit

SECONDS = 6


def play(name, policy, seed=0):
    scenario = yaml.safe_load((SCENARIOS / f'{name}.yaml').read_text())
    model = Model({**scenario, 'seconds': SECONDS}, policy, seed)
    return model.play(), model


def test_a_seed_gives_the_same_figures_again():
    assert play('small_calm', 'product')[0] == play('small_calm', 'product')[0]


@pytest.mark.parametrize('name', ['small_calm', 'small_high', 'wide_high'])
def test_callers_get_more_than_by_counting_requests(name):
    by_count, _ = play(name, 'least_in_flight')
    placed, _ = play(name, 'product')
    assert placed['credit'] > by_count['credit']
    assert placed['served'] > by_count['served']


@pytest.mark.parametrize('name', ['small_calm', 'small_high', 'wide_high'])
def test_placement_comes_near_to_perfect_knowledge(name):
    """Servers are asked at the choice, so little is unknown."""
    informed, _ = play(name, 'informed')
    placed, _ = play(name, 'product')
    assert placed['credit'] > 0.9 * informed['credit']


def test_urgent_kinds_do_not_starve_in_a_surge():
    _, model = play('small_high', 'product')
    surge = [one for one in model.counts.asked if one.at >= 5]
    urgent = [one for one in surge if one.kind != 'browse']
    assert credit(urgent) > credit(surge)
