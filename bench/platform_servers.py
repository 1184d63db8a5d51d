"""A model of the platform's servers, in virtual time.

Servers have few slots and a short queue, change their speed several times a
second, and are slower when they are nearly full. The parameters are set by the
scenarios in ``scenarios/placement``.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from random import Random


@dataclass(frozen=True)
class Slowness:
    """Slowness that some servers do not report.

    ``start`` and ``end`` are in seconds of virtual time. Servers with a rank
    below ``share`` are slower by ``factor``.
    """

    start: float
    end: float
    share: float
    factor: float


@dataclass(frozen=True)
class ServerParameters:
    """Parameters of all servers of a service.

    Every ``redraw`` seconds each server is slow with probability
    ``slow_share``; requests that start then take ``slow_factor`` times as long.
    On a server with at least the share ``knee`` of its slots in use, the new
    request included, they take ``knee_factor`` times as long.
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
    """One server; ``rank`` from 0 to 1 selects its hidden slownesses."""

    key: str
    domain: str
    parameters: ServerParameters
    random: Random
    slownesses: tuple[Slowness, ...] = ()
    running: int = 0
    waiting: int = 0
    phase: int = -1
    is_slow: bool = False
    rank: float = 0
    slot_released: asyncio.Condition = field(default_factory=asyncio.Condition)

    def reported_slowdown(self, now: float) -> float:
        """Return the slowdown in the server's load reports."""
        phase = int(now / self.parameters.redraw)
        if phase != self.phase:
            self.phase = phase
            self.is_slow = self.random.random() < self.parameters.slow_share
        return self.parameters.slow_factor if self.is_slow else 1.0

    def slowdown(self, now: float) -> float:
        """Return the slowdown of a request that starts now, also if hidden."""
        factor = self.reported_slowdown(now)
        for hidden in self.slownesses:
            if hidden.start <= now < hidden.end and self.rank < hidden.share:
                factor *= hidden.factor
        if (self.running + 1) / self.parameters.slots >= self.parameters.knee:
            factor *= self.parameters.knee_factor
        return factor

    async def run(self, work: float) -> bool:
        """Run a request; return False if slots and queue are full."""
        if self.running >= self.parameters.slots:
            if self.waiting >= self.parameters.queue:
                return False
            await self._wait_for_slot()
        service_seconds = work * self.slowdown(
            asyncio.get_running_loop().time()
        )
        self.running += 1
        try:
            await asyncio.sleep(service_seconds)
        finally:
            self.running -= 1
            async with self.slot_released:
                self.slot_released.notify()
        return True

    async def _wait_for_slot(self) -> None:
        self.waiting += 1
        try:
            async with self.slot_released:
                while self.running >= self.parameters.slots:
                    await self.slot_released.wait()
        finally:
            self.waiting -= 1
