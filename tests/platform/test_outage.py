"""Guards against retries that load a store which is about to recover.

Guards as well against readers that notice its return late.
"""

import asyncio
from random import Random

from crocusproxy.errors import PlatformUnavailableError
from crocusproxy.membership.catalog import Catalog
from crocusproxy.membership.store_incarnation import StoreIncarnation
from crocusproxy.platform.outage import MAX_RETRY_SECONDS, StoreOutage
from crocusproxy.platform.store_records import RecordPage, StorePosition
from crocusproxy.platform.watch import (
    UPSTREAM_INTERVAL,
    ConfigWatch,
    UpstreamWatch,
)
from standins.virtual_time import LoopClock, VirtualLoop

from .test_watch import HEARTBEAT

OUTAGE_SECONDS = 8


class FailingStore:
    """Fails the reads of the topics in ``failing_topics``."""

    def __init__(self):
        self.incarnation = StoreIncarnation()
        self.failing_topics = frozenset()
        self.read_times = []

    async def newest(self, topic):
        return await self.read(topic, None)

    async def read(self, topic, start, wait=None):
        loop = asyncio.get_running_loop()
        self.read_times.append((topic, loop.time()))
        await asyncio.sleep(0.004)
        if topic in self.failing_topics:
            raise PlatformUnavailableError('status 503')
        if wait is not None:
            await asyncio.sleep(wait.total_seconds())
        return RecordPage((), StorePosition(0, 0))

    def reads_between(self, start, end):
        return [topic for topic, at in self.read_times if start <= at < end]


def run_scenario(scenario):
    loop = VirtualLoop()
    store = FailingStore()
    reader = (store, Catalog(), LoopClock(loop), StoreOutage(Random(1)))

    async def run():
        tasks = [
            asyncio.create_task(ConfigWatch(*reader).run()),
            asyncio.create_task(UpstreamWatch(*reader, HEARTBEAT).run()),
        ]
        await asyncio.sleep(2)
        try:
            await scenario(store)
        finally:
            for task in tasks:
                task.cancel()

    loop.run_until_complete(run())
    loop.close()


def test_one_reader_retries_during_an_outage():
    async def scenario(store):
        now = asyncio.get_running_loop().time()
        store.failing_topics = frozenset(('keyed.op', 'keyed.servers'))
        await asyncio.sleep(OUTAGE_SECONDS)
        # One reader retries and the other one tries rarely.
        reads = store.reads_between(now + 2, now + OUTAGE_SECONDS)
        assert len(reads) <= 2 * (OUTAGE_SECONDS - 2) / MAX_RETRY_SECONDS

    run_scenario(scenario)


def test_all_readers_resume_soon_after_an_outage():
    async def scenario(store):
        store.failing_topics = frozenset(('keyed.op', 'keyed.servers'))
        await asyncio.sleep(OUTAGE_SECONDS)
        store.failing_topics = frozenset()
        now = asyncio.get_running_loop().time()
        await asyncio.sleep(MAX_RETRY_SECONDS + 0.1)
        assert set(store.reads_between(now, now + 2)) == {
            'keyed.op',
            'keyed.servers',
        }

    run_scenario(scenario)


def test_topic_that_works_is_read_while_another_fails():
    """The store can lose some topics only."""

    async def scenario(store):
        now = asyncio.get_running_loop().time()
        store.failing_topics = frozenset(('keyed.op',))
        await asyncio.sleep(OUTAGE_SECONDS)
        reads = store.reads_between(now, now + OUTAGE_SECONDS)
        pace = UPSTREAM_INTERVAL.total_seconds() + 0.01
        assert reads.count('keyed.servers') >= OUTAGE_SECONDS / pace - 2

    run_scenario(scenario)
