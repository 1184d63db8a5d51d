"""Guards against needless calls to the store, and starts that find no home."""

import asyncio

from crocusproxy.entry.joining import MAX_SEED_WAIT, join
from crocusproxy.membership.seeds import HomeSearch
from standins.virtual_time import LoopClock, VirtualLoop


class FakeElector:
    """Answers each search for a home with the next of ``searches``."""

    def __init__(self, *searches):
        self.seeds = self
        self.searches = list(searches)
        self.queried = []
        self.fetched = False
        self.runs_at = None

    async def find_home(self, seeds, *, may_wait=False):
        self.queried.append(tuple(seeds))
        is_last = len(self.searches) == 1
        search = self.searches[0] if is_last else self.searches.pop(0)
        is_waiting = may_wait and search is HomeSearch.SEARCHING
        await asyncio.sleep(0.25 if is_waiting else 0.01)
        return search

    async def fetch_members(self, seeds):
        self.fetched = True

    async def run(self):
        self.runs_at = asyncio.get_running_loop().time()


class FakeRegistration:
    def __init__(self, is_available=True):
        self.calls = 0
        self.is_available = is_available

    async def register(self):
        self.calls += 1
        await asyncio.sleep(0.01)
        return self.is_available

    async def register_until_written(self):
        self.calls += 1


def run_join(elector, registration=None, seeds=('s1', 's2'), own='n1'):
    registration = registration or FakeRegistration()
    loop = VirtualLoop()
    started = loop.time()
    loop.run_until_complete(
        join(registration, elector, seeds, own, LoopClock(loop))
    )
    loop.close()
    return registration, elector.runs_at - started


def test_start_with_a_seed_that_follows_a_home_calls_no_store():
    registration, seconds = run_join(FakeElector(HomeSearch.FOUND))
    assert registration.calls == 0
    assert seconds < 0.05


def test_start_waits_for_a_seed_that_is_searching():
    """After a loss of all instances, each start would call the store."""
    elector = FakeElector(HomeSearch.SEARCHING, HomeSearch.FOUND)
    assert run_join(elector)[0].calls == 0


def test_start_uses_the_store_at_once_if_no_seed_responds():
    registration, seconds = run_join(FakeElector(HomeSearch.UNREACHABLE))
    assert registration.calls == 1
    assert seconds < 0.05


def test_start_uses_the_store_if_the_seeds_find_no_home():
    registration, seconds = run_join(FakeElector(HomeSearch.SEARCHING))
    assert registration.calls == 1
    assert seconds < 2 * MAX_SEED_WAIT.total_seconds()


def test_seed_does_not_wait_for_other_seeds():
    """All seeds would wait for each other."""
    elector = FakeElector(HomeSearch.SEARCHING)
    registration, seconds = run_join(elector, seeds=('s1', 'n1'))
    assert registration.calls == 1
    assert seconds < 0.05
    assert all(seeds == ('s1',) for seeds in elector.queried)


def test_members_of_the_seeds_are_used_if_the_store_is_unavailable():
    elector = FakeElector(HomeSearch.SEARCHING)
    registration, _ = run_join(elector, FakeRegistration(is_available=False))
    assert elector.fetched
    assert registration.calls == 2
