"""Cost of placing a request, by the number of upstreams and the load.

Requests run in virtual time on a service whose upstreams report their speed in
each response. The cost is that of the placer for a whole request: its start,
the report, its end, and the queue where requests wait. The bounds are those of
docs/design/upgrades-and-open-faults.md.
"""

import time
from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta
from heapq import heappop, heappush
from itertools import count
from random import Random

from crocusproxy.clock import ManualClock
from crocusproxy.placement.placer import ServicePlacer
from crocusproxy.placement.requests import Decision, Placed, PlacementRequest
from crocusproxy.routes.model import RegisteredUpstream

MAX_MILLISECONDS = 0.2
MAX_GROWTH = 2.0
_UPSTREAMS = (136, 10_000)
_LOADS = (0.3, 0.6, 1.2)
_CALLS = 20_000
_SHORT_CALLS = 3_000
_SLOTS = 4
_SERVICE_SECONDS = 0.05
_TARGET_SECONDS = 0.25
_DEADLINE_SECONDS = 0.5
#: Share of the slots that are used at a load of 1, as upstreams slow down when
#: nearly full.
_USED_SLOTS_SHARE = 0.75
#: One upstream in so many is in another failure domain.
_REMOTE_PERIOD = 3


def run(short: bool) -> bool:
    """Print the table and return whether the bounds hold."""
    calls = _SHORT_CALLS if short else _CALLS
    small, large = _UPSTREAMS
    print('\nPlacement of a request, one thread, milliseconds')
    print(f'load  {small:6} upstreams  {large:6} upstreams  growth')
    holds = True
    for load in _LOADS:
        few, many = [
            ServiceRun(number, load).measure(calls) for number in _UPSTREAMS
        ]
        growth = many / few
        print(f'{load:4}  {few:16.3f}  {many:16.3f}  {growth:6.2f}')
        holds = holds and few <= MAX_MILLISECONDS and growth < MAX_GROWTH
    return holds


@dataclass(slots=True)
class ServiceRun:
    """One service under a load, relative to the capacity."""

    upstreams: int
    load: float

    def measure(self, calls: int) -> float:
        """Return the mean duration per request in milliseconds."""
        random = Random(1)
        clock = ManualClock()
        placer = ServicePlacer('s', 'a', clock, Random(2))
        for number in range(self.upstreams):
            domain = 'b' if number % _REMOTE_PERIOD == 0 else 'a'
            key = str(number)
            placer.put(
                RegisteredUpstream(key, 's', key, domain, _SLOTS, False, 1, 1)
            )
        ends: list[tuple[float, int, Placed]] = []
        sequence = count()

        def decide(decision: Decision) -> None:
            if isinstance(decision, Placed):
                seconds = _SERVICE_SECONDS * random.lognormvariate(0, 0.3)
                end = placer.now() + seconds
                heappush(ends, (end, next(sequence), decision))

        capacity = _USED_SLOTS_SHARE * _SLOTS * self.upstreams
        self._start_requests(placer, capacity, decide)
        rate = self.load * capacity / _SERVICE_SECONDS
        busy = float()
        for number in range(calls):
            clock.advance(timedelta(seconds=random.expovariate(rate)))
            started = time.perf_counter()
            while ends and ends[0][0] <= placer.now():
                _end(placer, heappop(ends)[2], random)
            placer.place(_request(placer.now(), number), decide)
            busy += time.perf_counter() - started
        return 1000 * busy / calls

    def _start_requests(
        self,
        placer: ServicePlacer,
        capacity: float,
        decide: Callable[[Decision], None],
    ) -> None:
        """Start the requests of a steady load on all upstreams in turn."""
        states = list(placer.upstreams.values())
        for number in range(int(min(self.load, 1) * capacity)):
            state = states[number % len(states)]
            decide(placer._start(state, _SERVICE_SECONDS, placer.now()))


def _request(now: float, number: int) -> PlacementRequest:
    return PlacementRequest(
        number % 3,
        _SERVICE_SECONDS,
        now + _TARGET_SECONDS,
        now + _DEADLINE_SECONDS,
    )


def _end(placer: ServicePlacer, placed: Placed, random: Random) -> None:
    placed.upstream.report(random.uniform(0.8, 1.4), placer.now())
    placed.upstream.succeeded()
    placer.release(placed, answered=True)
