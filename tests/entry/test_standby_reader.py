"""Guards against configurations that nobody reads while the home is silent."""

import asyncio
from datetime import timedelta
from types import SimpleNamespace

import pytest

from crocusproxy.clock import ManualClock
from crocusproxy.entry.standby_reader import MAX_FEED_SILENCE, StandbyReader

JUST_BEYOND = MAX_FEED_SILENCE + timedelta(milliseconds=1)


class Follower:
    """A member without its network, and the reads that it has started."""

    def __init__(self, **state):
        self.clock = ManualClock()
        self.elector = SimpleNamespace(
            home_heard_at=self.clock.monotonic(),
            is_home=False,
            leaving=False,
            home=None,
            lost_home_name='',
        )
        vars(self.elector).update(state)
        self.reading_count = 0
        self.reader = StandbyReader(self.elector, self.clock, self.read)

    async def read(self):
        self.reading_count += 1
        try:
            await asyncio.Event().wait()
        finally:
            self.reading_count -= 1

    async def update_after(self, delay):
        self.clock.advance(delay)
        self.reader.update()
        await asyncio.sleep(0)
        return self.reading_count


def test_follower_reads_from_the_silence_of_its_home_until_it_hears_one():
    async def scenario():
        follower = Follower()
        assert await follower.update_after(MAX_FEED_SILENCE) == 0
        assert await follower.update_after(timedelta(milliseconds=1)) == 1
        assert await follower.update_after(MAX_FEED_SILENCE) == 1
        follower.elector.home_heard_at = follower.clock.monotonic()
        assert await follower.update_after(timedelta()) == 0

    asyncio.run(scenario())


@pytest.mark.parametrize(
    'state',
    [
        {'is_home': True},
        {'leaving': True},
        # It starts, or follows a domain home.
        {'home_heard_at': None},
    ],
)
def test_other_members_do_not_read(state):
    """Calls to the store would grow with the number of instances."""

    async def scenario():
        assert await Follower(**state).update_after(JUST_BEYOND) == 0

    asyncio.run(scenario())


def test_reading_ends_with_the_reader():
    async def scenario():
        follower = Follower()
        follower.clock.advance(JUST_BEYOND)
        running = asyncio.create_task(follower.reader.run())
        while not follower.reading_count:
            await asyncio.sleep(0)
        running.cancel()
        await asyncio.wait((running,))
        await asyncio.sleep(0)
        assert not follower.reading_count

    asyncio.run(scenario())
