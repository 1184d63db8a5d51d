"""Guards against configuration that is applied late or reverts."""

import asyncio
import signal
import time
from contextlib import asynccontextmanager
from datetime import datetime

from standins.demo import get_json
from standins.demo_settings import SERVICE, configuration
from tests.system.harness import wait_until

MAX_DELAY_SECONDS = 3


class GenerationWatch:
    """Records when proxies and locators applied which generations.

    Proxies log each generation that they apply; locators return theirs in
    each locate response, which is polled. Times are wall-clock times.
    """

    def __init__(self, system):
        self.system = system
        self.generations = {one.locator: [] for one in system.layout.instances}

    @asynccontextmanager
    async def polling(self):
        async with asyncio.TaskGroup() as group:
            polls = [
                group.create_task(self.poll(one)) for one in self.generations
            ]
            yield self
            for poll in polls:
                poll.cancel()

    async def poll(self, address):
        url = f'http://{address}/v1/locate?service={SERVICE}&caller=watch'
        while True:
            generation = (await get_json(url))['generation']
            self.generations[address].append((generation, time.time()))
            await asyncio.sleep(0.05)

    def sequences(self):
        """Return the sequence of generations and times of each program."""
        return [*self.generations.values()] + [
            [
                (line['generation'], line['timestamp'])
                for line in self.system.log_lines(
                    one, 'crocus-proxy', 'configuration_applied'
                )
            ]
            for one in self.system.layout.instances
        ]

    async def wait_for_generation(self, generation):
        await wait_until(
            lambda: all(
                one and one[-1][0] >= generation for one in self.sequences()
            )
        )

    def check(self, times):
        """Check that no program applied a generation late or reverted."""
        for sequence in self.sequences():
            generations = [generation for generation, _ in sequence]
            assert generations == sorted(generations)
            for generation, since in times.items():
                at = next(at for one, at in sequence if one >= generation)
                assert at - since < MAX_DELAY_SECONDS, (generation, sequence)


async def publish(system, number):
    """Publish a change and wait until crocusctl reports its acceptance."""
    document = configuration(system.layout)
    document['services'][SERVICE]['queue'] = 300 + number
    await system.publish(document)


async def acceptance_times(system):
    """Return the time of the stream record of each accepted generation."""
    page = await system.platform('GET', 'v1/streams/config/records?from=0')
    # No change of these tests is rejected.
    return {
        one['data']['base'] + 1: datetime.fromisoformat(one['time']).timestamp()
        for one in page['records']
        if one['data']['type'] == 'change'
    }


def test_changes_reach_instances_whose_daemon_has_failed(run_system):
    """Their programs switch to daemons of other instances in time."""

    async def scenario(system):
        first, second, _ = system.layout.instances
        async with GenerationWatch(system).polling() as watch:
            start = system.kill(first, 'crocus-config')
            await publish(system, 1)
            await watch.wait_for_generation(2)
            start()
            await system.wait_ready()
            frozen = system.process(second, 'crocus-config')
            frozen.send_signal(signal.SIGSTOP)
            await publish(system, 2)
            await watch.wait_for_generation(3)
            frozen.send_signal(signal.SIGCONT)
            await publish(system, 3)
            await watch.wait_for_generation(4)
            watch.check(await acceptance_times(system))

    run_system(scenario, upstreams=1)


def test_configuration_does_not_revert_after_an_outage_and_record_expiry(
    run_system,
):
    """A daemon that starts without the old records loads a peer's state."""

    async def scenario(system):
        first, second, third = system.layout.instances

        async def snapshot_written():
            status = await get_json(f'http://{first.config}/v1/status')
            return status['snapshot_generation'] == 3

        async with GenerationWatch(system).polling() as watch:
            for number in (1, 2):
                await publish(system, number)
            await watch.wait_for_generation(3)
            times = await acceptance_times(system)
            await system.faults(outage=True, keep=0)
            system.kill(second, 'crocus-config')()
            await system.wait_ready()
            await system.faults(outage=False, keep=1000)
            system.kill(third, 'crocus-config')()
            await system.wait_ready()
            await wait_until(snapshot_written)
            await publish(system, 3)
            await watch.wait_for_generation(4)
            watch.check(times | await acceptance_times(system))
            for one in system.layout.instances:
                status = await get_json(f'http://{one.config}/v1/status')
                assert status['generation'] == 4

    run_system(scenario, upstreams=1)
