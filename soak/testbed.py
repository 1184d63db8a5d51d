"""The processes and stand-ins of a run."""

import asyncio
import os
import time
from collections import Counter
from pathlib import Path
from random import Random

from standins.processes import Processes, free_ports
from standins.store import StandInStore

from .callers import Caller
from .distant_link import DistantLink
from .instance_log import InstanceLog
from .instances import (
    PORT_NAMES,
    SHUTDOWN_TIMEOUT_SECONDS,
    Instance,
)
from .link import Link
from .operator import Operator
from .pipelining_callers import (
    DISTANCE_SECONDS,
    DISTANT,
    DISTANT_SLOW,
    PIPELINING,
    SLOW,
    USUAL_KINDS,
    WINDOW_BYTES,
    CallerKind,
    PipeliningCaller,
)
from .plan import FAILURE_DOMAINS, Features
from .processor_time import processor_wait
from .records import ObserverDelay, RunRecord
from .upstreams import Upstream

SERVICES = ('s1', 's2')
UPSTREAMS_PER_SERVICE = 3
CALLER_COUNT = 8
#: Quotas and limits of cold upstreams are reached with more load only.
CALLER_COUNT_WITH_LIMITS = 16
#: Callers that read slowly need this long for the responses of a batch that
#: they sent before they noticed the stop.
SHUTDOWN_WITH_SLOW_SECONDS = 6.0
#: Longer pauses of the soak's own event loop are recorded.
MIN_OBSERVER_DELAY_SECONDS = 0.1
LOOP_CHECK_SECONDS = 0.02


