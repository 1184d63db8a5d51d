"""Pauses an instance at a step of its work while callers send to it."""

import asyncio

from .faults import PauseBriefly
from .instances import Instance, find_domain_homes
from .pause_callers import PauseCallers
from .testbed import Testbed

#: Shares of the shutdown time at which a stopping instance takes a step.
REFUSING_SHARE = 0.4
STOP_LISTENING_SHARE = 0.7
#: An instance that has stopped listening ends soon after its last response.
END_SECONDS = 0.1
#: Requests that are sent so long before a pause are at work in it.
AT_WORK_SECONDS = 0.03
IDLE_TIMEOUT_SECONDS = 0.5
#: The instances have another idle timeout this long after its publication.
IN_FORCE_SECONDS = 0.5


async def pause_briefly(testbed: Testbed, fault: PauseBriefly) -> None:
    """Pause an instance as ``fault`` says, and await the responses."""
    instance = await _find_instance(testbed, fault)
    if instance.has_departed:
        return
    pause = _Pause(testbed, instance, fault)
    match fault.step:
        case 'calm':
            await pause.prepare()
            await pause.run()
        case 'idle':
            await pause.run_at_idle_timeout()
        case 'reload':
            await pause.prepare()
            await asyncio.gather(instance.reload(1), pause.run())
        case 'publish':
            await pause.prepare()
            await pause.run_with_configuration()
        case _:
            await instance.terminate(
                prepare=pause.prepare, accompany=pause.run_in_shutdown
            )
    await pause.callers.finish()


class _Pause:
    def __init__(
        self, testbed: Testbed, instance: Instance, fault: PauseBriefly
    ) -> None:
        self.testbed = testbed
        self.instance = instance
        self.fault = fault
        self.lead_seconds = fault.lead * fault.seconds
        self.callers = PauseCallers(testbed, instance)

    async def prepare(self) -> None:
        await self.callers.open()

    async def run(self) -> None:
        await self.instance.pause_briefly(self.fault.seconds, self.callers.send)

    async def run_with_configuration(self) -> None:
        pause = asyncio.create_task(self.run())
        await asyncio.sleep(self.lead_seconds)
        self.testbed.operator.publish()
        await pause

    async def run_at_idle_timeout(self) -> None:
        """Pause while the connections of callers reach the idle timeout."""
        self.testbed.operator.set_idle_timeout(IDLE_TIMEOUT_SECONDS)
        await asyncio.sleep(IN_FORCE_SECONDS)
        await self.callers.open_in_turn()
        await asyncio.sleep(IDLE_TIMEOUT_SECONDS)
        await self.run()

    async def run_in_shutdown(self) -> None:
        shutdown_seconds = self.instance.shutdown_seconds
        listening_seconds = shutdown_seconds * STOP_LISTENING_SHARE
        match self.fault.step:
            case 'refusing':
                at = shutdown_seconds * REFUSING_SHARE - self.lead_seconds
            case 'listening_end':
                at = listening_seconds - self.lead_seconds
            case 'last_response':
                at = listening_seconds - AT_WORK_SECONDS
            case 'end':
                at = listening_seconds + END_SECONDS * self.fault.lead
            case _:
                at = 0
        await asyncio.sleep(max(at, 0))
        if self.fault.step == 'last_response':
            self.callers.send_at_work()
            await asyncio.sleep(AT_WORK_SECONDS)
        await self.run()


async def _find_instance(testbed: Testbed, fault: PauseBriefly) -> Instance:
    """Return the instance that has the role, or else the drawn one."""
    drawn = testbed.instances[fault.instance]
    match fault.role:
        case 'home':
            return testbed.home()
        case 'domain_home':
            candidates = await find_domain_homes(testbed.instances)
        case 'draining':
            candidates = [one for one in testbed.running() if one.is_draining]
        case _:
            return drawn
    return candidates[fault.instance % len(candidates)] if candidates else drawn
