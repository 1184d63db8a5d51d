"""Guards against memory that upstreams fill with bytes without end.

What was counted was bounded, but buffers of aborted responses stayed until a
garbage collection, and the allocator kept what was freed.
"""

import asyncio

import pytest

from .endless_upstreams import FORMS, MIB, MemorySystem

MAX_GROWTH_BYTES = 64 * MIB
SECONDS = 3
LARGE_BODY_BYTES = 20 * MIB


async def run_beside_endless(form, folder):
    """Return the system after its run, in which some requests were lost."""
    system = MemorySystem(folder, form, endless_count=5, count=2)
    async with system:
        await system.measure(SECONDS)
    assert sum(one.request_count for one in system.endless)
    return system


def assert_sound_upstream_was_used(system):
    """Only requests that ran at an endless upstream may have no answer."""
    (sound,) = system.sound
    assert system.statuses[200] == len(sound.runs)
    assert not system.statuses[503]
    endless_ids = [one.request_ids for one in system.endless]
    assert not system.late_ids.difference(*endless_ids)
    assert not system.statuses['lost']


@pytest.mark.parametrize('form', FORMS)
def test_process_stays_small_beside_endless_responses(form, tmp_path):
    system = asyncio.run(run_beside_endless(form, tmp_path))
    assert system.growth_bytes <= MAX_GROWTH_BYTES
    if form != 'small chunks':
        assert_sound_upstream_was_used(system)


def test_requests_are_answered_beside_endless_small_chunks(tmp_path):
    """They take the processor time of the instance rather than memory."""
    system = asyncio.run(run_beside_endless('small chunks', tmp_path))
    assert_sound_upstream_was_used(system)


def test_large_response_passes_within_the_bound(tmp_path):
    """It is copied when it is complete and when it is sent to the caller."""

    async def scenario():
        system = MemorySystem(tmp_path, 'chunks', endless_count=0, count=2)
        async with system:
            (server,) = system.sound
            server.response_script = lambda request_id: server.response(
                request_id, b'z' * LARGE_BODY_BYTES
            )
            for instance in system.instances:
                status, body = await system.send(instance, '/safe/')
                assert (status, len(body)) == (200, LARGE_BODY_BYTES)
        assert system.growth_bytes <= MAX_GROWTH_BYTES

    asyncio.run(scenario())
