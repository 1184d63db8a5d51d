"""Guards at-most-once execution, with the ledger on a simulated platform."""

import asyncio
from contextlib import asynccontextmanager
from datetime import timedelta

from aiohttp import ClientSession
from aiohttp.test_utils import TestServer

from crocusproxy.clock import SystemClock
from crocusproxy.ledger.ledger import Ledger
from crocusproxy.ledger.results import LedgerSettings
from crocusproxy.platform_client import PlatformClient
from standins.platform import Platform
from standins.scripted import (
    NOT_RUN,
    ScriptedUpstream,
    answering,
)
from tests.proxy.harness import (
    FIRST_ATTEMPT,
    KEY,
    Proxy,
    request,
    wait_until,
)
from tests.proxy.processes import proxy_process

POST = b'POST /s/x'
SETTINGS = LedgerSettings(append_interval=timedelta(milliseconds=1))


class HookedPlatform(Platform):
    """Awaits ``on_append`` after each append, before the response."""

    on_append = None

    async def append(self, sent):
        response = await super().append(sent)
        if self.on_append:
            await self.on_append()
        return response


@asynccontextmanager
async def platform_server():
    platform = HookedPlatform()
    server = TestServer(platform.application())
    await server.start_server()
    yield platform, f'{server.host}:{server.port}'
    await server.close()


@asynccontextmanager
async def proxies(count, upstream, address):
    async with ClientSession() as session:
        client = PlatformClient(session, address)
        started = []
        for _ in range(count):
            ledger = Ledger(client, SystemClock(), SETTINGS)
            await ledger.start()
            proxy = Proxy([upstream.address], ledger)
            await proxy.start()
            started.append((proxy, ledger))
        yield [proxy for proxy, _ in started]
        for proxy, ledger in started:
            await proxy.stop()
            await ledger.stop()


async def test_a_key_sent_to_three_instances_concurrently_runs_once():
    upstream = ScriptedUpstream(answering())
    await upstream.start()
    async with platform_server() as (_, address):
        async with proxies(3, upstream, address) as started:
            calls = [proxy.call(POST, KEY, b'x') for proxy in started]
            responses = await asyncio.gather(*calls)
    upstream.kill()
    outcomes = sorted(response.outcome for response in responses)
    assert outcomes == ['answered', 'unknown', 'unknown']
    assert len(upstream.requests) == 1


async def test_a_request_that_did_not_run_can_be_retried_with_its_key():
    upstream = ScriptedUpstream(
        answering(NOT_RUN.replace(b'Retry-After: 7\r\n', b''))
    )
    await upstream.start()
    async with platform_server() as (_, address):
        async with proxies(1, upstream, address) as [proxy]:
            refused = await proxy.call(POST, KEY + FIRST_ATTEMPT)
            assert refused.outcome == 'not-run'
            # The key can be claimed again once the void record has been read.
            await wait_until(
                lambda: (
                    not (
                        proxy.core.dispatcher.ledger.registry.table.holder(
                            's/k1'
                        )
                    )
                )
            )
            again = await proxy.call(POST, KEY)
            assert (again.status, again.outcome) == (200, 'answered')
    upstream.kill()


async def test_a_proxy_killed_after_its_claim_leaves_the_key_unknown(tmp_path):
    upstream = ScriptedUpstream(answering())
    async with platform_server() as (platform, address):
        appended = asyncio.Event()

        async def block_response():
            appended.set()
            await asyncio.Event().wait()

        platform.on_append = block_response
        settings = {'platform': {'address': address}}
        async with proxy_process(tmp_path, upstream, **settings) as killed:
            reader, _ = await killed.connect(request(POST, KEY))
            await appended.wait()
            killed.process.kill()
            assert await reader.read() == b''
            async with proxies(1, upstream, address) as [proxy]:
                await wait_until(
                    lambda: proxy.core.dispatcher.ledger.registry.table.holder(
                        's/k1'
                    )
                )
                response = await proxy.call(POST, KEY)
        assert (response.status, response.outcome) == (409, 'unknown')
        assert response.code == 'request_in_progress'
        assert upstream.requests == []
