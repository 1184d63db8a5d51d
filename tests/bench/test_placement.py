"""Guards against a placement no better than least requests in flight."""

import pytest
import yaml

from bench.placement import SCENARIOS, Model
from bench.placement_figures import credit

SECONDS = 6


def play(name, policy, seed=0):
    scenario = yaml.safe_load((SCENARIOS / f'{name}.yaml').read_text())
    model = Model({**scenario, 'seconds': SECONDS}, policy, seed)
    return model.play(), model


def test_runs_with_the_same_seed_have_the_same_figures():
    assert play('small_calm', 'product')[0] == play('small_calm', 'product')[0]


@pytest.mark.parametrize('name', ['small_calm', 'small_high', 'wide_high'])
def test_placement_earns_more_credit_than_least_in_flight(name):
    least_in_flight, _ = play(name, 'least_in_flight')
    placed, _ = play(name, 'product')
    assert placed['credit'] > least_in_flight['credit']
    assert placed['served'] > least_in_flight['served']


@pytest.mark.parametrize('name', ['small_calm', 'small_high', 'wide_high'])
def test_placement_is_close_to_perfect_knowledge(name):
    """Servers are probed before use, so their speeds are mostly known."""
    informed, _ = play(name, 'informed')
    placed, _ = play(name, 'product')
    assert placed['credit'] > 0.9 * informed['credit']


def test_urgent_requests_are_not_starved_in_a_surge():
    _, model = play('small_high', 'product')
    surge = [one for one in model.counts.requests if one.arrived_at >= 5]
    urgent = [one for one in surge if one.kind != 'browse']
    assert credit(urgent) > credit(surge)
