"""Resource usage of the daemons without calls, for docs/CAPACITY.md.

Starts real processes, publishes changes at several rates, runs several numbers
of instances, and measures the processor time of each process and the bytes that
it read and wrote. Run ``python -m bench.capacity_control``; it takes about
two minutes and at most 40 processes.
"""

import asyncio
import math
import tempfile
import time
from dataclasses import dataclass, replace
from datetime import timedelta
from pathlib import Path

import fire
from aiohttp import ClientSession

from crocusproxy.clock import SystemClock
from crocusproxy.config.change import Put
from crocusproxy.config.model import Upstream
from crocusproxy.config.publisher import Publisher
from crocusproxy.platform_client import PlatformClient
from standins.demo import Demo
from standins.demo_settings import SERVICE, new_layout
from standins.processes import Processes

from .fitting import Slope, measure, print_table, write_json

PROGRAMS = ('crocus-config', 'crocus-proxy', 'crocus-locator')
_CHANGES_PER_SECOND = (0, 1, 2, 4)
_INSTANCES = (3, 5, 7, 9)
_MEASUREMENT_SECONDS = 8
_SETTLE_SECONDS = 3
_CLOCK_TICK_SECONDS = 0.01


@dataclass(frozen=True)
class ResourceUsage:
    """Resource usage of one process; bytes are those read and written."""

    core_percent: float
    bytes_per_second: float


class System(Demo):
    """A system without callers."""

    def __init__(self, processes: Processes, instances: int) -> None:
        super().__init__(processes, seconds=math.inf)
        self.layout = new_layout(instances, upstreams=2)

    def print_status(self, text: str) -> None:
        """Print nothing; the benchmark prints its own tables."""

    def settings_of(self, instance) -> dict[str, dict]:
        documents = super().settings_of(instance)
        documents.pop('crocus-console')
        return documents

    async def measure_usage(
        self, changes_per_second: float
    ) -> dict[str, ResourceUsage]:
        """Return the usage of the busiest process of each program."""
        await asyncio.sleep(_SETTLE_SECONDS)
        before = self._read_usage()
        start = time.monotonic()
        await self._publish_changes(changes_per_second)
        seconds = time.monotonic() - start
        after = self._read_usage()
        usage_by_process = {
            name: ResourceUsage(
                (after[name][0] - ticks) * _CLOCK_TICK_SECONDS / seconds * 100,
                (after[name][1] - transferred) / seconds,
            )
            for name, (ticks, transferred) in before.items()
        }
        return {
            program: max(
                (
                    usage
                    for name, usage in usage_by_process.items()
                    if program in name
                ),
                key=lambda usage: usage.core_percent,
            )
            for program in PROGRAMS
        }

    async def _publish_changes(self, per_second: float) -> None:
        count = int(_MEASUREMENT_SECONDS * per_second)
        async with ClientSession() as session:
            client = PlatformClient(session, self.layout.platform)
            publisher = Publisher(client, SystemClock(), timedelta(seconds=10))
            for number in range(count):
                await asyncio.sleep(1 / per_second)
                document = await publisher.current_document()
                key = f'{SERVICE}/u1'
                old: Upstream = document.upstreams[key]
                edit = Put('upstream', key, replace(old, slots=2 + number % 2))
                change = publisher.new_change(
                    (edit,), document.generation, 'bench'
                )
                await publisher.submit(change)
            if not count:
                await asyncio.sleep(_MEASUREMENT_SECONDS)

    def _read_usage(self) -> dict[str, tuple[int, int]]:
        return {
            name: _read_process_usage(process.pid)
            for name, process in self.processes.running.items()
            if any(program in name for program in PROGRAMS)
        }


def _read_process_usage(pid: int) -> tuple[int, int]:
    """Return clock ticks of processor time, and bytes read and written."""
    stat = Path(f'/proc/{pid}/stat').read_text().rpartition(')')[2].split()
    io = dict(
        line.split(': ')
        for line in Path(f'/proc/{pid}/io').read_text().splitlines()
    )
    ticks = int(stat[11]) + int(stat[12])
    return ticks, int(io['rchar']) + int(io['wchar'])


async def _run(instances: int, rates: tuple[float, ...]) -> list[dict]:
    with tempfile.TemporaryDirectory() as folder:
        with Processes(Path(folder)) as processes:
            system = System(processes, instances)
            await system.bring_up()
            return [await system.measure_usage(rate) for rate in rates]


def _slopes(
    size: str, usage_by_size: dict[int, dict[str, ResourceUsage]]
) -> list[Slope]:
    return [
        measure(
            f'{program}, {label}',
            size,
            unit,
            usage_by_size,
            lambda number: getattr(usage_by_size[number][program], attribute),
        )
        for program in PROGRAMS
        for label, unit, attribute in (
            ('processor time', '% of a core', 'core_percent'),
            ('bytes read and written', 'B/s', 'bytes_per_second'),
        )
    ]


def main(json_file: str = '') -> None:
    """Print both tables; write the slopes to ``json_file`` if it is given."""
    usages = asyncio.run(_run(_INSTANCES[0], _CHANGES_PER_SECOND))
    by_rate = dict(zip(_CHANGES_PER_SECOND, usages, strict=True))
    by_count = {
        count: asyncio.run(_run(count, (0,)))[0] for count in _INSTANCES
    }
    slopes = _slopes('change a second', by_rate)
    slopes += _slopes('instance', by_count)
    print_table(slopes)
    write_json(slopes, json_file)


if __name__ == '__main__':
    fire.Fire(main)
