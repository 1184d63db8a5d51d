"""What the daemons spend on control, without any calls, for docs/CAPACITY.md.

Starts real processes, publishes changes at several rates and lists several
numbers of instances, and reads each process's own processor time and the bytes
that it read and wrote. Run ``python -m bench.capacity_control``; it takes about
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
_SECONDS = 8
_SETTLE_SECONDS = 3
_TICK_SECONDS = 0.01


@dataclass(frozen=True)
class Spent:
    """Share of a core in percent, and bytes a second."""

    core_percent: float
    bytes_per_second: float


class System(Demo):
    """A system without callers."""

    def __init__(self, processes: Processes, instances: int) -> None:
        super().__init__(processes, seconds=math.inf)
        self.layout = new_layout(instances, upstreams=2)

    def print_status(self, text: str) -> None:
        """Leave the output to the benchmark."""

    def settings_of(self, one) -> dict[str, dict]:
        documents = super().settings_of(one)
        documents.pop('crocus-console')
        return documents

    async def spent(self, changes_per_second: float) -> dict[str, Spent]:
        """Return what the busiest process of each program spends."""
        await asyncio.sleep(_SETTLE_SECONDS)
        before = self._usage()
        began = time.monotonic()
        await self._change(changes_per_second)
        seconds = time.monotonic() - began
        after = self._usage()
        found = {
            name: Spent(
                (after[name][0] - ticks) * _TICK_SECONDS / seconds * 100,
                (after[name][1] - moved) / seconds,
            )
            for name, (ticks, moved) in before.items()
        }
        return {
            program: max(
                (each for name, each in found.items() if program in name),
                key=lambda each: each.core_percent,
            )
            for program in PROGRAMS
        }

    async def _change(self, per_second: float) -> None:
        count = int(_SECONDS * per_second)
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
                await asyncio.sleep(_SECONDS)

    def _usage(self) -> dict[str, tuple[int, int]]:
        return {
            name: _read_usage(process.pid)
            for name, process in self.processes.running.items()
            if any(program in name for program in PROGRAMS)
        }


def _read_usage(pid: int) -> tuple[int, int]:
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
            return [await system.spent(rate) for rate in rates]


def _slopes(size: str, found: dict[int, dict[str, Spent]]) -> list[Slope]:
    return [
        measure(
            f'{program}, {label}',
            size,
            unit,
            found,
            lambda at: getattr(found[at][program], attribute),
        )
        for program in PROGRAMS
        for label, unit, attribute in (
            ('processor time', '% of a core', 'core_percent'),
            ('bytes read and written', 'B/s', 'bytes_per_second'),
        )
    ]


def main(json_file: str = '') -> None:
    """Print both tables; write the slopes to ``json_file`` if it is given."""
    spent = asyncio.run(_run(_INSTANCES[0], _CHANGES_PER_SECOND))
    by_rate = dict(zip(_CHANGES_PER_SECOND, spent, strict=True))
    by_count = {
        count: asyncio.run(_run(count, (0,)))[0] for count in _INSTANCES
    }
    slopes = _slopes('change a second', by_rate)
    slopes += _slopes('instance', by_count)
    print_table(slopes)
    write_json(slopes, json_file)


if __name__ == '__main__':
    fire.Fire(main)
