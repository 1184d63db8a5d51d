"""Guards against a process that one unexpected error leaves without a part."""

import asyncio

from crocusproxy.entry.background_tasks import BackgroundTasks
from standins.virtual_time import VirtualLoop


def test_task_that_fails_unexpectedly_runs_again():
    loop = VirtualLoop()
    runs = []

    async def fail_once():
        runs.append(loop.time())
        if len(runs) == 1:
            raise KeyError('unexpected')

    async def scenario():
        await BackgroundTasks().spawn(fail_once)
        assert len(runs) == 2

    loop.run_until_complete(scenario())


def test_cancelled_task_does_not_run_again():
    loop = VirtualLoop()
    tasks = BackgroundTasks()
    runs = []

    async def run():
        runs.append(loop.time())
        await asyncio.sleep(10)

    async def scenario():
        tasks.spawn(run)
        await asyncio.sleep(1)
        tasks.cancel()
        await asyncio.sleep(60)
        assert len(runs) == 1
        assert not tasks.tasks

    loop.run_until_complete(scenario())
