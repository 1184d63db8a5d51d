"""Guards against new requests to an upstream that stays listed as leaving."""

import asyncio
from datetime import datetime, timedelta, timezone
from random import Random

from crocusproxy.clock import ManualClock
from crocusproxy.config.model import Service, Upstream
from crocusproxy.proxy.service import ServiceScheduler
from crocusproxy.routing.balancer import Balancer
from crocusproxy.routing.results import RequestInfo

LEAVING, STAYING = (
    Upstream(name, 's', f'127.0.0.1:{port}', 'fd1', slots=99)
    for name, port in (('u1', 1), ('u2', 2))
)


def test_an_upstream_listed_as_leaving_gets_no_requests_for_an_hour():
    """Drains expire in the balancer, but an unchanged list is not reapplied."""

    async def scenario():
        clock = ManualClock(datetime.now(timezone.utc))
        service = Service('s')
        balancer = Balancer(service, (), 'fd1', clock, Random(1))
        scheduler = ServiceScheduler(service, balancer, clock, 9)
        scheduler.update(service, (LEAVING, STAYING))
        scheduler.drain(frozenset([LEAVING.key]))
        for _ in range(60):
            clock.advance(timedelta(minutes=1))
            deadline = clock.monotonic() + timedelta(seconds=1)
            assignment = await scheduler.admit(RequestInfo(), 'c', deadline)
            assert assignment.upstream == STAYING

    asyncio.run(scenario())
