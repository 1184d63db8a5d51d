"""Guards against new requests to an upstream more than 2 s after a notice."""

import time

import pytest

from standins.demo_settings import SERVICE
from tests.system.harness import pin, wait_until

MAX_DELAY_SECONDS = 2


async def give_drain_notices(system, outage):
    """Give a drain notice of each kind; return its time by upstream.

    The notice in the instance list is given just before the outage.
    """
    listed, announcing, refusing, _ = system.layout.upstreams
    notices = {listed: time.monotonic()}
    await system.platform('PUT', f'v1/leaving/{SERVICE}/{listed.name}')
    await system.faults(outage=outage)
    notices[announcing] = time.monotonic()
    await system.upstream_faults(announcing, drain='announce')
    notices[refusing] = time.monotonic()
    await system.upstream_faults(refusing, drain='refuse')
    return notices


@pytest.mark.parametrize(
    ('outage', 'spread'),
    [(False, False), (True, True)],
    ids=['up-one-instance-busy', 'down-all-busy'],
)
def test_an_upstream_gets_no_new_requests_after_a_notice(
    run_system, outage, spread
):
    """An initially idle instance must not need a late call for the notice."""

    async def scenario(system):
        first, second = system.layout.instances
        *_, staying = system.layout.upstreams
        async with system.load(keyed_share=0) as callers:
            if not spread:
                pin(callers, first)
            await system.wait_for_calls(60)
            assert all([one['runs'] for one in await system.counters()])
            notices = await give_drain_notices(system, outage)
            late_after = max(notices.values()) + MAX_DELAY_SECONDS + 0.2

            async def is_served_after_max_delay():
                counters = await system.counters_of(staying)
                return counters['last_arrival'] > late_after

            await wait_until(is_served_after_max_delay)
            pin(callers, second)
            await system.wait_for_calls(40)
        for upstream, notice_time in notices.items():
            last = (await system.counters_of(upstream))['last_arrival']
            assert last - notice_time < MAX_DELAY_SECONDS, upstream
        # Rejections may use up the retry budget; the outcome is then not-run.
        outcomes = {one.outcome for one in system.records()}
        assert outcomes <= {'answered', 'not-run'}

    run_system(scenario, instances=2, upstreams=4)
