"""Guards against own pauses that count against peers."""

import asyncio
import time

import pytest

from crocusproxy.event_loop.peer_timeout import (
    MAX_EXTENSIONS,
    PeerTimeout,
    PeerTimer,
)

from .observed_loop import run

PAUSE_SECONDS = 0.4
TIMEOUT_SECONDS = 0.25
#: The timeout, and what a loaded machine may add.
LATE_SECONDS = TIMEOUT_SECONDS + 0.15


class FakePauses:
    """Claims that the loop has paused for ``seconds``."""

    def __init__(self):
        self.seconds = 0

    def total_seconds(self):
        return self.seconds


class EndlessPauses:
    """Claims that the loop has always just paused."""

    def __init__(self):
        self.calls = 0

    def total_seconds(self):
        self.calls += 1
        return 10 * self.calls


async def wait_for_peer(seconds=TIMEOUT_SECONDS, pauses=None, **options):
    """Return the seconds after which a silent peer was given up."""
    started_at = time.monotonic()
    with pytest.raises(TimeoutError):
        async with PeerTimeout(seconds, pauses, **options):
            await asyncio.get_running_loop().create_future()
    return time.monotonic() - started_at


def test_peer_that_answers_after_an_own_pause_is_in_time():
    async def scenario():
        loop = asyncio.get_running_loop()
        loop.call_later(0.05, time.sleep, PAUSE_SECONDS)
        async with PeerTimeout(TIMEOUT_SECONDS):
            await asyncio.sleep(0.06)
            await asyncio.sleep(TIMEOUT_SECONDS / 2)

    run(scenario)


def test_timeout_of_asyncio_counts_an_own_pause():
    """Otherwise the test above would show nothing."""

    async def scenario():
        loop = asyncio.get_running_loop()
        loop.call_later(0.05, time.sleep, PAUSE_SECONDS)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            await asyncio.sleep(0.06)
            await asyncio.sleep(TIMEOUT_SECONDS / 2)

    with pytest.raises(TimeoutError):
        run(scenario)


def test_dead_peer_is_noticed_in_time_without_a_pause():
    pauses = FakePauses()
    assert asyncio.run(wait_for_peer()) < LATE_SECONDS
    assert asyncio.run(wait_for_peer(pauses=pauses)) < LATE_SECONDS


def test_pause_before_the_start_is_not_counted():
    pauses = FakePauses()
    pauses.seconds = 5
    assert asyncio.run(wait_for_peer(pauses=pauses)) < LATE_SECONDS


def test_dead_peer_is_noticed_after_a_pause():
    async def scenario():
        loop = asyncio.get_running_loop()
        loop.call_later(0.05, time.sleep, PAUSE_SECONDS)
        return await wait_for_peer()

    seconds = run(scenario)
    assert seconds >= TIMEOUT_SECONDS + PAUSE_SECONDS - 0.1
    assert seconds < LATE_SECONDS + PAUSE_SECONDS + 0.1


def test_repeated_pauses_do_not_extend_without_end():
    seconds = 0.05
    waited = asyncio.run(wait_for_peer(seconds, EndlessPauses()))
    assert waited >= (MAX_EXTENSIONS + 1) * seconds - 0.01
    assert waited < (MAX_EXTENSIONS + 1) * seconds + 0.15


def test_limit_is_not_extended():
    """The clock of a caller goes on while this process pauses."""
    waited = asyncio.run(wait_for_peer(0.1, EndlessPauses(), limit=0.15))
    assert waited < 0.15 + 0.1


def test_cancelled_timer_does_not_act():
    async def scenario():
        acted = []
        timer = PeerTimer(0.01, lambda: acted.append(1), EndlessPauses())
        await asyncio.sleep(0.015)
        timer.cancel()
        await asyncio.sleep(0.1)
        return acted

    assert not asyncio.run(scenario())


def test_cancellation_and_errors_pass_through():
    async def scenario():
        with pytest.raises(ValueError, match='peer'):
            async with PeerTimeout(1):
                raise ValueError('peer')

        async def wait():
            async with PeerTimeout(1):
                await asyncio.get_running_loop().create_future()

        task = asyncio.create_task(wait())
        await asyncio.sleep(0)
        task.cancel()
        with pytest.raises(asyncio.CancelledError):
            await task

    asyncio.run(scenario())


def test_block_that_ends_in_time_leaves_no_timer():
    async def scenario():
        async with PeerTimeout(0.02):
            await asyncio.sleep(0)
        await asyncio.sleep(0.05)

    asyncio.run(scenario())
