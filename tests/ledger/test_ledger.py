"""Guards the ledger's asynchronous part, run with a stand-in platform."""

import asyncio
from contextlib import asynccontextmanager
from datetime import datetime, timedelta, timezone

from aiohttp import ClientSession
from aiohttp.test_utils import TestServer

from crocusproxy.clock import ManualClock, SystemClock
from crocusproxy.errors import AppendRejectedError, AppendUnknownError
from crocusproxy.ledger.appender import Appender
from crocusproxy.ledger.claim_registry import ClaimRegistry
from crocusproxy.ledger.ledger import Ledger
from crocusproxy.ledger.records import Batch
from crocusproxy.ledger.results import (
    AlreadyClaimed,
    Claimed,
    ClaimUnavailable,
    LedgerSettings,
)
from crocusproxy.platform_client import Page, PlatformClient, StoredRecord
from standins.platform import Platform

SETTINGS = LedgerSettings(append_interval=timedelta(milliseconds=1))


def future_expiry():
    return datetime.now(timezone.utc) + timedelta(minutes=10)


@asynccontextmanager
async def running_ledgers(count, **faults):
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


async def wait_until(condition):
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.005)


async def is_unclaimed(platform, ledger, key, expiry):
    """Wait for all records; return whether they contain no claim of a key."""
    table = ledger.registry.table
    await wait_until(
        lambda: table.next_offset >= platform.streams['claims'].next
    )
    return table.holder(key) is None and table.is_complete_for(expiry)


def known_claim(ledger, key):
    return ledger.registry.table.holder(key)


def own_keys(ledger):
    return {one.claim.key for one in ledger.registry.own_claims.values()}


def deadline_in(ledger, seconds):
    return ledger.clock.monotonic() + timedelta(seconds=seconds)


def with_ledgers(count=1, **faults):
    """Run the decorated test with a platform and ``count`` ledgers."""

    def decorate(test):
        async def run():
            async with running_ledgers(count, **faults) as parts:
                await test(*parts)

        def test_in_loop():
            asyncio.run(run())

        return test_in_loop

    return decorate


@with_ledgers(2)
async def test_re_send_through_another_instance_finds_the_claim(
    platform, first, second
):
    expiry = future_expiry()
    claimed = await first.claim('s/k', 'd', expiry)
    assert isinstance(claimed, Claimed)
    assert first.may_dispatch(claimed.nonce)
    resent = await second.claim('s/k', 'd', expiry)
    assert resent.state.nonce == claimed.nonce
    assert not await is_unclaimed(platform, second, 's/k', expiry)
    assert await is_unclaimed(platform, second, 's/other', expiry)
    await first.complete(claimed.nonce, 201)
    await wait_until(lambda: known_claim(second, 's/k').status == 201)
    resent = await second.claim('s/k', 'd', expiry)
    assert resent == AlreadyClaimed(known_claim(second, 's/k'))


@with_ledgers(2)
async def test_exactly_one_of_many_claims_for_one_key_is_first(_, *ledgers):
    expiry = future_expiry()
    results = await asyncio.gather(
        *(
            ledger.claim('s/k', 'd', expiry)
            for ledger in ledgers
            for _ in range(20)
        )
    )
    assert sum(isinstance(result, Claimed) for result in results) == 1


@with_ledgers(1)
async def test_first_claim_after_an_outage_is_confirmed(platform, ledger):
    """Claims were rejected until the next retry, up to a second later."""
    platform.faults.outage = True
    for _ in range(8):
        result = await ledger.claim('s/a', 'd', future_expiry())
        assert isinstance(result, ClaimUnavailable)
    platform.faults.outage = False
    assert isinstance(await ledger.claim('s/b', 'd', future_expiry()), Claimed)


@with_ledgers(1, lose_answers=1000)
async def test_claims_are_confirmed_while_every_append_response_is_lost(
    _, ledger
):
    """The platform was considered down after two lost responses."""
    for number in range(6):
        key = f's/{number}'
        claimed = await ledger.claim(
            key, 'd', future_expiry(), deadline_in(ledger, 5)
        )
        assert isinstance(claimed, Claimed)


