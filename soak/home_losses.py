"""Losses of the home, during which a configuration must be in force in time."""

import asyncio

from .faults import LoseHome
from .instances import Instance
from .link import LinkFault
from .testbed import Testbed

#: A new configuration is in force on all instances within this time.
PROPAGATION_SECONDS = 2.0
KILL_SECONDS = 3.0
#: Time between departures and the loss of the home.
DEPARTURE_SECONDS = 1.0


async def lose_home(testbed: Testbed, fault: LoseHome) -> None:
    """Lose the home or its store, and check a version at the others.

    The loss is not recorded as a disturbance of the store: the others reach it
    all the while.
    """
    home = testbed.home()
    cut = []
    if 'store' in fault.loss:
        cut = [
            one
            for one in testbed.running()
            if one.failure_domain == home.failure_domain
        ]
    for instance in cut:
        instance.link.apply(LinkFault.SILENT)
    loss = asyncio.create_task(_lose(home, fault))
    await asyncio.sleep(fault.phase)
    others = [
        one for one in testbed.running() if one not in cut and one is not home
    ]
    await check_version(testbed, others, fault.loss)
    for instance in cut:
        instance.link.apply(LinkFault.NONE)
    await loss


async def depart(testbed: Testbed, numbers: tuple[int, ...]) -> None:
    """Let instances leave for good, kill the home, and check the others."""
    leaving = [testbed.instances[number] for number in numbers]
    await asyncio.gather(*(instance.depart() for instance in leaving))
    await asyncio.sleep(DEPARTURE_SECONDS)
    home = testbed.home()
    loss = asyncio.create_task(home.kill(KILL_SECONDS))
    others = [one for one in testbed.running() if one is not home]
    await check_version(testbed, others, f'{len(leaving)} departures')
    await loss


async def check_version(
    testbed: Testbed, instances: list[Instance], loss: str
) -> None:
    """Publish a version; record a violation where it is not in force in time.

    The time in which the soak itself stood still does not count.
    """
    testbed.operator.publish()
    version = testbed.operator.version
    published_at = testbed.now()
    await asyncio.sleep(PROPAGATION_SECONDS)
    stalled = sum(
        delay.end - delay.start
        for delay in testbed.run_record.observer_delays
        if delay.end > published_at
    )
    await asyncio.sleep(stalled)
    testbed.run_record.violations.extend(
        f'{instance.name}: old configuration {PROPAGATION_SECONDS} s '
        f'after version {version}, with loss {loss}, '
        f'before second {testbed.now():.2f}'
        for instance in instances
        if testbed.log_of(instance).config_version() < version
    )


async def serves_path(testbed: Testbed, instance: Instance, path: str) -> bool:
    """Return whether an instance knows the route of a path."""
    caller = testbed.new_caller(f'check-{testbed.now():.3f}')
    request = await caller.send(path, instance.addresses['callers'])
    caller.close()
    return request is not None and request.status == 200


async def _lose(home: Instance, fault: LoseHome) -> None:
    match fault.loss:
        case 'kill':
            await home.kill(fault.seconds)
        case 'stop' | 'store_and_stop':
            await home.pause(fault.seconds)
        case 'store':
            await asyncio.sleep(fault.seconds)
