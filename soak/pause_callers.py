"""Callers that send to an instance while it is paused."""

import asyncio
from collections.abc import Coroutine
from itertools import count, cycle
from random import Random
from typing import Any

from .callers import Caller
from .instances import Instance
from .pipelining_callers import PIPELINING, PipeliningCaller
from .testbed import Testbed

KEPT = 6
NEW = 4
#: What arrives before the process has stopped is read before the pause.
STOPPED_SECONDS = 0.02
#: Instances allow callers this much beyond the idle timeout.
IDLE_MARGIN_SECONDS = 1.0
PATHS = ('/safe/', '/unsafe/', '/move/')
#: Overlapping series may pause an instance twice at the same moment.
_NUMBERS = count()


class PauseCallers:
    """Callers on connections that they keep, on new ones, and pipelining.

    Half of those with kept connections have a request at work as the pause
    begins if ``send_at_work`` was called.
    """

    def __init__(self, testbed: Testbed, instance: Instance) -> None:
        self.address = instance.addresses['callers']
        name = f'pause-{instance.name}-{testbed.now():.2f}-{next(_NUMBERS)}'
        self.kept = [testbed.new_caller(f'{name}k{n}') for n in range(KEPT)]
        self.new = [testbed.new_caller(f'{name}w{n}') for n in range(NEW)]
        self.pipelining = [
            PipeliningCaller(
                PIPELINING,
                {},
                *testbed.caller_details(f'{name}{kind}'),
                Random(f'{name}{kind}'),
            )
            for kind in ('pk', 'pw')
        ]
        self.at_work: list[Caller] = []
        self.paths = cycle(PATHS)
        self.tasks: list[asyncio.Task[Any]] = []

    async def open(self) -> None:
        """Use the connections that are kept."""
        await asyncio.gather(
            *(self._request(caller) for caller in self.kept),
            self._send_batch(self.pipelining[0]),
        )

    async def open_in_turn(self) -> None:
        """Use the kept connections so that one after another is idle."""
        for caller in self.kept:
            await self._request(caller)
            await asyncio.sleep(IDLE_MARGIN_SECONDS / KEPT)

    def send_at_work(self) -> None:
        """Send requests that are at work when the pause begins."""
        self.at_work = self.kept[::2]
        for caller in self.at_work:
            self._start(self._request(caller))

    async def send(self) -> None:
        """Send requests in the pause; ``finish`` awaits the responses."""
        await asyncio.sleep(STOPPED_SECONDS)
        for caller in (*self.kept, *self.new):
            if caller not in self.at_work:
                self._start(self._request(caller))
        for pipelining in self.pipelining:
            self._start(self._send_batch(pipelining))

    async def finish(self) -> None:
        """Await the responses and close the connections."""
        await asyncio.gather(*self.tasks)
        for caller in (*self.kept, *self.new, *self.pipelining):
            caller.close()

    async def _request(self, caller: Caller) -> None:
        await caller.send(next(self.paths), self.address)

    async def _send_batch(self, caller: PipeliningCaller) -> None:
        if await caller.connect(self.address):
            await caller.exchange_batch()

    def _start(self, work: Coroutine[Any, Any, None]) -> None:
        self.tasks.append(asyncio.create_task(work))
