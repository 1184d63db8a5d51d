"""The fixture that starts a small system for one scenario."""

import asyncio

import pytest

from standins.processes import Processes
from tests.system.harness import System

LIMIT_SECONDS = 60


@pytest.fixture
def run_system(tmp_path):
    """Return a function that runs a scenario against a fresh system."""

    def run(scenario, instances=3, upstreams=3, limit=LIMIT_SECONDS):
        async def bounded(system):
            async with asyncio.timeout(limit):
                await system.bring_up()
                await scenario(system)

        with Processes(tmp_path) as processes:
            asyncio.run(bounded(System(processes, instances, upstreams)))

    return run
