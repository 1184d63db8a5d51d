"""Guards against a server model that is faster than real servers."""

import asyncio
from random import Random

import pytest

from bench.platform_servers import ModelServer, ServerParameters, Slowness
from standins.virtual_time import VirtualLoop

WORK_SECONDS = 0.1


def server(**changes):
    parameters = {'slots': 2, 'queue': 1, 'slow_share': 0, 'slow_factor': 5}
    slownesses = changes.pop('slownesses', ())
    return ModelServer(
        'i-0',
        'a',
        ServerParameters(**{**parameters, **changes}),
        Random(1),
        slownesses,
    )


def play(scenario):
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(scenario()), loop.time()
    finally:
        loop.close()


def test_requests_beyond_the_slots_wait_in_the_queue():
    one = server()

    async def scenario():
        return await asyncio.gather(*(one.run(WORK_SECONDS) for _ in range(3)))

    ran, seconds = play(scenario)
    assert ran == [True] * 3
    assert seconds == pytest.approx(2 * WORK_SECONDS)


def test_full_server_does_not_run_a_request():
    one = server()

    async def scenario():
        return await asyncio.gather(*(one.run(WORK_SECONDS) for _ in range(4)))

    ran, _ = play(scenario)
    assert ran == [True, True, True, False]


def test_nearly_full_server_is_slower():
    one = server(knee=0.8, knee_factor=1.7)

    async def scenario():
        await asyncio.gather(*(one.run(WORK_SECONDS) for _ in range(2)))

    assert play(scenario)[1] == pytest.approx(1.7 * WORK_SECONDS)


def test_reported_slowdown_changes_over_time():
    one = server(slow_share=0.5)
    slowdowns = {one.reported_slowdown(0.15 * step) for step in range(40)}
    assert slowdowns == {1.0, 5}


def test_hidden_slowness_is_not_reported():
    one = server(slownesses=(Slowness(0, 9, 1.0, 3.0),))
    assert one.reported_slowdown(1) == 1
    assert one.slowdown(1) == 3
    assert one.slowdown(9) == 1
