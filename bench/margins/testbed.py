"""Real instances in unequal failure domains, with links to the store."""

import asyncio
import itertools
from collections.abc import Collection, Sequence
from pathlib import Path

from soak.instance_log import LogEvent
from soak.instances import SHUTDOWN_TIMEOUT_SECONDS, Instance
from soak.link import LinkFault
from soak.plan import Features
from soak.testbed import Testbed

#: Shares of the three failure domains, as in the users' deployments.
DOMAIN_SHARES = (5, 6, 3)
READY_TIMEOUT_SECONDS = 60.0
HEARTBEAT_SECONDS = 1.5
_POLL_SECONDS = 0.1


def split_into_domains(instance_count: int) -> tuple[str, ...]:
    """Return the failure domain of each instance.

    >>> split_into_domains(14).count('d1')
    6
    """
    total = sum(DOMAIN_SHARES)
    ends = [
        round(instance_count * end / total)
        for end in itertools.accumulate(DOMAIN_SHARES)
    ]
    sizes = [end - start for start, end in itertools.pairwise((0, *ends))]
    return tuple(
        f'd{number}' for number, size in enumerate(sizes) for _ in range(size)
    )


class MarginTestbed(Testbed):
    """Instances in failure domains of different sizes; no callers.

    Each failure domain has upstreams for a home of its own, also without one of
    them.
    """

    upstreams_per_service = 2 * len(DOMAIN_SHARES)

    def __init__(
        self,
        folder: Path,
        instance_count: int,
        seed: int,
        shutdown_seconds: float = SHUTDOWN_TIMEOUT_SECONDS,
    ) -> None:
        self.domains = split_into_domains(instance_count)
        super().__init__(
            folder, instance_count, seed, Features(domains=True, homes=True)
        )
        self.shutdown_seconds = shutdown_seconds

    async def start(self) -> None:
        await super().start()
        await self.wait_ready()
        self.tasks.append(asyncio.create_task(self._report()))

    async def wait_ready(self) -> None:
        """Return once all instances are ready."""
        async with asyncio.timeout(READY_TIMEOUT_SECONDS):
            for instance in self.instances:
                while not await instance.is_ready():
                    await asyncio.sleep(_POLL_SECONDS)

    async def stop(self) -> None:
        await self.stop_load()
        await super().stop()

    def instances_of(self, domains: Collection[str]) -> list[Instance]:
        return [one for one in self.instances if one.failure_domain in domains]

    def events(self, name: str) -> Sequence[LogEvent]:
        """Return the events that an instance has logged so far."""
        (instance,) = [one for one in self.instances if one.name == name]
        return self.log_of(instance).events

    def set_store_links(
        self, instances: Collection[Instance], fault: LinkFault
    ) -> None:
        for instance in instances:
            instance.link.apply(fault)

    async def _report(self) -> None:
        """Write the upstreams' entries at their usual interval."""
        while True:
            for upstream in self.upstreams:
                await asyncio.sleep(HEARTBEAT_SECONDS / len(self.upstreams))
                upstream.register_again()

    def _failure_domain(self, number: int) -> str:
        return self.domains[number % len(self.domains)]

    def _upstream_domain(self, number: int) -> str:
        domains = sorted(set(self.domains))
        return domains[number % len(domains)]
