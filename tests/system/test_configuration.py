"""Guards against configuration that comes late, or reverts."""

import asyncio
import signal
import time
from contextlib import asynccontextmanager
from datetime import datetime

from standins.demo import get_json
from standins.demo_settings import SERVICE, configuration
from tests.system.harness import until

BOUND_SECONDS = 3


class Watch:
    """What every proxy and locator has applied, with the wall-clock time.

    Proxies log each generation that they apply; locators name theirs in each
    locate response, which is polled.
    """

    def __init__(self, system):
        self.system = system
        self.located = {one.name: [] for one in system.layout.instances}

    @asynccontextmanager
    async def running(self):
        polls = [
            asyncio.create_task(self.poll(one))
            for one in self.system.layout.instances
        ]
        try:
            yield self
        finally:
            for one in polls:
                one.cancel()
            await asyncio.wait(polls)

    async def poll(self, one):
        url = f'http://{one.locator}/v1/locate?service={SERVICE}&caller=watch'
        while True:
            located = await get_json(url)
            self.located[one.name].append((located['generation'], time.time()))
            await asyncio.sleep(0.05)

    def seen(self):
        """Return the sequence of each program, by its name."""
        seen = {f'{name}-locator': self.located[name] for name in self.located}
        for one in self.system.layout.instances:
            lines = self.system.log_lines(
                one, 'crocus-proxy', 'configuration_applied'
            )
            seen[f'{one.name}-proxy'] = [
                (line['generation'], line['timestamp']) for line in lines
            ]
        return seen

    def in_force(self, generation):
        return all(
            sequence and sequence[-1][0] >= generation
            for sequence in self.seen().values()
        )


async def publish(system, number):
    """Publish a change and return once crocusctl says that it is accepted."""
    document = configuration(system.layout)
    document['services'][SERVICE]['queue'] = 300 + number
    await system.publish(document)


async def accepted(system):
    """Return the wall-clock time of each accepted generation's record."""
    page = await system.request('GET', 'v1/streams/config/records?from=0')
    changes = [
        one for one in page['records'] if one['data']['type'] == 'change'
    ]
    # No change of these tests is rejected.
    return {
        one['data']['base'] + 1: datetime.fromisoformat(one['time']).timestamp()
        for one in changes
    }


async def snapshot_of(system, generation):
    """Tell whether a daemon has read a complete snapshot."""
    one = system.layout.instances[0]
    status = await get_json(f'http://{one.config}/v1/status')
    return status['snapshot_generation'] == generation


def check(watch, times):
    """Check that all was in force in time and that nothing reverted."""
    for name, sequence in watch.seen().items():
        generations = [generation for generation, _ in sequence]
        assert generations == sorted(generations), name
        for generation, since in times.items():
            reached = next(at for seen, at in sequence if seen >= generation)
            assert reached - since < BOUND_SECONDS, (name, generation)


def test_changes_reach_instances_without_a_working_daemon(run_system):
    """The programs there turn to the daemons of other instances in time."""

    async def scenario(system):
        first, second, _ = system.layout.instances
        async with Watch(system).running() as watch:
            system.processes.kill(f'{first.name}-crocus-config')
            await publish(system, 1)
            await until(lambda: watch.in_force(2))
            system.restart(first, 'crocus-config')
            await system.wait_ready()
            frozen = system.process(second, 'crocus-config')
            frozen.send_signal(signal.SIGSTOP)
            await publish(system, 2)
            await until(lambda: watch.in_force(3))
            frozen.send_signal(signal.SIGCONT)
            await publish(system, 3)
            await until(lambda: watch.in_force(4))
            check(watch, await accepted(system))

    run_system(scenario, upstreams=1)


def test_nothing_reverts_over_outages_and_expired_records(run_system):
    """A daemon that starts without the old records takes a peer's state."""

    async def scenario(system):
        first, second, third = system.layout.instances
        async with Watch(system).running() as watch:
            for number in range(4):
                await publish(system, number)
            await until(lambda: watch.in_force(5))
            times = await accepted(system)
            await system.faults(outage=True, keep=0)
            system.processes.kill(f'{second.name}-crocus-config')
            system.restart(second, 'crocus-config')
            await system.wait_ready()
            await system.faults(outage=False, keep=1000)
            system.processes.kill(f'{third.name}-crocus-config')
            system.restart(third, 'crocus-config')
            await system.wait_ready()
            await until(lambda: snapshot_of(system, 5))
            await publish(system, 4)
            await until(lambda: watch.in_force(6))
            check(watch, times | await accepted(system))
            for one in system.layout.instances:
                status = await get_json(f'http://{one.config}/v1/status')
                assert status['generation'] == 6

    run_system(scenario, upstreams=1)
