"""Plays one short run, and again each seed that ever broke a promise."""

import asyncio

import pytest

from soak.run import play

SECONDS = 6
INSTANCES = 3


def test_short_run_breaks_no_promise():
    verdict = asyncio.run(play(1, SECONDS, INSTANCES))
    assert not verdict.broken
    assert verdict.ends['answered 200'] > verdict.requests / 3


#: Seeds by the cause of their failure.
ONCE_BROKEN = {
    1: 'a lost follower of the feed was an unhandled error of the home',
    25: 'a relayed read of the store kept a stopped instance from ending',
    28: 'a follower that was gone before its feed began was an error too',
    31: 'the same as 25',
}


@pytest.mark.parametrize('seed', ONCE_BROKEN)
def test_seed_that_once_broke_a_promise(seed):
    verdict = asyncio.run(play(seed, SECONDS * 2, INSTANCES + 1))
    assert not verdict.broken
