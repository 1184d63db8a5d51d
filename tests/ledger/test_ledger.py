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
    ClaimUnavailable,
    LedgerSettings,
)
from crocusproxy.platform_client import PlatformClient
from standins.platform import Platform

SETTINGS = LedgerSettings(append_interval=timedelta(milliseconds=1))

LONG = timedelta(seconds=5)


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


async def until(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.005)


def within(ledger, seconds):
    return ledger.clock.monotonic() + timedelta(seconds=seconds)


def scenario(count=1, **faults):
    """Run a test with a platform and ``count`` ledgers."""

    def decorate(test):
        async def run():
            async with ledgers(count, **faults) as parts:
                await test(*parts)

        def test_in_loop():
            asyncio.run(run())

        return test_in_loop

    return decorate


@scenario(2)
async def test_a_re_send_through_another_instance_finds_the_claim(
    _, first, second
):
    expiry = soon()
    claimed = await first.claim('s/k', 'd', expiry)
    assert isinstance(claimed, Claimed)
    assert first.may_dispatch(claimed.nonce)
    again = await second.claim('s/k', 'd', expiry)
    assert again.state.nonce == claimed.nonce
    assert not await second.shows_no_claim('s/k', expiry, LONG)
    assert await second.shows_no_claim('s/other', expiry, LONG)
    await first.complete(claimed.nonce, 201)
    await until(lambda: second.known_claim('s/k').status == 201)
    again = await second.claim('s/k', 'd', expiry)
    assert again == AlreadyClaimed(second.known_claim('s/k'))


@scenario(2)
async def test_of_many_claims_for_one_key_one_is_first(_, *both):
    expiry = soon()
    results = await asyncio.gather(
        *(one.claim('s/k', 'd', expiry) for one in both for _ in range(20))
    )
    assert sum(isinstance(each, Claimed) for each in results) == 1


@scenario(1)
async def test_the_first_claim_after_an_outage_is_confirmed(platform, one):
    """Claims were refused until the next retry, up to a second later."""
    platform.faults.outage = True
    for _ in range(8):
        refused = await one.claim('s/a', 'd', soon())
        assert isinstance(refused, ClaimUnavailable)
    platform.faults.outage = False
    assert isinstance(await one.claim('s/b', 'd', soon()), Claimed)


@scenario(1, lose_answers=1000)
async def test_claims_are_confirmed_while_every_append_response_is_lost(_, one):
    """The platform was taken for down after two lost responses."""
    for number in range(6):
        key = f's/{number}'
        claimed = await one.claim(key, 'd', soon(), within(one, 5))
        assert isinstance(claimed, Claimed)


@scenario(1, lose_answers=1)
async def test_a_claim_whose_append_response_was_lost_is_found(platform, one):
    claimed = await one.claim('s/k', 'd', soon(), within(one, 5))
    assert isinstance(claimed, Claimed)
    records = platform.streams['claims'].records
    nonces = {
        claim['nonce'] for each in records for claim in each['data']['claims']
    }
    assert nonces == {claimed.nonce}


@scenario(1, outage=True)
async def test_an_outage_refuses_at_once_and_leaves_nothing_behind(
    platform, one
):
    for _ in range(3):
        result = await one.claim('s/k', 'd', soon(), within(one, 60))
        assert result == ClaimUnavailable('platform_unavailable')
    assert not await one.shows_no_claim('s/k', soon(), LONG)
    assert not one.registry.voids
    platform.faults.outage = False
    await until(lambda: not one.appender.down)
    assert isinstance(await one.claim('s/k', 'd', soon()), Claimed)


@scenario(2)
async def test_a_claim_undecided_at_its_deadline_is_voided_on_recovery(
    platform, one, other
):
    """Its record is in the stream, but the platform answers too slowly."""
    expiry = soon()
    await one.claim('s/first', 'd', expiry)
    platform.faults.delay_ms = 300
    result = await one.claim('s/k', 'd', expiry, within(one, 0.05))
    assert result == ClaimUnavailable('deadline_passed')
    platform.faults.delay_ms = 0
    await until(lambda: platform.appends >= 3 and not one.registry.voids)
    assert await other.shows_no_claim('s/k', expiry, LONG)
    assert isinstance(await other.claim('s/k', 'd', expiry), Claimed)


@scenario(1)
async def test_an_outage_after_the_claim_keeps_its_void_and_completion(
    platform, one
):
    expiry = soon()
    done = await one.claim('s/done', 'd', expiry)
    dropped = await one.claim('s/dropped', 'd', expiry)
    platform.faults.outage = True
    await one.complete(done.nonce, 200)
    await one.void(dropped.nonce)
    assert not one.may_dispatch(dropped.nonce)
    await until(lambda: one.appender.down)
    platform.faults.outage = False
    await until(lambda: one.known_claim('s/done').status == 200)
    await until(lambda: one.known_claim('s/dropped') is None)


@scenario(2)
async def test_a_claim_whose_caller_disconnects_is_voided(platform, one, other):
    expiry = soon()
    await one.claim('s/first', 'd', expiry)
    platform.faults.delay_ms = 50
    task = asyncio.create_task(one.claim('s/k', 'd', expiry))
    await until(lambda: any(own.sent for own in one.registry.own.values()))
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await until(
        lambda: 's/k' not in one.registry.own_keys and not one.registry.voids
    )
    assert await other.shows_no_claim('s/k', expiry, LONG)


@scenario(1)
async def test_stopping_answers_what_waits_and_flushes_the_rest(platform, one):
    claimed = await one.claim('s/k', 'd', soon())
    platform.faults.delay_ms = 50
    waiting = asyncio.create_task(one.claim('s/w', 'd', soon()))
    await until(lambda: 's/w' in one.registry.own_keys)
    await one.complete(claimed.nonce, 200)
    await one.stop()
    assert await waiting == ClaimUnavailable('stopped')
    assert not (one.registry.voids or one.registry.completions)


@scenario(1)
async def test_a_fresh_reader_reads_what_is_retained_before_it_confirms(
    platform, old
):
    """More records than one page holds; the claim is the first of them."""
    expiry = soon()
    await old.claim('s/k', 'd', expiry)
    for _ in range(1200):
        platform.streams['claims'].append({})
    fresh = Ledger(old.reader.platform, SystemClock(), SETTINGS)
    assert not await fresh.shows_no_claim('s/k', expiry, LONG)
    again = Ledger(old.reader.platform, SystemClock(), SETTINGS)
    await again.start()
    result = await again.claim('s/k', 'd', expiry)
    await again.stop()
    assert isinstance(result, AlreadyClaimed)


@scenario(1, keep=0)
async def test_a_reader_that_missed_records_confirms_nothing(platform, one):
    await one.reader.platform.append('claims', {})
    assert not await one.shows_no_claim('s/k', soon(), LONG)
    platform.faults.keep = 100
    result = await one.claim('s/k', 'd', soon())
    assert result == ClaimUnavailable('records_missing')