def test_every_failed_append_is_counted_before_the_outage(monkeypatch):
    """The log line of the first failure said 0 failures, the next one 1."""
    states = []

    class Platform:
        async def append(self, *_):
            raise AppendUnknownError('lost')

    clock = ManualClock()
    registry = ClaimRegistry(SETTINGS, clock)
    appender = Appender(Platform(), registry, clock, list, list)
    monkeypatch.setattr(
        'crocusproxy.ledger.appender.log',
        lambda event, failures, **_: states.append((event, failures)),
    )
    for _ in range(2):
        asyncio.run(appender._append(Batch()))
        states.append(appender.platform_down)
    event = 'claims_append_failed'
    assert states == [(event, 1), False, (event, 2), True]


@with_ledgers(1, lose_answers=1)
async def test_claim_is_confirmed_after_a_lost_append_response(
    platform, ledger
):
    claimed = await ledger.claim(
        's/k', 'd', future_expiry(), deadline_in(ledger, 5)
    )
    assert isinstance(claimed, Claimed)
    records = platform.streams['claims'].records
    nonces = {
        claim['nonce']
        for record in records
        for claim in record['data']['claims']
    }
    assert nonces == {claimed.nonce}


@with_ledgers(1, outage=True)
async def test_outage_rejects_claims_at_once_and_leaves_no_voids(
    platform, ledger
):
    for _ in range(3):
        result = await ledger.claim(
            's/k', 'd', future_expiry(), deadline_in(ledger, 60)
        )
        assert result == ClaimUnavailable('platform_unavailable')
    assert not ledger.registry.unconfirmed_voids
    platform.faults.outage = False
    await wait_until(lambda: not ledger.appender.platform_down)
    assert isinstance(await ledger.claim('s/k', 'd', future_expiry()), Claimed)


@with_ledgers(1, reject_appends=1)
async def test_rejected_append_is_no_outage(platform, ledger):
    """It was retried, and other claims were refused meanwhile."""
    deadline = deadline_in(ledger, 60)
    result = await ledger.claim('s/bad', 'd', future_expiry(), deadline)
    assert result == ClaimUnavailable('append_rejected')
    assert not ledger.appender.platform_down
    assert not ledger.registry.unconfirmed_voids
    assert isinstance(await ledger.claim('s/b', 'd', future_expiry()), Claimed)
    assert platform.appends == 1


def test_claim_read_during_a_rejected_retry_stays_dispatchable():
    """It was voided after its dispatch, so its request could run twice."""

    class Platform:
        def __init__(self):
            self.appended = []
            self.retry_sent = asyncio.Event()
            self.rejection_due = asyncio.Event()

        async def append(self, _, data):
            self.appended.append(data)
            if len(self.appended) == 1:
                raise AppendUnknownError('lost')
            if len(self.appended) == 2:
                self.retry_sent.set()
                await self.rejection_due.wait()
                raise AppendRejectedError('rejected')
            return len(self.appended)

        async def read(self, _, start, wait):
            await self.retry_sent.wait()
            if start:
                await asyncio.sleep(wait.total_seconds())
            now = datetime.now(timezone.utc)
            record = StoredRecord(0, now, self.appended[0])
            return Page(0, 1, () if start else (record,))

    async def run():
        platform = Platform()
        ledger = Ledger(platform, SystemClock(), SETTINGS)
        await ledger.start()
        claimed = await ledger.claim(
            's/k', 'd', future_expiry(), deadline_in(ledger, 60)
        )
        assert isinstance(claimed, Claimed)
        platform.rejection_due.set()
        async with asyncio.timeout(10):
            await ledger.appender.idle_event.wait()
        assert len(platform.appended) == 2  # a void would be a third
        assert ledger.may_dispatch(claimed.nonce)
        await ledger.stop()

    asyncio.run(run())


