"""Guards against new work for an upstream later than 2 s after a notice."""

import time

import pytest

from standins.demo_settings import SERVICE
from tests.system.harness import pin, until

BOUND_SECONDS = 2


async def by_instance_list(system, upstream):
    await system.request('PUT', f'v1/leaving/{SERVICE}/{upstream.name}')


async def by_response_header(system, upstream):
    await system.upstream_faults(upstream, drain='announce')


async def by_refusal(system, upstream):
    await system.upstream_faults(upstream, drain='refuse')


WAYS = (by_instance_list, by_response_header, by_refusal)


async def settle(system, notices):
    """Wait until work that is too late for every notice would have come."""
    late = max(notices.values()) + BOUND_SECONDS + 0.5
    others = [one for one in system.layout.upstreams if one not in notices]

    async def served_after_the_bound():
        counters = [await system.counters_of(one) for one in others]
        return min(one['last_arrival'] for one in counters) > late

    await until(served_after_the_bound)


async def check_no_late_work(system, notices):
    """``notices`` maps upstreams to the monotonic times of their notices."""
    for upstream, noticed in notices.items():
        last = (await system.counters_of(upstream))['last_arrival']
        assert last - noticed < BOUND_SECONDS, upstream


@pytest.mark.parametrize('outage', [False, True], ids=['up', 'platform-down'])
def test_no_new_work_follows_a_notice(run_system, outage):
    """The notice in the instance list comes just before the outage."""

    async def scenario(system):
        notices = {}
        async with system.load(keyed_share=0):
            await system.calls_made(60)
            for one, give_notice in zip(system.layout.upstreams, WAYS):
                assert (await system.counters_of(one))['runs']
                notices[one] = time.monotonic()
                await give_notice(system, one)
                # The instance list is first in WAYS.
                await system.faults(outage=outage)
            await settle(system, notices)
        await check_no_late_work(system, notices)
        assert not system.losses()

    run_system(scenario, instances=2, upstreams=4)


def test_a_notice_to_one_instance_reaches_the_others(run_system):
    """A home with few calls would send one long after the notice."""

    async def scenario(system):
        first, second = system.layout.instances
        notices = {}
        async with system.load(keyed_share=0) as callers:
            pin(callers, first)
            await system.calls_made(20)
            for one, give_notice in zip(system.layout.upstreams, WAYS[1:]):
                notices[one] = time.monotonic()
                await give_notice(system, one)
            await settle(system, notices)
            pin(callers, second)
            await system.calls_made(40)
        await check_no_late_work(system, notices)

    run_system(scenario, instances=2)
