"""Guards against new work for an upstream later than 2 s after a notice."""

import time

import pytest

from standins.demo_settings import SERVICE
from tests.system.harness import pin, until

BOUND_SECONDS = 2


async def give_notices(system, outage):
    """Give one notice of each kind; return the time of each by upstream.

    The one in the instance list comes just before the outage.
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
def test_no_new_work_follows_a_notice(run_system, outage, spread):
    """An instance without calls at first must not learn of it by a late one."""

    async def scenario(system):
        first, second = system.layout.instances
        *_, staying = system.layout.upstreams
        async with system.load(keyed_share=0) as callers:
            if not spread:
                pin(callers, first)
            await system.calls_made(60)
            assert all([one['runs'] for one in await system.counters()])
            notices = await give_notices(system, outage)
            late = max(notices.values()) + BOUND_SECONDS + 0.2

            async def served_after_the_bound():
                counters = await system.counters_of(staying)
                return counters['last_arrival'] > late

            await until(served_after_the_bound)
            pin(callers, second)
            await system.calls_made(40)
        for upstream, noticed in notices.items():
            last = (await system.counters_of(upstream))['last_arrival']
            assert last - noticed < BOUND_SECONDS, upstream
        # Refusals may use up the retry budget; then callers are told the truth.
        found = {one.outcome for one in system.records()}
        assert found <= {'answered', 'not-run'}

    run_system(scenario, instances=2, upstreams=4)
