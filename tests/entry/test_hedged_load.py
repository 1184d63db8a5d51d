"""Plays loads with slow requests and slow upstreams, with and without hedges.

Half of the slow requests are slow wherever they run, so that their hedges are
wasted; the others meet an upstream that is slow for a short time.
"""

import asyncio
from random import Random

import pytest

from .hedging import OK, System, make_route

UPSTREAMS = 12
SLOTS = 4
SERVICE_SECONDS = 0.1
TARGET_SECONDS = 0.35
#: Requests per second that all slots can serve.
CAPACITY = UPSTREAMS * SLOTS / SERVICE_SECONDS
SLOW_SHARE = 0.015
SLOW_FACTOR = 7
#: Each upstream is slower by a factor for short phases at random times.
PHASE_FACTOR = 5
PHASE_SECONDS = 0.15
PHASES_PER_SECOND = 0.1
SHARE = 0.05


class Load(System):
    """Callers with a steady load, in multiples of the capacity."""

    def play(self, load, seconds):
        self.load = load
        self.seconds = seconds
        self.work = {}
        self.in_time = self.served = self.arrived = 0
        self.slow_until = {}
        self.run(self._play())
        return self

    async def _play(self):
        background = [
            asyncio.create_task(self.dispatcher.run_queues()),
            asyncio.create_task(self._slow_down()),
        ]
        tasks = []
        random = Random(5)
        while self.loop.time() < self.seconds:
            await asyncio.sleep(random.expovariate(self.load * CAPACITY))
            tasks.append(asyncio.create_task(self._serve(self.arrived)))
            self.arrived += 1
        await asyncio.gather(*tasks)
        for task in background:
            task.cancel()

    async def _slow_down(self):
        rate = UPSTREAMS * PHASES_PER_SECOND
        random = Random(6)
        while True:
            await asyncio.sleep(random.expovariate(rate))
            key = f'i-{random.randrange(UPSTREAMS)}'
            self.slow_until[key] = self.loop.time() + PHASE_SECONDS

    async def _serve(self, number):
        random = Random(number)
        self.work[number] = SERVICE_SECONDS * random.uniform(0.7, 1.3)
        if random.random() < SLOW_SHARE:
            self.work[number] *= SLOW_FACTOR
        context = self.context(
            make_route(target=TARGET_SECONDS, timeout=1.2), number
        )
        response = await self.dispatcher.run(context)
        self.served += response.status == 200
        in_time = self.loop.time() <= context.target_at
        self.in_time += response.status == 200 and in_time

    async def next_result(self, state, outgoing):
        """Return the duration at the speed with which the request starts."""
        work = self.work[outgoing.request_id]
        random = Random(f'{outgoing.request_id} {state.key}')
        factor = SLOW_FACTOR if random.random() < SLOW_SHARE else 1
        if self.loop.time() < self.slow_until.get(state.key, 0):
            factor = PHASE_FACTOR
        return work * factor, OK

    def late_share(self):
        return 1 - self.in_time / self.arrived

    def extra_share(self):
        return len(self.sent) / self.arrived - 1


def play(share, load, seconds):
    return Load(share, UPSTREAMS, SLOTS).play(load, seconds)


def test_hedges_make_fewer_responses_late_within_their_limit():
    hedged, plain = play(SHARE, 0.4, 20), play(0, 0.4, 20)
    assert plain.late_share() > 0.03
    assert hedged.late_share() < 0.7 * plain.late_share()
    assert 0 < hedged.extra_share() <= SHARE


@pytest.mark.parametrize('load', [0.95, 1.3])
def test_hedges_take_nothing_from_requests_at_full_load(load):
    hedged, plain = play(SHARE, load, 4), play(0, load, 4)
    assert hedged.extra_share() < 0.005
    assert hedged.in_time >= 0.99 * plain.in_time
    assert hedged.served >= 0.99 * plain.served
