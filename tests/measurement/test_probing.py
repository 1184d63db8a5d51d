"""Guards the probe budget at the upstreams, with real sockets and processes."""

import asyncio
import signal
import subprocess
import sys
import time
from contextlib import asynccontextmanager
from pathlib import Path
from random import Random

from aiohttp import ClientSession, web
from aiohttp.test_utils import TestServer

from crocusproxy.clock import ManualClock
from crocusproxy.config.model import Upstream
from crocusproxy.measurement.load_report import (
    HEADER,
    ReportedLoad,
)
from crocusproxy.measurement.prober import Prober
from crocusproxy.measurement.renewer import RightsRenewer
from crocusproxy.measurement.rights import RightsHolder
from crocusproxy.platform_client import Page
from standins.platform import Platform
from tests.measurement.probing_process import BUDGET, SETTINGS, start_probing

LOAD = ReportedLoad(1, 2, 0)
LOAD_TEXT = (
    'TEXT named_metrics.in_flight=1, named_metrics.slots=2, '
    'named_metrics.queued=0'
)


class CountingUpstream:
    """Records probes with the address that they were sent to."""

    def __init__(self):
        self.arrivals = []
        self.arrived = asyncio.Event()
        self.headers = {HEADER: LOAD_TEXT}

    async def load(self, request):
        assert 'Crocus-Probed-Service' not in request.headers
        self.arrivals.append((time.monotonic(), request.host))
        self.arrived.set()
        return web.Response(headers=self.headers)

    def arrivals_at(self, address):
        return [at for at, host in self.arrivals if host == address]

    async def until(self, address, count):
        async with asyncio.timeout(30):
            while len(self.arrivals_at(address)) < count:
                self.arrived.clear()
                await self.arrived.wait()

    def check_windows(self):
        for start, _ in self.arrivals:
            inside = [at for at, _ in self.arrivals if 0 <= at - start < 1]
            assert len(inside) <= BUDGET.per_second


@asynccontextmanager
async def running_servers():
    platform, upstream = Platform(), CountingUpstream()
    app = web.Application()
    app.router.add_get('/load', upstream.load)
    # Two addresses of one upstream identify the two probing instances.
    servers = [TestServer(platform.application()), TestServer(app)]
    servers.append(TestServer(app, port=0))
    for server in servers:
        await server.start_server()
    async with ClientSession() as session:
        yield (
            platform,
            upstream,
            session,
            [f'{server.host}:{server.port}' for server in servers],
        )
    for server in servers:
        await server.close()


def start_process(name, platform, address):
    script = Path(__file__).with_name('probing_process.py')
    return subprocess.Popen([sys.executable, script, name, platform, address])


def test_process_stopped_past_its_term_does_not_probe_when_continued():
    async def scenario():
        async with running_servers() as (
            _,
            upstream,
            _,
            (platform, first, second),
        ):
            processes = [start_process('a', platform, first)]
            try:
                await upstream.until(first, 2)
                processes[0].send_signal(signal.SIGSTOP)
                processes.append(start_process('b', platform, second))
                await upstream.until(second, 2)
                before = len(upstream.arrivals_at(first))
                processes[0].send_signal(signal.SIGCONT)
                await upstream.until(second, 5)
                assert len(upstream.arrivals_at(first)) <= before + 1
                upstream.check_windows()
            finally:
                for process in processes:
                    process.kill()
                    process.wait()

    asyncio.run(scenario())


def test_instances_that_want_all_rights_stay_within_the_budget():
    async def scenario():
        async with running_servers() as (
            platform,
            upstream,
            session,
            addresses,
        ):
            reports = []
            parts = [
                part
                for name, address in zip('ab', addresses[1:], strict=True)
                for part in await start_probing(
                    session, name, addresses[0], address, reports
                )
            ]
            async with asyncio.timeout(30):
                while len(upstream.arrivals) < 4:
                    upstream.arrived.clear()
                    await upstream.arrived.wait()
            platform.faults.outage = True
            holders = [part.holder for part in parts]
            await until_no_rights(holders)
            count = len(upstream.arrivals)
            await asyncio.sleep(SETTINGS.term.total_seconds())
            assert len(upstream.arrivals) == count
            upstream.check_windows()
            for part in parts:
                await part.stop()
            assert {load for _, load in reports} == {LOAD}

    asyncio.run(scenario())


def test_start_on_an_empty_stream_does_not_wait_for_a_record():
    class RecordingPlatform:
        def __init__(self):
            self.queue = asyncio.Queue(1)

        async def read(self, stream, start, wait):
            await self.queue.put(wait)
            return Page(0, 0, ())

    async def scenario():
        platform = RecordingPlatform()
        holder = RightsHolder('a', SETTINGS, Random(0))
        renewer = RightsRenewer(platform, ManualClock(), holder)
        await renewer.start()
        assert not await platform.queue.get()
        assert await platform.queue.get()
        await renewer.stop()

    asyncio.run(scenario())


async def until_no_rights(holders):
    async with asyncio.timeout(30):
        while any(
            held.expires_at.total_seconds() > time.monotonic()
            for holder in holders
            for held in holder.held_rights.values()
        ):
            await asyncio.sleep(0.01)


class FakeHolder:
    """A fake rights holder that allows a number of probes."""

    def __init__(self, allowed):
        self.allowed = allowed
        self.charged = 0

    def spend_probe(self, service, now):
        self.allowed -= 1
        return self.allowed >= 0

    def can_probe(self, service, now):
        return False

    def charge(self, service, probes):
        self.charged += probes


def test_probe_is_checked_after_its_connection_is_open():
    async def scenario():
        async with running_servers() as (_, upstream, _, (_, address, _)):
            holder = FakeHolder(allowed=2)
            prober = Prober(holder, ManualClock(), tuple, print)
            await prober.start()
            target = Upstream('u', 's', address, 'fd', 2)
            assert await prober.probe(target) == LOAD
            upstream.headers['X-Padding'] = 'x' * 4000
            assert await prober.probe(target) is None
            assert await prober.probe(target) is None
            await prober.stop()
            assert len(upstream.arrivals) == 2
            assert holder.charged > 0

    asyncio.run(scenario())
