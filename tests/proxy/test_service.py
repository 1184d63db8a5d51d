"""Guards against refusals of queued requests that could still be served."""

import asyncio
from datetime import timedelta
from types import SimpleNamespace

from crocusproxy.clock import SystemClock
from crocusproxy.config.model import Service
from crocusproxy.proxy.service import ServiceScheduler
from crocusproxy.routing.results import RequestInfo, Wait


async def test_queued_request_that_no_upstream_takes_yet_is_not_refused():
    balancer = SimpleNamespace(
        choose=lambda info: Wait(),
        has_room=lambda: True,
        drain=lambda upstream: None,
    )
    scheduler = ServiceScheduler(
        Service('s', queue=4), balancer, SystemClock(), queued_per_caller=4
    )
    now = SystemClock().monotonic()
    deadlines = [now + timedelta(seconds=number) for number in (1, 1, 2, 2)]
    waits = [
        asyncio.create_task(
            scheduler.admit(RequestInfo(caller, True, ''), caller, deadline)
        )
        for caller, deadline in zip('aabc', deadlines, strict=True)
    ]
    await asyncio.sleep(0)
    for _ in range(8):
        scheduler.process_queue()
    await asyncio.sleep(0)
    assert len(scheduler.queue) == 4
    assert not any(one.done() for one in waits)
    scheduler.queue_timer.cancel()
    for one in waits:
        one.cancel()
    await asyncio.gather(*waits, return_exceptions=True)
