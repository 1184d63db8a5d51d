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
    """The generations that proxies and locators applied, with their times.

    Proxies log each generation that they apply; locators name theirs in each
    locate response, which is polled. Times are of the wall clock.
    """

    def __init__(self, system):
        self.system = system
        self.located = {one.locator: [] for one in system.layout.instances}

    @asynccontextmanager
    async def running(self):
        async with asyncio.TaskGroup() as group:
            polls = [group.create_task(self.poll(one)) for one in self.located]
            yield self
            for poll in polls:
                poll.cancel()

    async def poll(self, address):
        url = f'http://{address}/v1/locate?service={SERVICE}&caller=watch'
        while True:
            generation = (await get_json(url))['generation']
            self.located[address].append((generation, time.time()))
            await asyncio.sleep(0.05)

    def seen(self):
        """Return the sequence of each program."""
        return [*self.located.values()] + [
            [
                (line['generation'], line['timestamp'])
                for line in self.system.log_lines(
                    one, 'crocus-proxy', 'configuration_applied'
                )
            ]
            for one in self.system.layout.instances
        ]

    async def in_force(self, generation):
        await until(
            lambda: all(one and one[-1][0] >= generation for one in self.seen())
        )

    def check(self, times):
        """Check that all was in force in time and that nothing reverted."""
        for sequence in self.seen():
            generations = [generation for generation, _ in sequence]
            assert generations == sorted(generations)
            for generation, since in times.items():
                at = next(at for one, at in sequence if one >= generation)
                assert at - since < BOUND_SECONDS, (generation, sequence)


async def publish(system, number):
    """Publish a change and return once crocusctl says that it is accepted."""
    document = configuration(system.layout)
    document['services'][SERVICE]['queue'] = 300 + number
    await system.publish(document)


async def accepted(system):
    """Return the time of each accepted generation's record in the stream."""
    page = await system.platform('GET', 'v1/streams/config/records?from=0')
    # No change of these tests is rejected.
    return {
        one['data']['base'] + 1: datetime.fromisoformat(one['time']).timestamp()
        for one in page['records']
        if one['data']['type'] == 'change'
    }


def test_changes_reach_instances_without_a_working_daemon(run_system):
    """The programs there turn to the daemons of other instances in time."""

    async def scenario(system):
        first, second, _ = system.layout.instances
        async with Watch(system).running() as watch:
            start = system.kill(first, 'crocus-config')
            await publish(system, 1)
            await watch.in_force(2)
            start()
            await system.wait_ready()
            frozen = system.process(second, 'crocus-config')
            frozen.send_signal(signal.SIGSTOP)
            await publish(system, 2)
            await watch.in_force(3)
            frozen.send_signal(signal.SIGCONT)
            await publish(system, 3)
            await watch.in_force(4)
            watch.check(await accepted(system))

    run_system(scenario, upstreams=1)


def test_nothing_reverts_over_outages_and_expired_records(run_system):
    """A daemon that starts without the old records takes a peer's state."""

    async def scenario(system):
        first, second, third = system.layout.instances

        async def snapshot_written():
            status = await get_json(f'http://{first.config}/v1/status')
            return status['snapshot_generation'] == 3

        async with Watch(system).running() as watch:
            for number in (1, 2):
                await publish(system, number)
            await watch.in_force(3)
            times = await accepted(system)
            await system.faults(outage=True, keep=0)
            system.kill(second, 'crocus-config')()
            await system.wait_ready()
            await system.faults(outage=False, keep=1000)
            system.kill(third, 'crocus-config')()
            await system.wait_ready()
            await until(snapshot_written)
            await publish(system, 3)
            await watch.in_force(4)
            watch.check(times | await accepted(system))
            for one in system.layout.instances:
                status = await get_json(f'http://{one.config}/v1/status')
                assert status['generation'] == 4

    run_system(scenario, upstreams=1)
