"""One run: start, faults under load, recovery, and the verdict."""

import asyncio
import shutil
import tempfile
from collections import Counter
from dataclasses import dataclass
from pathlib import Path

from .instances import Instance
from .invariants import faults
from .plan import Planner
from .records import RunRecord
from .testbed import SERVICES, UPSTREAMS_EACH, World

#: Once all faults have ended, everything is in order within this time.
RECOVERY_SECONDS = 15.0
#: A new configuration is in force everywhere within this time.
PROPAGATION_SECONDS = 2.0
#: Connections that were aborted end within this time.
SETTLE_SECONDS = 0.1
_POLL_SECONDS = 0.1


@dataclass(frozen=True, slots=True)
class Verdict:
    """What a run came to; ``folder`` keeps the logs of one that failed."""

    seed: int
    broken: tuple[str, ...]
    requests: int
    ends: dict[str, int]
    faults: int
    folder: Path | None


async def play(seed: int, seconds: float, instances: int) -> Verdict:
    """Play the run of a seed."""
    folder = Path(tempfile.mkdtemp(prefix=f'soak-{seed}-'))
    world = World(folder, instances, seed)
    planner = Planner(seed, instances, len(SERVICES) * UPSTREAMS_EACH)
    events = planner.events(seconds)
    try:
        await world.start()
        await _until_ready(world, 'not ready after the start')
        await _strike(world, events)
        await _recover(world)
        for instance in world.instances:
            instance.check()
    finally:
        await world.stop()
        await asyncio.sleep(SETTLE_SECONDS)
    broken = tuple(faults(world.run_record))
    if not broken:
        shutil.rmtree(folder)
    return Verdict(
        seed,
        broken,
        len(world.run_record.sent),
        _ends(world.run_record),
        len(events),
        folder if broken else None,
    )


async def _strike(world: World, events) -> None:
    world.send_load()
    start = world.now()
    striking = []
    for event in events:
        await asyncio.sleep(max(start + event.at - world.now(), 0))
        striking.append(asyncio.create_task(world.apply(event.fault)))
    await asyncio.gather(*striking)


async def _recover(world: World) -> None:
    """Check that all is in order once the faults have ended."""
    await _until_ready(
        world, f'not ready {RECOVERY_SECONDS} s after the faults'
    )
    await _until_served(world)
    await world.end_load()
    world.operator.publish()
    await asyncio.sleep(PROPAGATION_SECONDS)
    path = f'/only{world.operator.version}/'
    for instance in world.instances:
        if not await _serves(world, instance, path):
            world.run_record.broken.append(
                f'{instance.name}: old configuration after '
                f'{PROPAGATION_SECONDS} s'
            )


async def _until_ready(world: World, fault: str) -> None:
    limit = world.now() + RECOVERY_SECONDS
    for instance in world.instances:
        while not await instance.is_ready():
            if world.now() > limit:
                world.run_record.broken.append(f'{instance.name}: {fault}')
                return
            await asyncio.sleep(_POLL_SECONDS)


async def _until_served(world: World) -> None:
    """Wait until each instance serves both services."""
    limit = world.now() + RECOVERY_SECONDS
    for instance in world.instances:
        for path in ('/safe/', '/unsafe/'):
            while not await _serves(world, instance, path):
                if world.now() > limit:
                    world.run_record.broken.append(
                        f'{instance.name}: does not serve {path}'
                    )
                    break


async def _serves(world: World, instance: Instance, path: str) -> bool:
    caller = world.caller(f'check-{world.now():.3f}')
    sent = await caller.send(path, instance.addresses['callers'])
    caller.close()
    return sent is not None and sent.status == 200


def _ends(run: RunRecord) -> dict[str, int]:
    ends = Counter(
        f'{one.end} {one.status}' if one.status else one.end for one in run.sent
    )
    return dict(ends.most_common())
