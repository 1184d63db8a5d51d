"""The command line of the soak: ``python -m soak --seed 7``."""

import asyncio
import sys
from random import SystemRandom

import fire

from .run import Verdict, run_seed

_SEED_LIMIT = 1_000_000
_SHOWN_PAUSES = 5


def soak(
    seed: int | None = None,
    runs: int = 1,
    seconds: float = 12,
    instances: int = 4,
    restores: int = 0,
    terms: int = 4,
    cuts: int = 2,
    faults: bool = True,
    accounts: int = 0,
    evacuations: int = 0,
    cold: int = 0,
    homes: bool = False,
    silent: bool = False,
    quotas: int = 0,
    links: int = 0,
    losses: int = 0,
    departures: int = 0,
    planned: int = 0,
    slow: int = 0,
    pipelines: int = 0,
    pauses: int = 0,
) -> None:
    """Run the soak and exit with 1 if a run violated an invariant.

    Args:
        seed: seed of the first run; each next run adds 1. Random by default.
        runs: number of runs.
        seconds: duration of the faults in each run.
        instances: number of entry processes.
        restores: how often the store is restored from a copy in each run.
        terms: how often an upstream states terms in its responses.
        cuts: how often instances lose all upstreams.
        faults: whether to inject other faults too.
        accounts: how often API keys change; without it, nothing needs a key.
        evacuations: how often a failure domain is evacuated.
        cold: how often upstreams become cold; each new one is cold then too.
        homes: whether each failure domain has a home.
        silent: whether upstreams ignore requests they have no slot for.
        quotas: how often the quota of an account is raised or lowered.
        links: how often the link between two domain homes is cut.
        losses: how often the home, the store for its domain, or both are lost.
        departures: how many instances leave for good; then the home is killed.
        planned: number of series of planned work, which overlap.
        slow: number of callers that read slowly, half of them distant.
        pipelines: number of callers that pipeline, half of them distant.
        pauses: number of series of brief pauses, which overlap.
    """
    first_seed = SystemRandom().randrange(_SEED_LIMIT) if seed is None else seed
    failed_runs = 0
    for next_seed in range(first_seed, first_seed + runs):
        verdict = asyncio.run(
            run_seed(
                next_seed,
                seconds,
                instances,
                restores,
                terms,
                cuts,
                faults,
                accounts,
                evacuations,
                cold,
                homes,
                silent,
                quotas,
                links,
                losses,
                departures,
                planned,
                slow,
                pipelines,
                pauses,
            )
        )
        report(verdict)
        failed_runs += bool(verdict.violations)
    print(
        f'{runs} runs from seed {first_seed}, '
        f'{failed_runs} violated an invariant'
    )
    sys.exit(1 if failed_runs else 0)


def report(verdict: Verdict) -> None:
    """Print a line for the run and one for each violation."""
    outcomes = ', '.join(
        f'{count} {outcome}' for outcome, count in verdict.outcomes.items()
    )
    print(
        f'seed {verdict.seed}: {verdict.fault_count} faults, '
        f'{verdict.request_count} requests: {outcomes}',
        flush=True,
    )
    if verdict.longest_delay:
        seconds = f'{verdict.longest_delay:.2f} s'
        print(f"  the soak's own process stalled for {seconds}")
    if verdict.instance_pauses:
        print(f'  instances paused {len(verdict.instance_pauses)} times')
    for pause in verdict.instance_pauses[:_SHOWN_PAUSES]:
        print(f'  {pause}')
    for line in verdict.violations:
        print(f'  {line[:300]}')
    if verdict.log_folder is not None:
        print(f'  logs: {verdict.log_folder}')


if __name__ == '__main__':
    fire.Fire(soak)
