"""Routing benchmark in virtual time; see bench/README.md.

``python -m bench.policy --scenario FILE --seed N --json``
"""

from __future__ import annotations

import sys
from importlib import import_module
from json import dumps
from multiprocessing import get_context
from pathlib import Path
from typing import Any

import fire
import yaml

from .policy_report import check, print_ratios, print_table
from .policy_run import POLICIES, Run

PROCESSES = 4
BOUND_SEEDS = 10
SHORT_SECONDS = 8
SHORT_POLICIES = ('least_inflight', 'crocus', 'oracle')
SHORT_BOUND_FACTOR = 1.1  # one seed over a short time has a larger variance
SCENARIOS = Path(__file__).with_name('scenarios')
DEFAULTS = {
    'servers': 15,
    'slots': 2,
    'entries': 14,
    'failure_domains': 3,
    'loads': [0.8],
    'seconds': 20,
    'service_ms': 10,
    'near_ms': 0.1,
    'far_ms': 1.5,
    'queue_limit': 50,
    'deadline_ms': 1000,
    'callers': 200,
    'idempotent_share': 0.9,
}


def read_scenario(path: str | Path) -> dict:
    """Read a scenario file; missing fields get their defaults."""
    text = Path(path).read_text(encoding='utf-8')
    return {**DEFAULTS, 'name': Path(path).stem, **yaml.safe_load(text)}


def play(task: tuple) -> dict:
    scenario, policy, load, seed, options, tune = task
    for name, setting in (part.split('=') for part in tune.split(',') if part):
        module, _, constant = name.rpartition('.')
        target = import_module(f'crocusproxy.{module}')
        if not hasattr(target, constant):
            raise AttributeError(f'{name} is not a constant of {module}')
        setattr(target, constant, float(setting))
    figures = Run(scenario, policy, load, seed, options).play()
    labels = {'scenario': scenario['name'], 'seed': seed, 'policy': policy}
    return {**labels, 'load': load, **figures}


def play_all(tasks: list[tuple], processes: int) -> list[dict]:
    if processes == 1 or len(tasks) == 1:
        return [play(task) for task in tasks]
    with get_context('spawn').Pool(processes) as pool:
        return pool.map(play, tasks, chunksize=1)


def run(short: bool) -> bool:
    """Print the table and check the bounds, with fixed seeds."""
    scenarios = [
        read_scenario(path) for path in sorted(SCENARIOS.glob('*.yaml'))
    ]
    if short:
        scenarios = [
            {**definition, 'seconds': SHORT_SECONDS}
            for definition in scenarios
            if definition.get('short')
        ]
    tasks = [
        (scenario, policy, load, seed, scenario.get('crocus', {}), '')
        for scenario in scenarios
        for load, seeds in bench_loads(scenario, short)
        for policy in (SHORT_POLICIES if short else POLICIES)
        for seed in range(seeds)
    ]
    rows = play_all(tasks, PROCESSES)
    print_table(rows)
    bound_factor = SHORT_BOUND_FACTOR if short else 1.0
    return all([check(scenario, rows, bound_factor) for scenario in scenarios])


def bench_loads(scenario: dict, short: bool) -> list[tuple[float, int]]:
    """Return each load with its number of seeds; loads with bounds get more."""
    bounded = {bound['load'] for bound in scenario.get('bounds', ())}
    if short:
        return [(load, 1) for load in bounded]
    return [
        (load, BOUND_SEEDS if load in bounded else 1)
        for load in scenario['loads']
    ]


def main(
    scenario: str,
    seed: int = 1,
    seeds: int = 1,
    json: bool = False,  # noqa: A002
    policies: str = ','.join(POLICIES),
    load: float | None = None,
    processes: int = 1,
    tune: str = '',
    **options: Any,
) -> None:
    """Run the policies in one scenario, with ``seeds`` seeds from ``seed`` on.

    ``tune`` sets constants, such as ``routing.balancer.REMOTE_COST=0.2``; other
    options, such as ``--homes 4``, go to the crocus policy.
    """
    definition = read_scenario(scenario)
    names = (
        policies if isinstance(policies, (tuple, list)) else policies.split(',')
    )
    loads = definition['loads'] if load is None else [load]
    tasks = [
        (
            definition,
            name,
            one,
            number,
            {**definition.get('crocus', {}), **options},
            tune,
        )
        for one in loads
        for name in names
        for number in range(seed, seed + seeds)
    ]
    rows = play_all(tasks, processes)
    if json:
        for row in rows:
            print(dumps(row))
    else:
        print_table(rows)
        print_ratios(rows, loads, names)


if __name__ == '__main__':
    sys.modules['bench.policy'] = sys.modules['__main__']
    fire.Fire(main)