class Testbed:
    """Runs store, upstreams and callers here, and instances as processes."""

    upstreams_per_service = UPSTREAMS_PER_SERVICE

    def __init__(
        self, folder: Path, instances: int, seed: int, features: Features
    ) -> None:
        self.run_record = RunRecord(instance_count=instances)
        self.started_at = time.monotonic()
        self.store = StandInStore()
        self.features = features
        self.operator = Operator(
            self.store, self.run_record, features, self.now
        )
        self.processes = Processes(folder)
        self.instance_count = instances
        self.shutdown_seconds = (
            SHUTDOWN_WITH_SLOW_SECONDS
            if features.slow
            else SHUTDOWN_TIMEOUT_SECONDS
        )
        self.random = Random(seed)
        # Separate, so that the other callers of a seed stay the same.
        self.pipelining_random = Random(f'pipelining-{seed}')
        #: Links of distant callers to instances, by the addresses of these.
        self.distant_links: dict[str, DistantLink] = {}
        self.instances: list[Instance] = []
        #: Sources of connections that upstreams refuse, by overlapping cuts.
        self.refused: Counter[str] = Counter()
        self.upstreams: list[Upstream] = []
        self.callers: list[Caller] = []
        self.tasks: list[asyncio.Task[None]] = []
        self.observer: asyncio.Task[None] | None = None
        self.logs: dict[str, InstanceLog] = {}

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self.started_at

    async def start(self) -> None:
        """Start the stand-ins and the instances, without awaiting readiness."""
        await self.store.start()
        self.operator.publish()
        for number in range(self.upstreams_per_service * len(SERVICES)):
            service = SERVICES[number % len(SERVICES)]
            upstream = Upstream(
                number,
                service,
                self.store,
                self.run_record,
                self.now,
                self.refused,
                self.features,
                self._upstream_domain(number // len(SERVICES)),
            )
            self.upstreams.append(await upstream.start())
        # Separate calls could return the same port, as none is bound yet.
        ports = free_ports(self.instance_count * len(PORT_NAMES))
        for number in range(self.instance_count):
            instance = Instance(
                number,
                self.processes,
                self.store.address,
                self.run_record,
                self.now,
                ports[number :: self.instance_count],
                self._failure_domain(number),
                self.shutdown_seconds,
            )
            self.instances.append(instance)
        if self.features.links:
            await self._start_links()
        seeds = tuple(
            instance.addresses['control'] for instance in self.instances[:3]
        )
        for instance in self.instances:
            await instance.start(seeds)
        self.callers = [
            self.new_caller(
                f'c{number}',
                self._failure_domain(number) if self.features.homes else '',
            )
            for number in range(
                CALLER_COUNT_WITH_LIMITS
                if self.features.accounts or self.features.cold
                else CALLER_COUNT
            )
        ]

        await self._start_distant_links()
        self.callers.extend(
            self._new_pipelining_caller(f'p{number}', kind)
            for number, kind in enumerate(self._pipelining_kinds())
        )

    def _pipelining_kinds(self) -> tuple[CallerKind, ...]:
        """Return the usual kinds and those asked for; half are distant."""
        slow_kinds = (SLOW, DISTANT_SLOW) * self.features.slow
        pipelining_kinds = (PIPELINING, DISTANT) * self.features.pipelines
        return (
            *USUAL_KINDS,
            *slow_kinds[: self.features.slow],
            *pipelining_kinds[: self.features.pipelines],
        )

    async def _start_distant_links(self) -> None:
        for instance in self.instances:
            target = instance.addresses['callers']
            link = DistantLink(target, DISTANCE_SECONDS, WINDOW_BYTES)
            self.distant_links[target] = link
            await link.start()

    async def _start_links(self) -> None:
        for instance in self.instances:
            for other in self.instances:
                if other is not instance:
                    target = other.addresses['internal']
                    instance.links[target] = await Link(target).start()

    def _failure_domain(self, number: int) -> str:
        domains = FAILURE_DOMAINS if self.features.domains else ('a',)
        return domains[number % len(domains)]

    def _upstream_domain(self, number: int) -> str:
        """Return the failure domain of one upstream of each service."""
        return self._failure_domain(number)

    def new_caller(self, name: str, failure_domain: str = '') -> Caller:
        return Caller(
            *self.caller_details(name),
            Random(self.random.random()),
            failure_domain,
        )

    def _new_pipelining_caller(
        self, name: str, kind: CallerKind
    ) -> PipeliningCaller:
        links = {}
        if kind.is_distant:
            links = {
                address: link.address
                for address, link in self.distant_links.items()
            }
        return PipeliningCaller(
            kind,
            links,
            *self.caller_details(name),
            Random(self.pipelining_random.random()),
        )

    def caller_details(self, name: str) -> tuple:
        return (
            name,
            [instance.addresses['directory'] for instance in self.instances],
            {
                instance.addresses['callers']: instance.number
                for instance in self.instances
            },
            self.operator,
            self.run_record,
            self.now,
        )

    def start_load(self) -> None:
        for upstream in self.upstreams:
            upstream.has_traffic = True
        self.tasks = [
            asyncio.create_task(caller.run()) for caller in self.callers
        ]
        self.observer = asyncio.create_task(self._record_delays())
        self.tasks.extend(
            asyncio.create_task(instance.watch_exits())
            for instance in self.instances
        )

    async def _record_delays(self) -> None:
        """Record when this process, and so the callers, did not run."""
        while True:
            start = self.now()
            waited_before = processor_wait(os.getpid())
            await asyncio.sleep(LOOP_CHECK_SECONDS)
            if self.now() - start > MIN_OBSERVER_DELAY_SECONDS:
                waited = processor_wait(os.getpid()) - waited_before
                self.run_record.observer_delays.append(
                    ObserverDelay(start, self.now(), waited)
                )

    async def stop_load(self) -> None:
        """Stop all callers and close their connections."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for caller in self.callers:
            caller.close()

    async def stop(self) -> None:
        if self.observer is not None:
            self.observer.cancel()
        unfinished = self.processes.stop_all()
        self.run_record.violations.extend(
            f'{name}: did not end' for name in unfinished
        )
        for instance in self.instances:
            for link in (instance.link, *instance.links.values()):
                await link.stop()
        for distant_link in self.distant_links.values():
            await distant_link.stop()
        for upstream in self.upstreams:
            await upstream.stop()
        await self.store.stop()

    def running(self) -> list[Instance]:
        """Return the instances that have not left for good."""
        return [one for one in self.instances if not one.has_departed]

    def home(self) -> Instance:
        """Return the instance that has become home last."""
        return max(
            self.running(), key=lambda one: self.log_of(one).leading_since()
        )

    def log_of(self, instance: Instance) -> InstanceLog:
        """Return what an instance has logged so far."""
        log = self.logs.get(instance.name)
        if log is None:
            log = InstanceLog(self.processes.log_path(instance.name))
            self.logs[instance.name] = log
        log.read()
        return log
