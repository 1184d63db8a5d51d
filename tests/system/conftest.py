"""Provides a fixture that runs a scenario against a new small system."""

import asyncio

import pytest

from standins.processes import Processes
from tests.system.harness import System

TIMEOUT_SECONDS = 60


@pytest.fixture
def run_system(tmp_path):
    """Return a function that runs a scenario against a new system."""

    def run(scenario, instances=3, upstreams=3, limit=TIMEOUT_SECONDS):
        async def run_with_timeout(system):
            async with asyncio.timeout(limit):
                await system.bring_up()
                await scenario(system)

        with Processes(tmp_path) as processes:
            asyncio.run(
                run_with_timeout(System(processes, instances, upstreams))
            )

    return run
