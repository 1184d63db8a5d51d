"""Guards against a wait for the slowest of several answers."""

import asyncio

import pytest

from crocusproxy.tasks import first_true
from standins.virtual_time import VirtualLoop


async def answer(seconds, is_true):
    await asyncio.sleep(seconds)
    return is_true


@pytest.mark.parametrize(
    ('answers', 'found', 'seconds'),
    [
        ([(3, True), (1, True)], True, 1),
        ([(3, True), (1, False)], True, 3),
        ([(3, False), (1, False)], False, 3),
        ([], False, 0),
    ],
)
def test_first_true_answer_ends_the_wait(answers, found, seconds):
    loop = VirtualLoop()

    async def scenario():
        tasks = [asyncio.create_task(answer(*one)) for one in answers]
        result = await first_true(tasks)
        assert loop.time() == pytest.approx(seconds)
        await asyncio.gather(*tasks)
        return result

    assert loop.run_until_complete(scenario()) == found
    loop.close()
