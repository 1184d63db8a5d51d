"""Everything that one run starts, and how its faults are applied."""

import asyncio
import time
from pathlib import Path
from random import Random

from standins.processes import Processes, free_ports
from standins.store import StandInStore

from .callers import Caller
from .instances import PORTS, Instance
from .link import Harm
from .operator import Operator
from .plan import (
    CrashUpstream,
    CutStore,
    Fault,
    HarmStore,
    HarmUpstream,
    Kill,
    Misbehave,
    Pause,
    Publish,
    Reload,
    ReplaceUpstream,
    SlowDown,
    StoreHarm,
    Terminate,
)
from .records import RunRecord, Upset
from .upstreams import SLOW_PERCENT, USUAL_PERCENT, Upstream

SERVICES = ('s1', 's2')
UPSTREAMS_EACH = 3
CALLERS = 8
DRAIN_SECONDS = 2.0
SLOW_STORE_SECONDS = 0.3
PUBLISH_PAUSE_SECONDS = 0.15


class World:
    """Store, upstreams and callers in this process, instances in their own."""

    def __init__(self, folder: Path, instances: int, seed: int) -> None:
        self.run_record = RunRecord()
        self.began = time.monotonic()
        self.store = StandInStore()
        self.operator = Operator(self.store, self.run_record)
        self.processes = Processes(folder)
        self.count = instances
        self.random = Random(seed)
        self.instances: list[Instance] = []
        self.upstreams: list[Upstream] = []
        self.callers: list[Caller] = []
        self.tasks: list[asyncio.Task[None]] = []

    def now(self) -> float:
        return time.monotonic() - self.began

    async def start(self) -> None:
        """Start everything and return once all instances are ready."""
        await self.store.start()
        self.operator.publish()
        for number in range(UPSTREAMS_EACH * len(SERVICES)):
            service = SERVICES[number % len(SERVICES)]
            upstream = Upstream(
                number, service, self.store, self.run_record, self.now
            )
            self.upstreams.append(await upstream.start())
        # Drawn at once, since none of them is bound before the next is drawn.
        ports = free_ports(self.count * len(PORTS))
        for number in range(self.count):
            instance = Instance(
                number,
                self.processes,
                self.store.address,
                self.run_record,
                self.now,
                ports[number :: self.count],
            )
            self.instances.append(instance)
        seeds = tuple(one.addresses['control'] for one in self.instances[:3])
        for instance in self.instances:
            await instance.start(seeds)
        self.callers = [self.caller(f'c{n}') for n in range(CALLERS)]

    def caller(self, name: str) -> Caller:
        return Caller(
            name,
            [one.addresses['directory'] for one in self.instances],
            {one.addresses['callers']: one.number for one in self.instances},
            self.operator,
            self.run_record,
            self.now,
            Random(self.random.random()),
        )

    def send_load(self) -> None:
        self.tasks = [
            asyncio.create_task(caller.run()) for caller in self.callers
        ]

    async def end_load(self) -> None:
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for caller in self.callers:
            caller.close()

    async def stop(self) -> None:
        late = self.processes.stop_all()
        self.run_record.broken.extend(f'{name}: did not end' for name in late)
        for instance in self.instances:
            await instance.link.stop()
        for upstream in self.upstreams:
            await upstream.stop()
        await self.store.stop()

    async def apply(self, fault: Fault) -> None:
        """Let a fault strike, and end it after its time."""
        match fault:
            case Kill(instances=numbers, down=down):
                await asyncio.gather(
                    *(self.instances[one].kill(down) for one in numbers)
                )
            case Terminate(instance=number):
                await self.instances[number].terminate()
            case Pause(instance=number, seconds=seconds):
                await self.instances[number].pause(seconds)
            case Reload(instance=number, times=times):
                await self.instances[number].reload(times)
            case HarmStore(how=how, seconds=seconds):
                await self._harm_store(how, seconds)
            case CutStore(instances=numbers, harm=harm, seconds=seconds):
                await self._cut_store(numbers, harm, seconds)
            case Publish(count=count):
                for _ in range(count):
                    self.operator.publish()
                    await asyncio.sleep(PUBLISH_PAUSE_SECONDS)
            case _:
                await self._upset(fault)

    async def _harm_store(self, how: StoreHarm, seconds: float) -> None:
        store = self.store
        match how:
            case 'refuse':
                store.is_unavailable = True
            case 'slow':
                store.delay = SLOW_STORE_SECONDS
            case 'lose_answers':
                store.drop_append_responses = True
            case 'forget':
                for topic, _ in tuple(store.partitions):
                    store.expire_records(topic)
        await asyncio.sleep(seconds)
        store.is_unavailable = store.drop_append_responses = False
        store.delay = 0.0

    async def _cut_store(
        self, numbers: tuple[int, ...], harm: Harm, seconds: float
    ) -> None:
        for number in numbers:
            self.instances[number].link.apply(harm)
        await asyncio.sleep(seconds)
        for number in numbers:
            self.instances[number].link.apply(Harm.NONE)

    async def _upset(self, fault: Fault) -> None:
        start = self.now()
        match fault:
            case HarmUpstream(upstream=number, harm=harm, seconds=seconds):
                upstream = self.upstreams[number]
                upstream.link.apply(harm)
                await asyncio.sleep(seconds)
                upstream.link.apply(Harm.NONE)
            case CrashUpstream(upstream=number, down=down):
                await self.upstreams[number].crash(down)
            case ReplaceUpstream(upstream=number):
                await self.upstreams[number].replace(DRAIN_SECONDS)
            case Misbehave(upstream=number, how=how, seconds=seconds):
                server = self.upstreams[number].server
                server.how = how
                await asyncio.sleep(seconds)
                server.how = None
            case SlowDown(upstream=number, seconds=seconds):
                upstream = self.upstreams[number]
                upstream.slow(SLOW_PERCENT)
                await asyncio.sleep(seconds)
                upstream.slow(USUAL_PERCENT)
        self.run_record.upsets.append(Upset(start, self.now()))
