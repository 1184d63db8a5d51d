"""Benchmark of the placement on the platform's servers, in virtual time.

``python -m bench.placement --scenario FILE`` runs one scenario with each
policy. The product's own ``Dispatcher`` is used, with its placer, its budget
and its probes before use; only the network and the servers are modelled.
"""

from __future__ import annotations

import asyncio
from importlib import import_module
from pathlib import Path
from random import Random

import fire
import yaml

from standins.virtual_time import VirtualLoop

from .placement_figures import (
    RequestRecord,
    RunCounts,
    figures,
    mean_of,
    worth,
)
from .placement_policies import DOMAINS, POLICIES
from .platform_servers import ModelServer, ServerParameters, Slowness

SCENARIOS = Path(__file__).with_name('scenarios') / 'placement'
NEAR_SECONDS = 0.0001
LATE_CREDIT_SHARE = 0.1


class Model:
    """Servers, their network and one policy."""

    def __init__(self, scenario: dict, policy: str, seed: int) -> None:
        self.scenario = scenario
        self.loop = VirtualLoop()
        self.random = Random(seed)
        self.far_seconds = scenario['far_ms'] / 1000
        self.counts = RunCounts()
        parameters = ServerParameters(**scenario['terms'])
        slownesses = tuple(
            Slowness(**one) for one in scenario.get('slownesses', ())
        )
        self.servers = {}
        for number in range(scenario['servers']):
            key = f'i-{number}'
            self.servers[key] = ModelServer(
                key,
                DOMAINS[number % len(DOMAINS)],
                parameters,
                Random(self.random.random()),
                slownesses,
                rank=self.random.random(),
            )
        self.policy = POLICIES[policy](self)

    def delay(self, server: ModelServer) -> float:
        """Return the one-way network delay to a server, in seconds."""
        is_near = server.domain == DOMAINS[0]
        return NEAR_SECONDS if is_near else self.far_seconds

    def now(self) -> float:
        return self.loop.time()

    async def call(self, server: ModelServer, work: float) -> bool:
        """Send a request; return False if the server was full."""
        self.counts.sends += 1
        self.counts.far_sends += server.domain != DOMAINS[0]
        await asyncio.sleep(self.delay(server))
        ran = await server.run(work)
        await asyncio.sleep(self.delay(server))
        return ran

    async def probe(self, server: ModelServer) -> float:
        """Return the slowdown that a server reports."""
        self.counts.probes += 1
        await asyncio.sleep(self.delay(server))
        slowdown = server.reported_slowdown(self.now())
        await asyncio.sleep(self.delay(server))
        return slowdown

    def play(self) -> dict[str, float]:
        """Run the scenario and return its figures."""
        try:
            self.loop.run_until_complete(self._play())
        finally:
            self.loop.close()
        return figures(self.counts)

    async def _play(self) -> None:
        background = asyncio.create_task(self.policy.run_background())
        running = []
        seconds = self.scenario['seconds']
        kinds = self.scenario['kinds']
        rate = sum(kind['per_s'] for kind in kinds)
        while self.now() < seconds:
            await asyncio.sleep(
                self.random.expovariate(rate * self._surge_factor())
            )
            kind = self.random.choices(kinds, [one['per_s'] for one in kinds])[
                0
            ]
            running.append(asyncio.create_task(self._serve(kind)))
        await asyncio.gather(*running)
        background.cancel()
        await asyncio.wait((background,))

    def _surge_factor(self) -> float:
        now = self.now()
        for surge in self.scenario.get('surges', ()):
            if surge['start'] <= now < surge['end']:
                return surge['factor']
        return 1.0

    async def _serve(self, kind: dict) -> None:
        """Serve one request and record its result for the caller."""
        now = self.now()
        is_late = self.random.random() < self.scenario['late_share']
        lateness = self.scenario['late_ms'] / 1000 if is_late else 0.0
        record = RequestRecord(
            kind['name'],
            now,
            kind['worth'],
            now + kind['aim_ms'] / 1000 - lateness,
        )
        self.counts.requests.append(record)
        work = kind['work_ms'] / 1000
        work *= self.random.lognormvariate(0, self.scenario['work_spread'])
        deadline = now + kind['deadline_ms'] / 1000 - lateness
        record.is_served = await self.policy.serve(kind, work, record, deadline)
        if record.is_served:
            in_time = self.now() <= record.target_at
            record.earned = record.worth * (1 if in_time else LATE_CREDIT_SHARE)


def set_constants(tune: str) -> None:
    """Set constants of ``src/crocusproxy``.

    An example of ``tune`` is ``placement.refusals.QUEUED_PER_SLOT=9``.
    """
    for name, setting in (part.split('=') for part in tune.split(',') if part):
        module, _, constant = name.rpartition('.')
        target = import_module(f'crocusproxy.{module}')
        if not hasattr(target, constant):
            raise AttributeError(f'{name} is not a constant of {module}')
        setattr(target, constant, float(setting))


def play(path: Path, policy: str, seeds: int) -> dict[str, float]:
    """Return the mean figures of a policy over a number of seeds."""
    scenario = yaml.safe_load(path.read_text())
    row = mean_of(
        [Model(scenario, policy, seed).play() for seed in range(seeds)]
    )
    return {'worth': worth(row), **row}


def main(
    scenario: str = '',
    seeds: int = 3,
    policies: str = ','.join(POLICIES),
    tune: str = '',
) -> None:
    """Print the figures of each policy.

    Args:
        scenario: a file; by default all files in ``scenarios/placement``.
        seeds: number of runs that the figures are means of.
        policies: names, separated by commas.
        tune: constants to set, such as
            ``placement.upstream_state.SLOW_THRESHOLD=99``.
    """
    set_constants(','.join(tune) if isinstance(tune, tuple) else tune)
    paths = [Path(scenario)] if scenario else sorted(SCENARIOS.glob('*.yaml'))
    names = policies.split(',') if isinstance(policies, str) else policies
    for path in paths:
        for name in names:
            row = play(path, name, seeds)
            cells = ' '.join(
                f'{label} {figure:.3f}' for label, figure in row.items()
            )
            print(f'{path.stem:16} {name:16} {cells}', flush=True)


if __name__ == '__main__':
    fire.Fire(main)