@with_ledgers(1)
async def test_rejected_completion_does_not_block_other_entries(
    platform, ledger
):
    claimed = await ledger.claim('s/a', 'd', future_expiry())
    platform.faults.reject_appends = 1
    await ledger.complete(claimed.nonce, 200)
    await wait_until(lambda: not ledger.registry.unconfirmed_completions)
    assert not platform.faults.reject_appends
    assert isinstance(await ledger.claim('s/b', 'd', future_expiry()), Claimed)


@with_ledgers(2)
async def test_claim_undecided_at_its_deadline_is_voided_on_recovery(
    platform, ledger, other
):
    """Its record is in the stream, but the platform responds too slowly."""
    expiry = future_expiry()
    await ledger.claim('s/first', 'd', expiry)
    platform.faults.delay_ms = 300
    result = await ledger.claim('s/k', 'd', expiry, deadline_in(ledger, 0.05))
    assert result == ClaimUnavailable('deadline_passed')
    platform.faults.delay_ms = 0
    await wait_until(
        lambda: platform.appends >= 3 and not ledger.registry.unconfirmed_voids
    )
    assert await is_unclaimed(platform, other, 's/k', expiry)
    assert isinstance(await other.claim('s/k', 'd', expiry), Claimed)


@with_ledgers(1)
async def test_outage_after_the_claim_keeps_its_void_and_completion(
    platform, ledger
):
    expiry = future_expiry()
    done = await ledger.claim('s/done', 'd', expiry)
    dropped = await ledger.claim('s/dropped', 'd', expiry)
    platform.faults.outage = True
    await ledger.complete(done.nonce, 200)
    await ledger.void(dropped.nonce)
    assert not ledger.may_dispatch(dropped.nonce)
    await wait_until(lambda: ledger.appender.platform_down)
    platform.faults.outage = False
    await wait_until(lambda: known_claim(ledger, 's/done').status == 200)
    await wait_until(lambda: known_claim(ledger, 's/dropped') is None)


@with_ledgers(2)
async def test_claim_of_a_disconnected_caller_is_voided(
    platform, ledger, other
):
    expiry = future_expiry()
    await ledger.claim('s/first', 'd', expiry)
    platform.faults.delay_ms = 50
    task = asyncio.create_task(ledger.claim('s/k', 'd', expiry))
    await wait_until(
        lambda: any(
            own_claim.maybe_written
            for own_claim in ledger.registry.own_claims.values()
        )
    )
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    await wait_until(
        lambda: (
            's/k' not in own_keys(ledger)
            and not ledger.registry.unconfirmed_voids
        )
    )
    assert await is_unclaimed(platform, other, 's/k', expiry)


@with_ledgers(1)
async def test_stop_resolves_waiting_claims_and_flushes_entries(
    platform, ledger
):
    claimed = await ledger.claim('s/k', 'd', future_expiry())
    platform.faults.delay_ms = 50
    waiting = asyncio.create_task(ledger.claim('s/w', 'd', future_expiry()))
    await wait_until(lambda: 's/w' in own_keys(ledger))
    await ledger.complete(claimed.nonce, 200)
    await ledger.stop()
    assert await waiting == ClaimUnavailable('stopped')
    assert not (
        ledger.registry.unconfirmed_voids
        or ledger.registry.unconfirmed_completions
    )


@with_ledgers(1)
async def test_new_reader_reads_retained_records_before_it_confirms(
    platform, earlier
):
    """The claim is the first of more records than a page holds."""
    expiry = future_expiry()
    await earlier.claim('s/k', 'd', expiry)
    for _ in range(1200):
        platform.streams['claims'].append({})
    started = Ledger(earlier.reader.platform, SystemClock(), SETTINGS)
    await started.start()
    result = await started.claim('s/k', 'd', expiry)
    await started.stop()
    assert isinstance(result, AlreadyClaimed)


@with_ledgers(1, keep=0)
async def test_reader_that_missed_records_confirms_no_claim(platform, ledger):
    await ledger.reader.platform.append('claims', {})
    assert not await is_unclaimed(platform, ledger, 's/k', future_expiry())
    platform.faults.keep = 100
    result = await ledger.claim('s/k', 'd', future_expiry())
    assert result == ClaimUnavailable('records_missing')
