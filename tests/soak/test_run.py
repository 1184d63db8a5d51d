"""Runs a short soak, and each seed that once violated an invariant."""

import asyncio

import pytest

from soak.run import run_seed

SECONDS = 6
INSTANCES = 3


def test_short_run_has_no_violations():
    verdict = asyncio.run(run_seed(1, SECONDS, INSTANCES))
    assert not verdict.violations
    assert verdict.outcomes['answered 200'] > verdict.request_count / 3


def test_run_with_restores_of_the_store_has_no_violations():
    verdict = asyncio.run(run_seed(2, SECONDS, INSTANCES, restores=3))
    assert not verdict.violations
    assert verdict.outcomes['answered 200'] > verdict.request_count / 3


def test_run_in_which_upstreams_state_terms_has_no_violations():
    verdict = asyncio.run(run_seed(3, SECONDS, INSTANCES, terms=4))
    assert not verdict.violations


def test_run_in_which_instances_lose_all_upstreams_has_no_violations():
    verdict = asyncio.run(run_seed(3, 12, INSTANCES + 1, cuts=3, faults=False))
    assert not verdict.violations
    assert verdict.outcomes['answered 200'] > verdict.request_count / 2


def test_run_with_client_accounts_evacuations_and_cold_upstreams():
    verdict = asyncio.run(
        run_seed(
            4,
            SECONDS,
            INSTANCES,
            faults=False,
            accounts=4,
            evacuations=1,
            cold=3,
            silent=True,
        )
    )
    assert not verdict.violations
    assert verdict.outcomes['answered 200'] > verdict.request_count / 5
    assert verdict.outcomes['answered 401']


def test_run_with_changing_quotas_and_cut_links_between_domain_homes():
    verdict = asyncio.run(
        run_seed(
            5, 12, INSTANCES + 1, faults=False, homes=True, quotas=3, links=2
        )
    )
    assert not verdict.violations
    assert verdict.outcomes['answered 429']
    assert verdict.outcomes['answered 200'] > verdict.request_count / 3


def test_run_in_which_the_home_and_its_store_are_lost():
    """Instances that reach the store must not wait for one that does not."""
    verdict = asyncio.run(
        run_seed(6, 12, INSTANCES + 2, faults=False, losses=3, departures=1)
    )
    assert not verdict.violations
    assert verdict.outcomes['answered 200'] > verdict.request_count / 2


def test_run_with_planned_work_and_callers_that_read_slowly():
    """Connections closed while responses lay in the kernel's send queue."""
    verdict = asyncio.run(
        run_seed(
            25,
            SECONDS,
            INSTANCES + 1,
            faults=False,
            planned=5,
            slow=8,
            pipelines=2,
        )
    )
    assert not verdict.violations
    assert verdict.outcomes['answered 200'] > verdict.request_count / 3


def test_run_with_brief_pauses_has_no_violations():
    """Requests that waited in the kernel were lost at the end of a pause."""
    verdict = asyncio.run(
        run_seed(25, SECONDS, INSTANCES + 1, faults=False, pauses=6)
    )
    assert not verdict.violations
    assert verdict.outcomes['answered 200'] > verdict.request_count / 2


#: The cause of the past failure, by seed.
REGRESSION_SEEDS = {
    1: 'a lost follower of the feed was an unhandled error of the home',
    25: 'a relayed read of the store kept a stopped instance from ending',
    28: 'a follower that was gone before its feed began was an error too',
    31: 'the same as 25',
}


@pytest.mark.parametrize('seed', REGRESSION_SEEDS)
def test_seed_that_once_broke_a_promise(seed):
    verdict = asyncio.run(run_seed(seed, SECONDS * 2, INSTANCES + 1))
    assert not verdict.violations
