"""The processes and stand-ins of a run, and the injection of faults."""

import asyncio
import time
from collections import Counter
from pathlib import Path
from random import Random

from standins.processes import Processes, free_ports
from standins.store import StandInStore

from .callers import Caller
from .faults import (
    ChangeQuota,
    ChillUpstream,
    CorruptResponses,
    CrashUpstream,
    CutHomeLink,
    CutOffInstances,
    DegradeStore,
    Depart,
    DisruptStoreLinks,
    DisruptUpstreamLink,
    Evacuate,
    Fault,
    Kill,
    LoseHome,
    Pause,
    Publish,
    Reload,
    ReplaceUpstream,
    RestoreStore,
    SlowUpstream,
    StateTerms,
    StoreFault,
    Terminate,
)
from .home_losses import depart, lose_home
from .instance_log import InstanceLog
from .instances import PORT_NAMES, Instance, find_domain_homes
from .link import Link, LinkFault
from .operator import Operator
from .plan import FAILURE_DOMAINS, Features
from .records import (
    ObserverDelay,
    Quota,
    RunRecord,
    StoreDisturbance,
    UpstreamCut,
    UpstreamDisturbance,
)
from .upstreams import NORMAL_PERCENT, SLOW_PERCENT, Upstream
from .upstreams import TOPIC as UPSTREAM_TOPIC

SERVICES = ('s1', 's2')
UPSTREAMS_PER_SERVICE = 3
CALLER_COUNT = 8
#: Quotas and limits of cold upstreams are reached with more load only.
CALLER_COUNT_WITH_LIMITS = 16
RESTART_SECONDS = 0.2
DRAIN_SECONDS = 2.0
STORE_DELAY_SECONDS = 0.3
PUBLISH_INTERVAL_SECONDS = 0.15
#: Longer pauses of the soak's own event loop are recorded.
MIN_OBSERVER_DELAY_SECONDS = 0.1
LOOP_CHECK_SECONDS = 0.02
#: Operator and upstreams write again this long after a restore of the store.
REWRITE_SECONDS = 0.3


