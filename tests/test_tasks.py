"""Guards against waiting for the slowest of several tasks."""

import asyncio

import pytest

from crocusproxy.tasks import first_true
from standins.virtual_time import VirtualLoop


async def result_after(seconds, is_true):
    await asyncio.sleep(seconds)
    return is_true


@pytest.mark.parametrize(
    ('results', 'expected', 'seconds'),
    [
        ([(3, True), (1, True)], True, 1),
        ([(3, True), (1, False)], True, 3),
        ([(3, False), (1, False)], False, 3),
        ([], False, 0),
    ],
)
def test_the_first_true_result_ends_the_wait(results, expected, seconds):
    loop = VirtualLoop()

    async def scenario():
        tasks = [asyncio.create_task(result_after(*one)) for one in results]
        result = await first_true(tasks)
        assert loop.time() == pytest.approx(seconds)
        await asyncio.gather(*tasks)
        return result

    assert loop.run_until_complete(scenario()) == expected
    loop.close()
