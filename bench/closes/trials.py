"""Planned work at chosen moments, on a few instances under steady load."""

import asyncio
from collections.abc import Awaitable, Callable
from contextlib import suppress
from dataclasses import dataclass

from .exchanges import (
    Exchange,
    read_deeply,
    read_long,
    read_parts,
    read_some,
    write_slowly,
    write_to_early_upstream,
)
from .ledger import GRACE_SECONDS
from .testbed import ClosesTestbed

ZONES = ('d0', 'd0', 'd1', 'd1', 'd2')
CALLERS = 30
UPSTREAMS = 8
SLOTS = 12
#: Requests that were sent last are answered or reach their deadline by then.
_END_SECONDS = 20.0
_READY_SECONDS = 20.0
#: No fewer instances stay, so that callers always find one.
_MIN_RUNNING = 3

Work = Callable[[ClosesTestbed, object], Awaitable[None]]


async def restart(testbed: ClosesTestbed, instance) -> None:
    """Stop an instance and start it again once it has ended."""
    testbed.terminate(instance)
    await testbed.wait_ended(instance)
    instance.spawn()
    await _wait_ready(instance)


async def stop_young(testbed: ClosesTestbed, instance) -> None:
    """Stop an instance, and again within the first second of its start."""
    testbed.terminate(instance)
    await testbed.wait_ended(instance)
    for _ in range(3):
        instance.spawn()
        await asyncio.sleep(testbed.random.uniform(0, 1))
        testbed.terminate(instance)
        await testbed.wait_ended(instance)
    instance.spawn()
    await _wait_ready(instance)


async def reload_throughout(testbed: ClosesTestbed, instance) -> None:
    """Send SIGHUP all through the end and the start of an instance."""
    reloading = asyncio.create_task(_reload_often(testbed, instance))
    try:
        await restart(testbed, instance)
    finally:
        reloading.cancel()


async def hand_over(testbed: ClosesTestbed, instance) -> None:
    """Start a second process on the address while the first one drains."""
    testbed.terminate(instance)
    stopped_at = testbed.now()
    old = instance.process
    await asyncio.sleep(testbed.random.uniform(0, GRACE_SECONDS - 0.5))
    while old.poll() is None:
        if instance.process.poll() is not None:
            testbed.ledger.events['second processes that ended'] += 1
        if instance.process is old or instance.process.poll() is not None:
            instance.spawn()
        if testbed.now() > stopped_at + GRACE_SECONDS:
            testbed.ledger.events['killed at the end of the grace'] += 1
            old.kill()
        await asyncio.sleep(0.1)
    if instance.process.poll() is not None:
        instance.spawn()
    await _wait_ready(instance)


async def stop_home(testbed: ClosesTestbed, instance) -> None:
    """Stop the instance that reads the store, to which others forward."""
    del instance
    home = testbed.reader()
    if testbed.is_running(home):
        await restart(testbed, home)


async def reset_peers(testbed: ClosesTestbed, instance) -> None:
    """Reset the connections of other instances to one, for a short time."""
    target = f'{instance.ip}:'
    for address, link in testbed.peer_links.items():
        if address.startswith(target):
            link.set_mode('reset')
            testbed.ledger.events['resets between instances'] += 1
            await asyncio.sleep(testbed.random.uniform(0, 0.3))
            link.set_mode('ok')


async def leave_alone(testbed: ClosesTestbed, instance) -> None:
    """Leave connections to the idle timeout."""
    del testbed, instance
    await asyncio.sleep(1)


async def _reload_often(testbed: ClosesTestbed, instance) -> None:
    while True:
        await asyncio.sleep(testbed.random.uniform(0, 0.1))
        if testbed.is_running(instance):
            testbed.reload(instance)


async def _wait_ready(instance) -> None:
    with suppress(TimeoutError):
        async with asyncio.timeout(_READY_SECONDS):
            while not await instance.is_ready():
                await asyncio.sleep(0.05)


@dataclass(frozen=True, slots=True)
class Trial:
    """An exchange of all callers, and planned work that goes on meanwhile."""

    exchange: Exchange
    work: Work
    idle_timeout_ms: int = 15_000
    pause_seconds: tuple[float, float] = (0, 0.3)
    slots: int = SLOTS
    callers: int = CALLERS
    #: Upstreams reset connections beyond so many requests, though they say
    #: that they have more slots.
    full_at: int | None = None

    async def play(self, testbed: ClosesTestbed, seconds: float) -> None:
        for number in range(UPSTREAMS):
            zone = ZONES[number % len(ZONES)]
            upstream = await testbed.add_upstream(
                'work',
                zone,
                resets=self.full_at is not None,
                slots=self.slots,
                queue=500 if self.full_at is None else 1,
            )
            if self.full_at is not None:
                upstream.free = asyncio.Semaphore(self.full_at)
        testbed.idle_timeout_ms = self.idle_timeout_ms
        if self.work is reset_peers:
            await testbed.link_peers()
        await testbed.start_all()
        ends_at = testbed.now() + seconds
        callers = [
            asyncio.create_task(self._call(testbed, ends_at))
            for _ in range(self.callers)
        ]
        workers = [
            asyncio.create_task(self._work(testbed, ends_at, number))
            for number in range(len(ZONES) - _MIN_RUNNING)
        ]
        await asyncio.gather(*workers)
        await asyncio.wait(callers, timeout=_END_SECONDS)
        for caller in callers:
            caller.cancel()

    async def _work(
        self, testbed: ClosesTestbed, ends_at: float, number: int
    ) -> None:
        """Do the work on instances in turn; each worker has its own ones."""
        workers = len(ZONES) - _MIN_RUNNING
        own = testbed.instances[number::workers]
        if self.work is stop_home and number:
            return
        while testbed.now() < ends_at:
            for instance in own:
                await self.work(testbed, instance)
                await asyncio.sleep(testbed.random.uniform(0, 1))

    async def _call(self, testbed: ClosesTestbed, ends_at: float) -> None:
        while testbed.now() < ends_at:
            instance = testbed.random.choice(testbed.instances)
            connection = None
            with suppress(OSError, TimeoutError):
                connection = await testbed.connect(instance)
            if connection is None:
                await asyncio.sleep(0.05)
                continue
            while testbed.now() < ends_at and not connection.is_closed:
                await self.exchange(testbed, connection)
                await connection.wait_answered()
                await asyncio.sleep(testbed.random.uniform(*self.pause_seconds))
            await connection.close()


TRIALS = {
    'deep': Trial(read_deeply, restart),
    'deep_idle': Trial(
        read_deeply, leave_alone, idle_timeout_ms=300, pause_seconds=(0, 0.6)
    ),
    'body': Trial(write_slowly, restart),
    'early': Trial(write_to_early_upstream, restart),
    'parts': Trial(read_parts, restart),
    'parts_idle': Trial(
        read_parts, leave_alone, idle_timeout_ms=300, pause_seconds=(0, 0.6)
    ),
    'handover': Trial(read_some, hand_over),
    'young': Trial(read_some, stop_young),
    'reload': Trial(read_some, reload_throughout),
    'full': Trial(read_some, restart, full_at=2),
    'peers': Trial(read_some, reset_peers),
    # Requests wait at the home, as upstreams have half of the slots they need.
    'home': Trial(
        read_long, stop_home, pause_seconds=(0, 1), slots=2, callers=32
    ),
}