class Testbed:
    """Runs store, upstreams and callers here, and instances as processes."""

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
        self.random = Random(seed)
        self.instances: list[Instance] = []
        #: Sources of connections that upstreams refuse, by overlapping cuts.
        self.refused: Counter[str] = Counter()
        self.upstreams: list[Upstream] = []
        self.callers: list[Caller] = []
        self.tasks: list[asyncio.Task[None]] = []
        #: Leaves one failure domain in service.
        self.evacuation_lock = asyncio.Lock()
        #: The end of a cut would also end another one of the same link.
        self.home_link_lock = asyncio.Lock()
        #: The end of a loss would also end another one.
        self.home_loss_lock = asyncio.Lock()
        self.logs: dict[str, InstanceLog] = {}

    def now(self) -> float:
        """Return the seconds since the start of the run."""
        return time.monotonic() - self.started_at

    async def start(self) -> None:
        """Start the stand-ins and the instances, without awaiting readiness."""
        await self.store.start()
        self.operator.publish()
        for number in range(UPSTREAMS_PER_SERVICE * len(SERVICES)):
            service = SERVICES[number % len(SERVICES)]
            upstream = Upstream(
                number,
                service,
                self.store,
                self.run_record,
                self.now,
                self.refused,
                self.features,
                self._failure_domain(number // len(SERVICES)),
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

    async def _start_links(self) -> None:
        for instance in self.instances:
            for other in self.instances:
                if other is not instance:
                    target = other.addresses['internal']
                    instance.links[target] = await Link(target).start()

    def _failure_domain(self, number: int) -> str:
        domains = FAILURE_DOMAINS if self.features.domains else ('a',)
        return domains[number % len(domains)]

    def new_caller(self, name: str, failure_domain: str = '') -> Caller:
        return Caller(
            name,
            [instance.addresses['directory'] for instance in self.instances],
            {
                instance.addresses['callers']: instance.number
                for instance in self.instances
            },
            self.operator,
            self.run_record,
            self.now,
            Random(self.random.random()),
            failure_domain,
        )

    def start_load(self) -> None:
        for upstream in self.upstreams:
            upstream.has_traffic = True
        self.tasks = [
            asyncio.create_task(caller.run()) for caller in self.callers
        ]
        self.tasks.append(asyncio.create_task(self._record_delays()))
        self.tasks.extend(
            asyncio.create_task(instance.watch_exits())
            for instance in self.instances
        )

    async def _record_delays(self) -> None:
        """Record when this process, and so the callers, did not run."""
        while True:
            start = self.now()
            await asyncio.sleep(LOOP_CHECK_SECONDS)
            if self.now() - start > MIN_OBSERVER_DELAY_SECONDS:
                self.run_record.observer_delays.append(
                    ObserverDelay(start, self.now())
                )

    async def stop_load(self) -> None:
        """Stop all callers and close their connections."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        for caller in self.callers:
            caller.close()

    async def stop(self) -> None:
        unfinished = self.processes.stop_all()
        self.run_record.violations.extend(
            f'{name}: did not end' for name in unfinished
        )
        for instance in self.instances:
            for link in (instance.link, *instance.links.values()):
                await link.stop()
        for upstream in self.upstreams:
            await upstream.stop()
        await self.store.stop()

    async def apply(self, fault: Fault) -> None:
        """Inject a fault and remove it after its duration."""
        match fault:
            case Kill(instances=numbers, down_seconds=down_seconds):
                await asyncio.gather(
                    *(
                        self.instances[number].kill(down_seconds)
                        for number in numbers
                    )
                )
            case Terminate(instance=number):
                await self.instances[number].terminate()
            case Pause(instance=number, seconds=seconds):
                await self.instances[number].pause(seconds)
            case Reload(instance=number, times=times):
                await self.instances[number].reload(times)
            case DegradeStore(mode=mode, seconds=seconds):
                await self._degrade_store(mode, seconds)
            case RestoreStore(copy_age=copy_age, seconds=seconds):
                await self._restore_store(copy_age, seconds)
            case DisruptStoreLinks(
                instances=numbers, link_fault=link_fault, seconds=seconds
            ):
                await self._disrupt_store_links(numbers, link_fault, seconds)
            case CutOffInstances(
                instances=numbers, keeps_open=keeps_open, seconds=seconds
            ):
                await asyncio.gather(
                    *(
                        self._cut_off(number, keeps_open, seconds)
                        for number in numbers
                    )
                )
            case Publish(count=count):
                for _ in range(count):
                    self.operator.publish()
                    await asyncio.sleep(PUBLISH_INTERVAL_SECONDS)
            case ChangeQuota(rate=rate, burst=burst):
                self.operator.change_quota(Quota(rate, burst))
            case CutHomeLink(link_fault=link_fault, seconds=seconds):
                async with self.home_link_lock:
                    await self._cut_home_link(link_fault, seconds)
            case LoseHome():
                async with self.home_loss_lock:
                    await lose_home(self, fault)
            case Depart(instances=numbers):
                async with self.home_loss_lock:
                    await depart(self, numbers)
            case Evacuate(failure_domain=domain, seconds=seconds):
                async with self.evacuation_lock:
                    evacuation = self.operator.evacuate(domain)
                    await asyncio.sleep(seconds)
                    self.operator.end_evacuation(evacuation)
            case _:
                await self._disturb_upstream(fault)

    def running(self) -> list[Instance]:
        """Return the instances that have not left for good."""
        return [one for one in self.instances if not one.has_departed]

    def home(self) -> Instance:
        """Return the instance that has become home last."""
        taken_over_at = {
            self.log_of(instance).leading_since(): instance
            for instance in self.running()
        }
        return taken_over_at[max(taken_over_at)]

    def log_of(self, instance: Instance) -> InstanceLog:
        """Return what an instance has logged so far."""
        log = self.logs.get(instance.name)
        if log is None:
            log = InstanceLog(self.processes.log_path(instance.name))
            self.logs[instance.name] = log
        log.read()
        return log

    def _record_store_disturbance(
        self, start: float, *, is_restore: bool = False
    ) -> None:
        self.run_record.store_disturbances.append(
            StoreDisturbance(start, self.now(), is_restore)
        )

    async def _degrade_store(self, mode: StoreFault, seconds: float) -> None:
        store = self.store
        start = self.now()
        match mode:
            case 'refuse':
                store.is_unavailable = True
            case 'slow':
                store.delay = STORE_DELAY_SECONDS
            case 'lose_answers':
                store.drop_append_responses = True
            case 'forget':
                for topic, _ in tuple(store.partitions):
                    store.expire_records(topic)
        await asyncio.sleep(seconds)
        store.is_unavailable = store.drop_append_responses = False
        store.delay = 0.0
        self._record_store_disturbance(start)

    async def _restore_store(self, copy_age: float, seconds: float) -> None:
        """Lose the latest writes; operator and upstreams write theirs again."""
        start = self.now()
        copy = self.store.copy()
        await asyncio.sleep(copy_age)
        self.store.is_unavailable = True
        await asyncio.sleep(seconds)
        self.store.restore(copy)
        self.store.is_unavailable = False
        await asyncio.sleep(REWRITE_SECONDS)
        self.operator.write_again()
        self._record_store_disturbance(start, is_restore=True)
        current_keys = set()
        for upstream in self.upstreams:
            upstream.register_again()
            current_keys.add(upstream.server.key)
        # The platform removes the entries of servers that have ended.
        for key in self.store.keys(UPSTREAM_TOPIC) - current_keys:
            self.store.put(UPSTREAM_TOPIC, key, b'')

    async def _disrupt_store_links(
        self, numbers: tuple[int, ...], link_fault: LinkFault, seconds: float
    ) -> None:
        start = self.now()
        for number in numbers:
            self.instances[number].link.apply(link_fault)
        await asyncio.sleep(seconds)
        for number in numbers:
            self.instances[number].link.apply(LinkFault.NONE)
        self._record_store_disturbance(start)

    async def _cut_home_link(
        self, link_fault: LinkFault, seconds: float
    ) -> None:
        """Cut the link between two domain homes.

        The cut is between any two instances if there is only one domain home.
        It is not recorded as a disturbance, so all invariants apply: other
        instances still reach both.
        """
        homes = await find_domain_homes(self.instances)
        if len(homes) < 2:
            homes = self.random.sample(self.instances, 2)
        one, other = homes[:2]
        links = (
            one.links[other.addresses['internal']],
            other.links[one.addresses['internal']],
        )
        for link in links:
            link.apply(link_fault)
        await asyncio.sleep(seconds)
        for link in links:
            link.apply(LinkFault.NONE)

    async def _cut_off(
        self, number: int, keeps_open: bool, seconds: float
    ) -> None:
        start = self.now()
        source = self.instances[number].source
        self.refused[source] += 1
        if not keeps_open:
            for upstream in self.upstreams:
                upstream.link.abort_from(source)
        await asyncio.sleep(seconds)
        self.refused -= Counter((source,))
        self.run_record.upstream_cuts.append(
            UpstreamCut(number, start, self.now())
        )

    async def _disturb_upstream(self, fault: Fault) -> None:
        start = self.now()
        match fault:
            case DisruptUpstreamLink(
                upstream=number, link_fault=link_fault, seconds=seconds
            ):
                upstream = self.upstreams[number]
                upstream.link.apply(link_fault)
                await asyncio.sleep(seconds)
                upstream.link.apply(LinkFault.NONE)
            case CrashUpstream(upstream=number, down_seconds=down_seconds):
                await self.upstreams[number].crash(down_seconds)
            case StateTerms(
                upstream=number, terms=terms, figure=figure, seconds=seconds
            ):
                await self.upstreams[number].state_terms(terms, figure, seconds)
                return
            case ChillUpstream(upstream=number, mode='become'):
                self.upstreams[number].become_cold()
                return
            case ChillUpstream(upstream=number, mode=mode):
                step = len(SERVICES) if mode == 'restart_service' else None
                await asyncio.gather(
                    *(
                        upstream.crash(RESTART_SECONDS)
                        for upstream in (
                            self.upstreams[number % step :: step]
                            if step
                            else self.upstreams[number : number + 1]
                        )
                    )
                )
            case ReplaceUpstream(upstream=number):
                await self.upstreams[number].replace(DRAIN_SECONDS)
            case CorruptResponses(upstream=number, mode=mode, seconds=seconds):
                server = self.upstreams[number].server
                server.response_fault = mode
                await asyncio.sleep(seconds)
                server.response_fault = None
            case SlowUpstream(upstream=number, seconds=seconds):
                upstream = self.upstreams[number]
                upstream.set_slowdown(SLOW_PERCENT)
                await asyncio.sleep(seconds)
                upstream.set_slowdown(NORMAL_PERCENT)
        self.run_record.upstream_disturbances.append(
            UpstreamDisturbance(start, self.now())
        )
