"""Measures how near real processes come to the bounds of the pages.

python -m bench.margins --plan=alternate --repeats=16 --instances=14
"""

import asyncio
import shutil
import subprocess
import sys
import tempfile
from pathlib import Path
from random import Random

import fire

from .config_loss import LossResult, draw_loss, measure_loss
from .testbed import MarginTestbed

PROPAGATION_SECONDS = 2.0
_BUSY_PROGRAM = 'while True: pass'


async def _measure(
    plan: str, repeats: int, instances: int, seed: int, folder: Path
) -> list[LossResult]:
    random = Random(seed)
    testbed = MarginTestbed(folder, instances, seed)
    results = []
    try:
        await testbed.start()
        await asyncio.sleep(6)
        calls = testbed.store.calls
        await asyncio.sleep(10)
        print(f'store calls in 10 s of calm: {testbed.store.calls - calls}')
        for number in range(repeats):
            loss = draw_loss(testbed, plan, number, random)
            result = await measure_loss(testbed, loss, random)
            results.append(result)
            print(
                f'{number} config {result.config.seconds:.2f}'
                f' {result.config.slowest}'
                f' removal {result.removal.seconds:.2f}'
                f' {result.removal.slowest}'
                f' home {result.home} -> {testbed.home().name}'
                f' v{result.version} at {result.published_at:.3f}'
                f' {result.loss}',
                flush=True,
            )
    finally:
        await testbed.stop()
    return results


def run(
    plan: str = 'alternate',
    repeats: int = 16,
    instances: int = 14,
    seed: int = 0,
    busy: int = 0,
    keep: bool = False,
) -> int:
    """Measure the propagation of configurations after losses."""
    folder = Path(tempfile.mkdtemp(prefix=f'margins-{seed}-'))
    loads = [
        subprocess.Popen((sys.executable, '-c', _BUSY_PROGRAM))
        for _ in range(busy)
    ]
    try:
        results = asyncio.run(_measure(plan, repeats, instances, seed, folder))
    finally:
        for load in loads:
            load.kill()
            load.wait()
    is_broken = False
    for name in ('config', 'removal'):
        times = sorted(getattr(result, name).seconds for result in results)
        is_broken = is_broken or times[-1] > PROPAGATION_SECONDS
        slowest = ', '.join(f'{one:.2f}' for one in times[-3:])
        print(
            f'{plan} {name}: {len(times)} losses,'
            f' median {times[len(times) // 2]:.2f}, slowest {slowest}'
        )
    if is_broken:
        print(f'broken; logs in {folder}')
        return 1
    if keep:
        print(f'logs in {folder}')
    else:
        shutil.rmtree(folder)
    return 0


if __name__ == '__main__':
    sys.exit(fire.Fire(run))
