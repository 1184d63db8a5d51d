"""Injection of the faults of a run into its processes and stand-ins."""

import asyncio
from collections import Counter

from .brief_pauses import pause_briefly
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
    PauseBriefly,
    Publish,
    Reload,
    ReplaceUpstream,
    RestoreStore,
    SetIdleTimeout,
    SlowUpstream,
    StateTerms,
    StoreFault,
    Terminate,
    TerminateTwice,
)
from .home_losses import depart, lose_home
from .instances import find_domain_homes
from .link import LinkFault
from .records import (
    Quota,
    StoreDisturbance,
    UpstreamCut,
    UpstreamDisturbance,
)
from .testbed import SERVICES, Testbed
from .upstreams import NORMAL_PERCENT, SLOW_PERCENT
from .upstreams import TOPIC as UPSTREAM_TOPIC

RESTART_SECONDS = 0.2
DRAIN_SECONDS = 2.0
STORE_DELAY_SECONDS = 0.3
PUBLISH_INTERVAL_SECONDS = 0.15
#: Operator and upstreams write again this long after a restore of the store.
REWRITE_SECONDS = 0.3


class FaultInjector:
    """Injects faults into ``testbed``, and removes them after their time."""

    def __init__(self, testbed: Testbed) -> None:
        self.testbed = testbed
        #: Leaves one failure domain in service.
        self.evacuation_lock = asyncio.Lock()
        #: The end of a cut would also end another one of the same link.
        self.home_link_lock = asyncio.Lock()
        #: The end of a loss would also end another one.
        self.home_loss_lock = asyncio.Lock()

    async def apply(self, fault: Fault) -> None:
        """Inject a fault and remove it after its duration."""
        match fault:
            case Kill(instances=numbers, down_seconds=down_seconds):
                await asyncio.gather(
                    *(
                        self.testbed.instances[number].kill(down_seconds)
                        for number in numbers
                    )
                )
            case Terminate(instance=number):
                await self.testbed.instances[number].terminate()
            case TerminateTwice(instances=numbers, seconds=seconds):
                await asyncio.gather(
                    *(
                        self.testbed.instances[number].terminate(seconds)
                        for number in numbers
                    )
                )
            case SetIdleTimeout(seconds=seconds):
                self.testbed.operator.set_idle_timeout(seconds)
            case Pause(instance=number, seconds=seconds):
                await self.testbed.instances[number].pause(seconds)
            case PauseBriefly():
                await pause_briefly(self.testbed, fault)
            case Reload(instance=number, times=times):
                await self.testbed.instances[number].reload(times)
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
                    self.testbed.operator.publish()
                    await asyncio.sleep(PUBLISH_INTERVAL_SECONDS)
            case ChangeQuota(rate=rate, burst=burst):
                self.testbed.operator.change_quota(Quota(rate, burst))
            case CutHomeLink(link_fault=link_fault, seconds=seconds):
                async with self.home_link_lock:
                    await self._cut_home_link(link_fault, seconds)
            case LoseHome():
                async with self.home_loss_lock:
                    await lose_home(self.testbed, fault)
            case Depart(instances=numbers):
                async with self.home_loss_lock:
                    await depart(self.testbed, numbers)
            case Evacuate(failure_domain=domain, seconds=seconds):
                async with self.evacuation_lock:
                    evacuation = self.testbed.operator.evacuate(domain)
                    await asyncio.sleep(seconds)
                    self.testbed.operator.end_evacuation(evacuation)
            case _:
                await self._disturb_upstream(fault)

    def _record_store_disturbance(
        self, start: float, *, is_restore: bool = False
    ) -> None:
        self.testbed.run_record.store_disturbances.append(
            StoreDisturbance(start, self.testbed.now(), is_restore)
        )

    async def _degrade_store(self, mode: StoreFault, seconds: float) -> None:
        store = self.testbed.store
        start = self.testbed.now()
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
        start = self.testbed.now()
        copy = self.testbed.store.copy()
        await asyncio.sleep(copy_age)
        self.testbed.store.is_unavailable = True
        await asyncio.sleep(seconds)
        self.testbed.store.restore(copy)
        self.testbed.store.is_unavailable = False
        await asyncio.sleep(REWRITE_SECONDS)
        self.testbed.operator.write_again()
        self._record_store_disturbance(start, is_restore=True)
        current_keys = set()
        for upstream in self.testbed.upstreams:
            upstream.register_again()
            current_keys.add(upstream.server.key)
        # The platform removes the entries of servers that have ended.
        for key in self.testbed.store.keys(UPSTREAM_TOPIC) - current_keys:
            self.testbed.store.put(UPSTREAM_TOPIC, key, b'')

    async def _disrupt_store_links(
        self, numbers: tuple[int, ...], link_fault: LinkFault, seconds: float
    ) -> None:
        start = self.testbed.now()
        for number in numbers:
            self.testbed.instances[number].link.apply(link_fault)
        await asyncio.sleep(seconds)
        for number in numbers:
            self.testbed.instances[number].link.apply(LinkFault.NONE)
        self._record_store_disturbance(start)

    async def _cut_home_link(
        self, link_fault: LinkFault, seconds: float
    ) -> None:
        """Cut the link between two domain homes.

        The cut is between any two instances if there is only one domain home.
        It is not recorded as a disturbance, so all invariants apply: other
        instances still reach both.
        """
        homes = await find_domain_homes(self.testbed.instances)
        if len(homes) < 2:
            homes = self.testbed.random.sample(self.testbed.instances, 2)
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
        start = self.testbed.now()
        source = self.testbed.instances[number].source
        self.testbed.refused[source] += 1
        if not keeps_open:
            for upstream in self.testbed.upstreams:
                upstream.link.abort_from(source)
        await asyncio.sleep(seconds)
        self.testbed.refused -= Counter((source,))
        self.testbed.run_record.upstream_cuts.append(
            UpstreamCut(number, start, self.testbed.now())
        )

    async def _disturb_upstream(self, fault: Fault) -> None:
        start = self.testbed.now()
        match fault:
            case DisruptUpstreamLink(
                upstream=number, link_fault=link_fault, seconds=seconds
            ):
                upstream = self.testbed.upstreams[number]
                upstream.link.apply(link_fault)
                await asyncio.sleep(seconds)
                upstream.link.apply(LinkFault.NONE)
            case CrashUpstream(upstream=number, down_seconds=down_seconds):
                await self.testbed.upstreams[number].crash(down_seconds)
            case StateTerms(
                upstream=number, terms=terms, figure=figure, seconds=seconds
            ):
                await self.testbed.upstreams[number].state_terms(
                    terms, figure, seconds
                )
                return
            case ChillUpstream(upstream=number, mode='become'):
                self.testbed.upstreams[number].become_cold()
                return
            case ChillUpstream(upstream=number, mode=mode):
                step = len(SERVICES) if mode == 'restart_service' else None
                await asyncio.gather(
                    *(
                        upstream.crash(RESTART_SECONDS)
                        for upstream in (
                            self.testbed.upstreams[number % step :: step]
                            if step
                            else self.testbed.upstreams[number : number + 1]
                        )
                    )
                )
            case ReplaceUpstream(upstream=number):
                await self.testbed.upstreams[number].replace(DRAIN_SECONDS)
            case CorruptResponses(upstream=number, mode=mode, seconds=seconds):
                server = self.testbed.upstreams[number].server
                server.response_fault = mode
                await asyncio.sleep(seconds)
                server.response_fault = None
            case SlowUpstream(upstream=number, seconds=seconds):
                upstream = self.testbed.upstreams[number]
                upstream.set_slowdown(SLOW_PERCENT)
                await asyncio.sleep(seconds)
                upstream.set_slowdown(NORMAL_PERCENT)
        self.testbed.run_record.upstream_disturbances.append(
            UpstreamDisturbance(start, self.testbed.now())
        )
