"""Measures how near real processes come to the bounds of the pages.

    python -m bench.margins --plan=alternate --repeats=16 --instances=14

The exit code is 1 if a bound was broken, and 2 for invalid arguments.
"""

import asyncio
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Iterator
from contextlib import contextmanager
from pathlib import Path
from random import Random

import fire

from .config_loss import PLANS, LossResult, draw_loss, measure_loss
from .report import HEADER, find_margins, write_json
from .testbed import MarginTestbed

SETTLE_SECONDS = 6.0
CALM_SECONDS = 10.0
#: Fewer leave a failure domain empty.
MIN_INSTANCES = 5
#: The machine bears about this many processes.
MAX_INSTANCES = 60
_BUSY_PROGRAM = 'while True: pass'
_BROKEN, _INVALID = 1, 2


def run(
    plan: str = 'mix',
    repeats: int = 16,
    instances: int = 14,
    seed: int = 0,
    busy: int = 0,
    report: str = '',
    keep: bool = False,
) -> None:
    """Measure how long changes take during losses of the home or the store.

    Args:
        plan: which losses; ``mix`` draws each of them.
        repeats: number of losses.
        instances: number of entry processes, in three failure domains.
        seed: seed of the losses and their times.
        busy: number of processes that keep a core busy.
        report: path of a JSON file for the results.
        keep: whether to keep the logs of a run that broke no bound.
    """
    fault = find_fault(plan, repeats, instances, busy)
    if fault:
        print(f'bench.margins: {fault}', file=sys.stderr)
        sys.exit(_INVALID)
    folder = Path(tempfile.mkdtemp(prefix=f'margins-{seed}-'))
    results: list[LossResult] = []
    with _busy_processes(busy):
        try:
            asyncio.run(
                _measure(plan, repeats, instances, seed, folder, results)
            )
        except KeyboardInterrupt:
            print(f'interrupted; partial: {len(results)} of {repeats} losses')
    if report:
        write_json(Path(report), results)
    sys.exit(_print_margins(results, folder, seed, keep=keep))


def find_fault(plan: str, repeats: int, instances: int, busy: int) -> str:
    """Return what is wrong with the arguments, empty if nothing is."""
    if plan not in PLANS:
        return f'--plan: no plan {plan!r}; choose one of {", ".join(PLANS)}'
    limits = (
        ('--repeats', repeats, 1, sys.maxsize),
        ('--instances', instances, MIN_INSTANCES, MAX_INSTANCES),
        ('--busy', busy, 0, MAX_INSTANCES),
    )
    for name, number, least, most in limits:
        if not isinstance(number, int) or not least <= number <= most:
            return f'{name}: {number!r} is no number from {least} to {most}'
    return ''


@contextmanager
def _busy_processes(count: int) -> Iterator[None]:
    processes = [
        subprocess.Popen((sys.executable, '-c', _BUSY_PROGRAM))
        for _ in range(count)
    ]
    try:
        yield
    finally:
        for process in processes:
            process.kill()
            process.wait()


async def _measure(
    plan: str,
    repeats: int,
    instances: int,
    seed: int,
    folder: Path,
    results: list[LossResult],
) -> None:
    """Append the result of each loss to ``results``."""
    random = Random(seed)
    testbed = MarginTestbed(folder, instances, seed)
    try:
        await testbed.start()
        await asyncio.sleep(SETTLE_SECONDS)
        calls = testbed.store.calls
        await asyncio.sleep(CALM_SECONDS)
        print(f'store calls in 10 s of calm: {testbed.store.calls - calls}')
        for number in range(repeats):
            loss = draw_loss(testbed, plan, number, random)
            result = await measure_loss(testbed, loss, random)
            results.append(result)
            print(f'{number}: {result.line()}', flush=True)
    finally:
        await testbed.stop()


def _print_margins(
    results: list[LossResult], folder: Path, seed: int, *, keep: bool
) -> int:
    """Print the table and return the exit code."""
    margins = find_margins(results)
    print(HEADER)
    for margin in margins:
        print(margin.line())
    is_broken = any(margin.is_broken for margin in margins)
    if is_broken or keep:
        print(f'seed {seed}, logs: {folder}')
    else:
        shutil.rmtree(folder)
    return _BROKEN if is_broken else 0


if __name__ == '__main__':
    fire.Fire(run)
