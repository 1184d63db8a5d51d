"""Guards against delays of the soak that count as those of an instance."""

import asyncio
import time

import pytest

from soak.own_time import wait_in_own_time

TIMEOUT_SECONDS = 0.3


def test_time_in_which_the_soak_stood_still_does_not_count():
    """Responses were late that had arrived while the soak stood still.

    Seen with seed 3 beside 10 busy processes (own delay 1.6 s) and with seed 4
    beside a start of 312 instances (7.0 s).
    """

    async def scenario():
        response = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.call_later(0.02, time.sleep, 2 * TIMEOUT_SECONDS)
        loop.call_later(TIMEOUT_SECONDS, response.set)
        await wait_in_own_time(response.wait(), TIMEOUT_SECONDS)

    asyncio.run(scenario())


def test_late_response_is_late_while_the_soak_runs():
    async def scenario():
        never = asyncio.Event()
        with pytest.raises(TimeoutError):
            await wait_in_own_time(never.wait(), TIMEOUT_SECONDS)
        assert asyncio.all_tasks() == {asyncio.current_task()}

    asyncio.run(scenario())


def test_time_in_which_the_other_side_is_stopped_does_not_count():
    async def scenario():
        response = asyncio.Event()
        loop = asyncio.get_running_loop()
        continues_at = loop.time() + 2 * TIMEOUT_SECONDS
        loop.call_later(2.5 * TIMEOUT_SECONDS, response.set)
        await wait_in_own_time(
            response.wait(),
            TIMEOUT_SECONDS,
            lambda: loop.time() < continues_at,
        )

    asyncio.run(scenario())


def test_response_is_late_after_a_stop_of_the_other_side():
    async def scenario():
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        with pytest.raises(TimeoutError):
            await wait_in_own_time(
                asyncio.Event().wait(),
                TIMEOUT_SECONDS,
                lambda: loop.time() < started_at + TIMEOUT_SECONDS,
            )
        assert loop.time() - started_at < 3 * TIMEOUT_SECONDS

    asyncio.run(scenario())


def test_error_of_the_work_is_raised():
    async def fail():
        raise ConnectionError

    with pytest.raises(ConnectionError):
        asyncio.run(wait_in_own_time(fail(), TIMEOUT_SECONDS))
