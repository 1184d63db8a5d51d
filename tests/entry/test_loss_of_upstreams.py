"""Guards against effects of a loss of all upstreams that outlive it."""

import asyncio
import time
from datetime import timedelta

import pytest

from crocusproxy.clock import ManualClock
from crocusproxy.entry.crash_watch import CrashWatch, fingerprint
from crocusproxy.entry.upstream_call import SentRequest
from crocusproxy.placement.upstream_reach import UpstreamReach

from .harness import make_server, run_scenario


def crash(server):
    """End all connections and refuse new ones."""
    server.stop()
    for writer in tuple(server.writers):
        writer.transport.abort()


def hold_event_loop():
    """Let the event loop stand still for longer than a crash check."""
    asyncio.get_running_loop().call_soon(time.sleep, 0.2)


async def send_at_once(system, count):
    """Send equal requests, which then run at different upstreams."""
    tasks = [
        asyncio.create_task(system.request(f'r{number}'))
        for number in range(count)
    ]
    await asyncio.sleep(0.1)
    return tasks


def test_requests_in_flight_at_a_loss_of_all_upstreams_are_no_crash_suspects():
    """They were refused for ten minutes after the loss had ended."""

    async def scenario(system):
        tasks = await send_at_once(system, 8)
        for server in system.servers:
            crash(server)
        await asyncio.gather(*tasks)
        await system.add(make_server('i-new'))
        assert (await system.request('after'))[0] == 200
        assert not system.crash_watch.tracker.suspects

    servers = [make_server(f'i-{number}', work=0.5) for number in range(4)]
    run_scenario(scenario, servers)


@pytest.mark.parametrize('lost', [1, 2])
def test_request_that_crashes_upstreams_is_suspected_while_others_respond(lost):
    async def scenario(system):
        tracker = system.crash_watch.tracker
        suspect_counts = []
        retractions = []

        def count_suspects(report):
            if not report.cleared:
                suspect_counts.append(
                    len(tracker.suspects) + len(tracker.confirmed_until)
                )

        system.crash_watch.send_report = count_suspects
        system.reach.on_silence.append(lambda: retractions.append('silence'))
        tasks = await send_at_once(system, 8)
        for server in system.servers[:lost]:
            crash(server)
        hold_event_loop()
        # A lost request is sent again only after the check of the crash.
        await asyncio.gather(*tasks)
        assert suspect_counts == [1] * lost
        assert not retractions

    servers = [make_server(f'i-{number}', work=0.5) for number in range(4)]
    run_scenario(scenario, servers)


def test_retraction_reaches_the_other_instances():
    clock = ManualClock()
    clock.advance(timedelta(seconds=10))
    reach = UpstreamReach(clock, lambda *_, **__: None)
    reach.addresses = {f'i-{number}': f'h:{number}' for number in range(4)}
    watch = CrashWatch(clock, reach)
    reports = []
    watch.send_report = reports.append

    class Message:
        method, path, headers = 'GET', '/', {}

    class Request:
        message, body = Message, b''

    for number in range(4):
        sent = SentRequest(Request, clock.monotonic())
        watch.record_crash(f'h:{number}', (sent,))
    assert [report.cleared for report in reports] == [False, False, True, True]
    assert not watch.refused_for(Request)
    assert reports[-1].fingerprints == (fingerprint(Request),)


def test_upstreams_are_used_at_once_when_the_first_of_them_responds():
    """Refusals went on for up to two seconds after the loss had ended."""

    async def scenario(system):
        system.reach.on_end_of_silence.append(system.dispatcher.end_backoffs)
        placer = system.dispatcher.placer('s')
        for server in system.servers:
            server.cut_off('127.0.0.1')
        for number in range(12):
            await system.request(f'before-{number}', deadline_ms=50)
        first, *others = placer.upstreams.values()
        for _ in range(6):
            for state in others:
                state.failed(placer.now())
        for server in system.servers:
            server.refused_sources.clear()
        async with asyncio.timeout(3):
            while (await system.request('after'))[0] != 200:
                await asyncio.sleep(0.01)
        assert len(placer.choice.candidates(placer.now())) == len(
            system.servers
        )

    run_scenario(scenario, [make_server(f'i-{number}') for number in range(4)])


async def lose_upstreams(system):
    """Cut the instance off for longer than requests wait, and try once."""
    for server in system.servers:
        server.cut_off('127.0.0.1')
    for number in range(12):
        await system.request(f'before-{number}', deadline_ms=100)
    await asyncio.sleep(0.5)
    await system.request('trial', deadline_ms=100)


def test_requests_are_refused_at_once_while_no_upstream_can_be_reached():
    """They waited for connections until their deadline, up to seconds."""

    async def scenario(system):
        await lose_upstreams(system)
        started = time.monotonic()
        status, headers, body = await system.request('r1')
        assert time.monotonic() - started < 0.05
        assert status == 503
        assert b'upstreams_unreachable' in body
        assert 0.1 <= float(headers['retry-after']) <= 0.4

    run_scenario(scenario, [make_server(f'i-{number}') for number in range(4)])


def test_first_upstream_that_can_be_reached_again_ends_the_refusals():
    async def scenario(system):
        await lose_upstreams(system)
        assert (await system.request('refused', deadline_ms=100))[0] == 503
        for server in system.servers:
            server.refused_sources.clear()
        async with asyncio.timeout(3):
            while (await system.request('after'))[0] != 200:
                await asyncio.sleep(0.01)
        statuses = [
            (await system.request(f'after-{number}'))[0] for number in range(9)
        ]
        assert set(statuses) == {200}

    run_scenario(scenario, [make_server(f'i-{number}') for number in range(4)])
