"""Guards against requests that are refused though the start is nearly done."""

import asyncio
from datetime import timedelta

import pytest

from crocusproxy.clock import ManualClock
from crocusproxy.entry.start_wait import MAX_START_WAIT, StartWait
from crocusproxy.membership.catalog import Catalog
from standins.virtual_time import LoopClock, VirtualLoop

from .harness import config


def play(scenario):
    loop = VirtualLoop()
    catalog = Catalog()
    wait = StartWait(catalog, LoopClock(loop))
    try:
        loop.run_until_complete(scenario(catalog, wait))
    finally:
        loop.close()
    return loop.time()


async def learn(catalog, seconds):
    await asyncio.sleep(seconds)
    catalog.apply_config(config())
    catalog.mark_complete()


def test_request_waits_until_configuration_and_upstreams_are_known():
    async def scenario(catalog, wait):
        await asyncio.gather(wait.wait(), learn(catalog, 0.1))

    assert play(scenario) == pytest.approx(0.1)


def test_configuration_alone_does_not_end_the_wait():
    async def scenario(catalog, wait):
        catalog.apply_config(config())
        await wait.wait()

    assert play(scenario) == pytest.approx(MAX_START_WAIT.total_seconds())


def test_no_request_waits_once_the_start_has_taken_too_long():
    clock = ManualClock()
    wait = StartWait(Catalog(), clock)
    clock.advance(MAX_START_WAIT + timedelta(milliseconds=1))

    async def scenario():
        async with asyncio.timeout(0.1):
            await wait.wait()

    asyncio.run(scenario())


def test_caller_that_leaves_ends_its_wait():
    async def scenario(catalog, wait):
        waiting = asyncio.create_task(wait.wait())
        await asyncio.sleep(0.01)
        waiting.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiting

    play(scenario)
