"""Forms in which the home of an upstream's domain gets no processor.

The callers are at another instance, which forwards their requests.
"""

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

from .ledger import GRACE_SECONDS
from .pauses import (
    CALLERS,
    PAUSES_SECONDS,
    STOPPED_SECONDS,
    add_upstreams,
    open_connections,
    pause,
    send_one,
    wait_and_close,
)
from .testbed import ClosesTestbed

_LEAD_SECONDS = 0.1
_BETWEEN_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class PausedForwarding:
    """Pauses of the home, or of the instance in front of it.

    With ``is_stopped``, that instance gets SIGTERM before, and pauses as it
    closes its port.
    """

    is_home: bool
    is_stopped: bool = False

    async def play(self, testbed: ClosesTestbed) -> None:
        await add_upstreams(testbed)
        await testbed.start_all()
        for seconds in PAUSES_SECONDS[: 1 if self.is_stopped else None]:
            await self._pause_one(testbed, seconds)
            await asyncio.sleep(_BETWEEN_SECONDS)

    async def _pause_one(self, testbed, seconds: float) -> None:
        home = testbed.reader()
        front = next(one for one in testbed.instances if one is not home)
        paused = home if self.is_home else front
        connections = await open_connections(testbed, front, CALLERS)
        for connection in connections:
            await send_one(testbed, connection)
            await connection.wait_answered()
        if self.is_stopped:
            testbed.terminate(paused)
            await asyncio.sleep(0.7 * GRACE_SECONDS - _LEAD_SECONDS)
        pausing = asyncio.create_task(pause(paused, seconds))
        await asyncio.sleep(STOPPED_SECONDS)
        await asyncio.gather(
            *(send_one(testbed, connection) for connection in connections)
        )
        await pausing
        await asyncio.gather(*map(wait_and_close, connections))
        if self.is_stopped:
            await testbed.wait_ended(paused)


FORMS: dict[str, Callable] = {
    'paused_home': PausedForwarding(is_home=True).play,
    'paused_front': PausedForwarding(is_home=False).play,
    'paused_home_stop': PausedForwarding(is_home=True, is_stopped=True).play,
    'paused_front_stop': PausedForwarding(is_home=False, is_stopped=True).play,
}
