"""Guards against programs that lose their feed or flood log and network."""

import asyncio
from datetime import timedelta

from crocusproxy.clock import ManualClock
from crocusproxy.config.model import Document
from crocusproxy.errors import NotReachableError
from crocusproxy.protocol import follow
from crocusproxy.protocol.follow import FeedFollower


class FakeFeed:
    """Replies with the given generations, then waits for ever.

    A generation of None is an unreachable daemon.
    """

    def __init__(self, address, *generations):
        self.address = address
        self.generations = list(generations)
        self.polls = 0

    async def document(self, after, wait, current):
        self.polls += 1
        if not self.generations:
            await asyncio.Event().wait()
        generation = self.generations.pop(0)
        if generation is None:
            raise NotReachableError('down')
        return Document(generation)

    async def view(self, after, wait, current):
        await asyncio.Event().wait()


async def run(feeds, turns=50):
    clock = ManualClock()
    follower = FeedFollower(tuple(feeds), clock)
    seen = []
    follower.on_document.append(lambda one: seen.append(one.generation))
    await follower.start()
    for _ in range(turns):
        await asyncio.sleep(0)
    await follower.stop()
    return seen, clock


def test_a_peer_is_followed_while_the_own_daemon_is_down():
    own = FakeFeed('own', None)
    seen, _ = asyncio.run(run([own, FakeFeed('peer', 3)]))
    assert seen == [3]


def test_listeners_never_receive_an_older_generation():
    seen, _ = asyncio.run(run([FakeFeed('own', 5, 4, 5, 6)]))
    assert seen == [5, 6]


def test_an_outage_is_logged_once_per_feed_and_polled_with_backoff(monkeypatch):
    lines = []
    monkeypatch.setattr(follow, 'log', lambda event, **_: lines.append(event))
    feeds = [FakeFeed('a', *[None] * 9), FakeFeed('b', *[None] * 9)]
    _, clock = asyncio.run(run(feeds))
    assert lines == ['feed_unreachable'] * 2
    assert clock.elapsed > timedelta(seconds=20)
