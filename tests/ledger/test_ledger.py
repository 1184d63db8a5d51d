"""Guards the ledger's async shell against the stand-in platform."""

import asyncio
from contextlib import asynccontextmanager
from datetime import datetime, timedelta, timezone

from aiohttp import ClientSession
from aiohttp.test_utils import TestServer

from crocusproxy.clock import SystemClock
from crocusproxy.ledger.ledger import Ledger
from crocusproxy.ledger.results import (
    AlreadyClaimed,
    Claimed,
    LedgerSettings,
)
from crocusproxy.platform_client import PlatformClient
from standins.platform import Platform

SETTINGS = LedgerSettings(append_interval=timedelta(milliseconds=1))


def soon():
    return datetime.now(timezone.utc) + timedelta(minutes=10)


@asynccontextmanager
async def ledgers(count, **faults):
    platform = Platform()
    for name, setting in faults.items():
        setattr(platform.faults, name, setting)
    server = TestServer(platform.application())
    await server.start_server()
    address = f'{server.host}:{server.port}'
    async with ClientSession() as session:
        started = [
            Ledger(PlatformClient(session, address), SystemClock(), SETTINGS)
            for _ in range(count)
        ]
        for ledger in started:
            await ledger.start()
        yield platform, *started
        for ledger in started:
            await ledger.stop()
    await server.close()


def test_a_re_send_through_another_instance_finds_the_claim():
    async def scenario():
        async with ledgers(2) as (_, first, second):
            expiry = soon()
            claimed = await first.claim('s/k', 'd', expiry)
            assert isinstance(claimed, Claimed)
            assert first.may_dispatch(claimed.nonce)
            again = await second.claim('s/k', 'd', expiry)
            assert isinstance(again, AlreadyClaimed)
            assert again.state.nonce == claimed.nonce

    asyncio.run(scenario())
