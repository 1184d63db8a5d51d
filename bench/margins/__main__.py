"""Measures how near real processes come to the bounds of the pages.

    python -m bench.margins --plan=alternate --repeats=16 --instances=14
    python -m bench.margins --bound=shutdown --repeats=40 --shutdown=6

The exit code is 1 if a bound was broken, and 2 for invalid arguments.
"""

import asyncio
import math
import shutil
import subprocess
import sys
import tempfile
from collections.abc import Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path
from random import Random

import fire

from soak.instances import SHUTDOWN_TIMEOUT_SECONDS

from . import config_loss
from . import shutdown as shutdown_bound
from .config_loss import LossResult, draw_loss, measure_loss
from .report import (
    HEADER,
    Margin,
    find_end_margins,
    find_margins,
    write_end_json,
    write_json,
)
from .shutdown import EndResult, draw_stop, measure_stop, prepare_upstreams
from .testbed import MarginTestbed

SETTLE_SECONDS = 6.0
CALM_SECONDS = 10.0
#: Fewer leave a failure domain empty.
MIN_INSTANCES = 5
#: The machine bears about this many processes.
MAX_INSTANCES = 60
_BUSY_PROGRAM = 'while True: pass'
_BROKEN, _INVALID = 1, 2
#: Shorter than the drain's last steps, and longer than any deployment's.
MIN_SHUTDOWN_SECONDS, MAX_SHUTDOWN_SECONDS = 1.0, 60.0
_PLANS = {'changes': config_loss.PLANS, 'shutdown': shutdown_bound.PLANS}


def run(
    plan: str = 'mix',
    repeats: int = 16,
    instances: int = 14,
    seed: int = 0,
    busy: int = 0,
    report: str = '',
    keep: bool = False,
    bound: str = 'changes',
    shutdown: float = SHUTDOWN_TIMEOUT_SECONDS,
) -> None:
    """Measure how near real processes come to a bound.

    Args:
        plan: which losses or stops; ``mix`` draws each of them.
        repeats: number of losses or stops.
        instances: number of entry processes, in three failure domains.
        seed: seed of the losses or stops and their times.
        busy: number of processes that keep a core busy.
        report: path of a JSON file for the results.
        keep: whether to keep the logs of a run that broke no bound.
        bound: ``changes``: how long changes take during losses of the home or
            the store; ``shutdown``: how long stopped instances take to end.
        shutdown: seconds after which a stopped instance would be killed.
    """
    fault = find_fault(plan, repeats, instances, busy, bound, shutdown)
    if fault:
        print(f'bench.margins: {fault}', file=sys.stderr)
        sys.exit(_INVALID)
    folder = Path(tempfile.mkdtemp(prefix=f'margins-{seed}-'))
    losses: list[LossResult] = []
    ends: list[EndResult] = []
    is_shutdown = bound == 'shutdown'
    with _busy_processes(busy):
        testbed = MarginTestbed(folder, instances, seed, shutdown)
        try:
            asyncio.run(
                _measure_ends(testbed, plan, repeats, seed, ends)
                if is_shutdown
                else _measure(testbed, plan, repeats, seed, losses)
            )
        except KeyboardInterrupt:
            count = len(ends or losses)
            print(f'interrupted; partial: {count} results, {repeats} repeats')
    if is_shutdown:
        margins = find_end_margins(ends, shutdown)
    else:
        margins = find_margins(losses)
    if report and is_shutdown:
        write_end_json(Path(report), ends, shutdown)
    elif report:
        write_json(Path(report), losses)
    is_broken = any(one.exit_code for one in ends)
    sys.exit(_print_margins(margins, folder, seed, keep, is_broken))


def find_fault(
    plan: str,
    repeats: int,
    instances: int,
    busy: int,
    bound: str,
    shutdown: float,
) -> str:
    """Return what is wrong with the arguments, empty if nothing is."""
    if bound not in _PLANS:
        return f'--bound: no bound {bound!r}; choose one of {", ".join(_PLANS)}'
    plans = _PLANS[bound]
    if plan not in plans:
        return f'--plan: no plan {plan!r}; choose one of {", ".join(plans)}'
    limits = (
        ('--repeats', repeats, 1, sys.maxsize),
        ('--instances', instances, MIN_INSTANCES, MAX_INSTANCES),
        ('--busy', busy, 0, MAX_INSTANCES),
    )
    for name, number, least, most in limits:
        if not isinstance(number, int) or not least <= number <= most:
            return f'{name}: {number!r} is no number from {least} to {most}'
    least, most = MIN_SHUTDOWN_SECONDS, MAX_SHUTDOWN_SECONDS
    is_number = isinstance(shutdown, int | float) and math.isfinite(shutdown)
    if not is_number or not least <= shutdown <= most:
        return f'--shutdown: {shutdown!r} is no number from {least} to {most}'
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
    testbed: MarginTestbed,
    plan: str,
    repeats: int,
    seed: int,
    results: list[LossResult],
) -> None:
    """Append the result of each loss to ``results``."""
    random = Random(seed)
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


async def _measure_ends(
    testbed: MarginTestbed,
    plan: str,
    repeats: int,
    seed: int,
    results: list[EndResult],
) -> None:
    """Append the end of each stopped instance to ``results``."""
    random = Random(seed)
    try:
        await testbed.start()
        prepare_upstreams(testbed)
        await asyncio.sleep(SETTLE_SECONDS)
        for number in range(repeats):
            stop = draw_stop(testbed, plan, random)
            for end in await measure_stop(testbed, stop, random):
                results.append(end)
                print(f'{number}: {end.line()}', flush=True)
    finally:
        await testbed.stop()


def _print_margins(
    margins: Sequence[Margin],
    folder: Path,
    seed: int,
    keep: bool,
    is_broken: bool,
) -> int:
    """Print the table and return the exit code."""
    print(HEADER)
    for margin in margins:
        print(margin.line())
    is_broken = is_broken or any(margin.is_broken for margin in margins)
    if is_broken or keep:
        print(f'seed {seed}, logs: {folder}')
    else:
        shutil.rmtree(folder)
    return _BROKEN if is_broken else 0


if __name__ == '__main__':
    fire.Fire(run)
