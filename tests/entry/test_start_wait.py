"""Guards against refusals while the start is nearly complete."""

import asyncio
from datetime import timedelta

import pytest

from crocusproxy.clock import ManualClock
from crocusproxy.entry.start_wait import MAX_START_WAIT, StartWait
from crocusproxy.membership.catalog import Catalog
from standins.virtual_time import LoopClock, VirtualLoop

from .harness import make_config


def run_scenario(scenario):
    loop = VirtualLoop()
    catalog = Catalog()
    start_wait = StartWait(catalog, LoopClock(loop))
    try:
        loop.run_until_complete(scenario(catalog, start_wait))
    finally:
        loop.close()
    return loop.time()


async def complete_catalog(catalog, seconds):
    await asyncio.sleep(seconds)
    catalog.apply_config(make_config())
    catalog.mark_complete()


def test_request_waits_for_configuration_and_upstreams():
    async def scenario(catalog, start_wait):
        await asyncio.gather(start_wait.wait(), complete_catalog(catalog, 0.1))

    assert run_scenario(scenario) == pytest.approx(0.1)


def test_configuration_alone_does_not_end_the_wait():
    async def scenario(catalog, start_wait):
        catalog.apply_config(make_config())
        await start_wait.wait()

    assert run_scenario(scenario) == pytest.approx(
        MAX_START_WAIT.total_seconds()
    )


def test_no_request_waits_after_the_maximum_start_wait():
    clock = ManualClock()
    start_wait = StartWait(Catalog(), clock)
    clock.advance(MAX_START_WAIT + timedelta(milliseconds=1))

    async def scenario():
        async with asyncio.timeout(0.1):
            await start_wait.wait()

    asyncio.run(scenario())


def test_cancellation_ends_the_wait():
    async def scenario(catalog, start_wait):
        wait_task = asyncio.create_task(start_wait.wait())
        await asyncio.sleep(0.01)
        wait_task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await wait_task

    run_scenario(scenario)
