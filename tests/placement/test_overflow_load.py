"""Plays callers that move between failure domains, and checks what they get.

The load of one failure domain is more than its upstreams can serve, while all
upstreams together have room. Without overflow, a part of the callers would be
refused or late although slots are free.
"""

import asyncio
from dataclasses import dataclass, field
from random import Random

import pytest

from crocusproxy.placement.placer import ServicePlacer
from crocusproxy.placement.requests import Placed, PlacementRequest
from crocusproxy.routes.model import RegisteredUpstream
from standins.virtual_time import LoopClock, VirtualLoop

UPSTREAMS = 20
SLOTS = 2
SERVICE_SECONDS = 0.2
TARGET_SECONDS = 0.5
DEADLINE_SECONDS = 1.2
PLAYED_SECONDS = 10
#: Requests per second that the upstreams of one failure domain can serve.
CAPACITY = UPSTREAMS * SLOTS / SERVICE_SECONDS


@dataclass
class Counts:
    arrived: int = 0
    in_time: int = 0
    refused: int = 0
    overflowed: int = 0
    longest_refusal: float = 0
    retry_after: list[float] = field(default_factory=list)


class Site:
    """Two domain homes and their callers, in virtual time."""

    def __init__(self, with_overflow):
        self.with_overflow = with_overflow
        self.loop = VirtualLoop()
        self.random = Random(7)
        self.placers = {domain: self.make_placer(domain) for domain in 'ab'}
        self.counts = {domain: Counts() for domain in 'ab'}

    def make_placer(self, domain):
        placer = ServicePlacer('s', domain, LoopClock(self.loop), Random(1))
        for number in range(UPSTREAMS):
            key = f'{domain}{number}'
            placer.put(
                RegisteredUpstream(key, 's', key, domain, SLOTS, False, 1, 1)
            )
        return placer

    def play(self, loads):
        """Play ``loads``, relative to the capacity of a failure domain."""
        self.loop.run_until_complete(self._play(loads))
        self.loop.close()
        return self.counts

    async def _play(self, loads):
        await asyncio.gather(
            *(self.arrive(domain, load) for domain, load in loads.items()),
            *(self.process(placer) for placer in self.placers.values()),
        )

    async def process(self, placer):
        while self.loop.time() < PLAYED_SECONDS + DEADLINE_SECONDS:
            for state in placer.upstreams.values():
                state.report(1.0, self.loop.time())
            placer.process_queue()
            await asyncio.sleep(0.01)

    async def arrive(self, domain, load):
        tasks = []
        while self.loop.time() < PLAYED_SECONDS:
            await asyncio.sleep(self.random.expovariate(load * CAPACITY))
            tasks.append(asyncio.create_task(self.serve(domain)))
        await asyncio.gather(*tasks)

    async def serve(self, domain):
        counts = self.counts[domain]
        counts.arrived += 1
        arrived_at = self.loop.time()
        placer = self.choose_placer(domain)
        decided = asyncio.get_running_loop().create_future()
        request = PlacementRequest(
            1,
            SERVICE_SECONDS,
            arrived_at + TARGET_SECONDS,
            arrived_at + DEADLINE_SECONDS,
        )
        placer.place(request, decided.set_result)
        decision = await decided
        waited = self.loop.time() - arrived_at
        if not isinstance(decision, Placed):
            counts.refused += 1
            counts.longest_refusal = max(counts.longest_refusal, waited)
            counts.retry_after.append(decision.retry_after.total_seconds())
            return
        await asyncio.sleep(self.random.uniform(0.7, 1.3) * SERVICE_SECONDS)
        placer.release(decision, answered=True)
        took = self.loop.time() - arrived_at
        counts.in_time += took <= TARGET_SECONDS

    def choose_placer(self, domain):
        own = self.placers[domain]
        other = self.placers['b' if domain == 'a' else 'a']
        is_short = self.with_overflow and own.is_short_of_slots()
        if is_short and other.has_spare_slots():
            self.counts[domain].overflowed += 1
            return other
        return own


def in_time_share(counts):
    return counts.in_time / counts.arrived


def test_callers_that_moved_are_served_in_time_by_overflow():
    counts = Site(with_overflow=True).play({'a': 1.3, 'b': 0.3})
    without = Site(with_overflow=False).play({'a': 1.3, 'b': 0.3})
    assert in_time_share(counts['a']) > 0.99
    assert in_time_share(without['a']) < 0.9
    assert counts['a'].refused == 0


def test_callers_of_the_other_failure_domain_lose_nothing():
    counts = Site(with_overflow=True).play({'a': 1.3, 'b': 0.3})
    assert in_time_share(counts['b']) > 0.99
    assert counts['b'].overflowed == 0


@pytest.mark.parametrize('load', [0.5, 0.7])
def test_requests_stay_in_their_failure_domain_while_it_has_slots(load):
    """Each overflow costs a hop and bytes between failure domains."""
    counts = Site(with_overflow=True).play({'a': load, 'b': load})
    for one in counts.values():
        assert one.overflowed <= 0.01 * one.arrived


def test_overload_of_the_whole_site_is_shared_and_refused_with_a_delay():
    """No failure domain may be starved by requests of the other."""
    counts = Site(with_overflow=True).play({'a': 1.5, 'b': 1.5})
    shares = [in_time_share(one) for one in counts.values()]
    assert max(shares) - min(shares) < 0.05
    for one in counts.values():
        assert one.refused
        assert min(one.retry_after) > 0
        assert one.longest_refusal < DEADLINE_SECONDS - SERVICE_SECONDS + 0.02
