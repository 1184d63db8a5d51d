"""The command line of the soak: ``python -m soak --seed 7``."""

import asyncio
import sys
from random import SystemRandom

import fire

from .run import Verdict, play

_SEEDS = 1_000_000


def soak(
    seed: int | None = None,
    runs: int = 1,
    seconds: float = 12,
    instances: int = 4,
) -> None:
    """Play runs, and exit with 1 if one of them broke a promise.

    Args:
        seed: of the first run; the next ones follow it. Drawn if left out.
        runs: how many runs are played.
        seconds: how long faults strike in each.
        instances: how many entry processes there are.
    """
    first = SystemRandom().randrange(_SEEDS) if seed is None else seed
    failed = 0
    for number in range(first, first + runs):
        verdict = asyncio.run(play(number, seconds, instances))
        report(verdict)
        failed += bool(verdict.broken)
    print(f'{runs} runs from seed {first}, {failed} broke a promise')
    sys.exit(1 if failed else 0)


def report(verdict: Verdict) -> None:
    """Print one line for a run, and one for each broken promise."""
    ends = ', '.join(f'{count} {end}' for end, count in verdict.ends.items())
    print(
        f'seed {verdict.seed}: {verdict.faults} faults, '
        f'{verdict.requests} requests: {ends}',
        flush=True,
    )
    for line in verdict.broken:
        print(f'  {line[:300]}')
    if verdict.folder is not None:
        print(f'  logs: {verdict.folder}')


if __name__ == '__main__':
    fire.Fire(soak)
