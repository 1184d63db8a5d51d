"""A model of the servers that the system serves, in virtual time.

Servers have few slots and a short queue, change their speed several times a
second, and slow down when they are nearly full. Scenarios in
``scenarios/placement`` give the figures.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random


@dataclass(frozen=True)
class Slowness:
    """Hidden slowness of some servers, in seconds of virtual time."""

    start: float
    end: float
    share: float
    factor: float


@dataclass(frozen=True)
class ServerTerms:
    """What all servers of a service have in common.

    Every ``redraw`` seconds each server is slow with probability
    ``slow_share``; work that begins then takes ``slow_factor`` times as long.
    On a server that is at least ``knee`` full it takes ``knee_factor`` times as
    long.
    """

    slots: int
    queue: int
    slow_share: float
    slow_factor: float
    redraw: float = 0.15
    knee: float = 2.0
    knee_factor: float = 1.0


@dataclass
class ModelServer:
    """One server; ``rank`` in 0 to 1 decides which slownesses strike it."""

    key: str
    domain: str
    terms: ServerTerms
    random: Random
    slownesses: tuple[Slowness, ...] = ()
    running: int = 0
    waiting: int = 0
    phase: int = -1
    slow: bool = False
    rank: float = 0
    room: asyncio.Condition = field(default_factory=asyncio.Condition)

    def reported_slowdown(self, now: float) -> float:
        """Return the slowdown that the server tells of itself."""
        phase = int(now / self.terms.redraw)
        if phase != self.phase:
            self.phase = phase
            self.slow = self.random.random() < self.terms.slow_share
        return self.terms.slow_factor if self.slow else 1.0

    def slowdown(self, now: float) -> float:
        """Return how long work that begins now takes, hidden causes too."""
        factor = self.reported_slowdown(now)
        for one in self.slownesses:
            if one.start <= now < one.end and self.rank < one.share:
                factor *= one.factor
        if (self.running + 1) / self.terms.slots >= self.terms.knee:
            factor *= self.terms.knee_factor
        return factor

    async def run(self, work: float) -> bool:
        """Run a request; False if slots and queue are full."""
        if self.running >= self.terms.slots:
            if self.waiting >= self.terms.queue:
                return False
            await self._wait_for_slot()
        time = work * self.slowdown(asyncio.get_running_loop().time())
        self.running += 1
        try:
            await asyncio.sleep(time)
        finally:
            self.running -= 1
            async with self.room:
                self.room.notify()
        return True

    async def _wait_for_slot(self) -> None:
        self.waiting += 1
        try:
            async with self.room:
                while self.running >= self.terms.slots:
                    await self.room.wait()
        finally:
            self.waiting -= 1
