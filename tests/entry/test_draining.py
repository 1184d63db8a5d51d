"""Guards against requests that a planned stop leaves without a response."""

import asyncio
from datetime import timedelta

from crocusproxy.entry.draining import drain_callers, refuse_remaining
from crocusproxy.platform.headers import HEADER_NAMES

from .harness import make_config, make_server, run_scenario

SHUTDOWN = timedelta(seconds=1.5)
LONG_CONFIG = make_config(timeout=10.0)
LONG_MS = 9000


def start_draining(system):
    system.gateway.is_draining = True
    return asyncio.create_task(
        drain_callers(system.gateway, system.listener, system.clock, SHUTDOWN)
    )


async def wait_until(is_true):
    while not is_true():
        await asyncio.sleep(0.01)


def send(system, request_id, path='/once/'):
    return asyncio.create_task(
        system.request(request_id, path, 'POST', b'x', LONG_MS)
    )


def test_request_that_waits_for_an_upstream_is_refused_before_the_end():
    """The process ended and closed its connection without a response."""

    async def scenario(system):
        (server,) = system.servers
        at_work = send(system, 'r1')
        await wait_until(lambda: server.runs == ['r1'])
        waiting = send(system, 'r2')
        placer = system.dispatcher.placer('s')
        await wait_until(lambda: len(placer.queue) == 1)
        draining = start_draining(system)
        status, _, body = await waiting
        assert status == 503
        assert b'shutting_down' in body
        assert server.runs == ['r1']
        assert not at_work.done()
        for task in (at_work, draining):
            task.cancel()
        await asyncio.wait((at_work, draining))

    run_scenario(scenario, [make_server(work=60, slots=1)], LONG_CONFIG)


def test_waiting_request_is_refused_though_the_drain_was_cut_off():
    """It ended without a response if the loop stood still at that moment."""

    async def scenario(system):
        (server,) = system.servers
        at_work = send(system, 'r1')
        await wait_until(lambda: server.runs == ['r1'])
        waiting = send(system, 'r2')
        placer = system.dispatcher.placer('s')
        await wait_until(lambda: len(placer.queue) == 1)
        await refuse_remaining(system.gateway)
        status, _, body = await waiting
        assert status == 503
        assert b'shutting_down' in body
        at_work.cancel()
        await asyncio.wait((at_work,))

    run_scenario(scenario, [make_server(work=60, slots=1)], LONG_CONFIG)


def test_upstream_is_given_only_the_time_until_the_end():
    """It worked on after the end, and its response reached nobody."""

    async def scenario(system):
        draining = start_draining(system)
        await asyncio.sleep(0)
        assert (await send(system, 'r1'))[0] == 200
        await draining
        ((head, _),) = system.servers[0].heads
        name = HEADER_NAMES.deadline
        (line,) = [one for one in head.split('\r\n') if one.startswith(name)]
        remaining = float(line.split(': ')[1])
        assert remaining <= SHUTDOWN / timedelta(milliseconds=1)

    run_scenario(scenario, [make_server()], LONG_CONFIG)
