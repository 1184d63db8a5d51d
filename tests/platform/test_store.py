"""Guards against lost or misread records and failed store paths."""

import asyncio
from datetime import timedelta
from unittest.mock import AsyncMock

import pytest

from crocusproxy.clock import ManualClock
from crocusproxy.errors import PlatformUnavailableError
from crocusproxy.platform.store_paths import PathLostError, StoreResponse
from crocusproxy.platform.store_records import (
    ExpiredPositionError,
    KeyedRecord,
    StorePosition,
)
from crocusproxy.protocol.codec import MalformedMessageError
from standins.store import StandInStore

from .running_client import running_client

TOPIC = 'keyed.op'
START = StorePosition(1, 0)


def test_read_continues_where_the_listing_ended():
    async def scenario():
        async with running_client() as (store, client):
            store.put(TOPIC, 'a', b'1')
            store.put(TOPIC, 'b', b'2')
            store.put(TOPIC, 'a', b'3')
            page = await client.newest(TOPIC)
            listed = {record.key: record.content for record in page.records}
            assert listed == {'a': b'3', 'b': b'2'}
            store.put(TOPIC, 'b', b'')
            following = await client.read(TOPIC, page.end)
            assert following.records == (KeyedRecord('b', b''),)
            assert following.end == page.end.advance(1, 1)

    asyncio.run(scenario())


def test_listing_reads_all_pages():
    async def scenario():
        async with running_client() as (store, client):
            for number in range(700):
                store.put(TOPIC, f'key-{number}', b'x')
            page = await client.newest(TOPIC)
            assert len(page.records) == 700

    asyncio.run(scenario())


def test_read_returns_the_records_of_all_responses():
    """A reader of a large topic fell behind, as it paused after each part."""

    async def scenario():
        async with running_client() as (store, client):
            store.max_read_bytes = 100
            keys = [f'i-{number}' for number in range(50)]
            for key in keys:
                store.put(TOPIC, key, b'x' * 20)
            page = await client.read(TOPIC, StorePosition(1, 0))
            assert [record.key for record in page.records] == keys
            assert page.end == StorePosition(1, 50)

    asyncio.run(scenario())


def test_read_without_offsets_is_malformed():
    async def scenario():
        async with running_client() as (store, client):
            client.paths.read = AsyncMock(return_value=StoreResponse(b'x', 1))
            with pytest.raises(MalformedMessageError):
                await client.read(TOPIC, StorePosition(1, 0))

    asyncio.run(scenario())


def test_read_waits_for_a_record():
    async def scenario():
        async with running_client() as (store, client):
            reading = asyncio.create_task(
                client.read(TOPIC, START, timedelta(seconds=1))
            )
            await asyncio.sleep(0.05)
            store.put(TOPIC, 'a', b'1')
            page = await reading
            assert page.records == (KeyedRecord('a', b'1'),)

    asyncio.run(scenario())


def test_read_of_deleted_records_raises_expired_offset():
    async def scenario():
        async with running_client() as (store, client):
            store.put(TOPIC, 'a', b'1')
            store.expire_records(TOPIC)
            with pytest.raises(ExpiredPositionError):
                await client.read(TOPIC, START)
            assert (await client.newest(TOPIC)).records

    asyncio.run(scenario())


def test_written_record_is_listed():
    async def scenario():
        async with running_client() as (_, client):
            await client.put('keyed.own', 'me', b'here')
            page = await client.newest('keyed.own')
            assert page.records == (KeyedRecord('me', b'here', 0),)

    asyncio.run(scenario())


def test_lost_response_to_a_write_raises():
    async def scenario():
        async with running_client() as (store, client):
            store.drop_append_responses = True
            with pytest.raises(PlatformUnavailableError):
                await client.put('keyed.own', 'me', b'here')

    asyncio.run(scenario())


def test_failed_direct_attempt_keeps_a_working_relay():
    """A switch to a relay without store access delayed a configuration by 4 s.

    Seen in scenario scale-2 of ondasur-boletines, --seed 236793127286, check
    CONFIG.
    """

    async def scenario():
        relay = await StandInStore().start('/store')
        relay.put(TOPIC, 'a', b'1')
        relays = (relay.address, '127.0.0.1:1')
        async with running_client(lambda: relays) as (store, client):
            store.is_unavailable = True
            failures = 0
            for _ in range(60):
                try:
                    await client.newest(TOPIC)
                except PlatformUnavailableError:
                    failures += 1
                await asyncio.sleep(0)
                if failures:
                    assert client.paths.relay == relay.address
            assert failures <= 1 + 60 // 16
        await relay.stop()

    asyncio.run(scenario())


def test_waiting_read_is_cancelled_when_another_read_finds_its_path_lost():
    """The read used its whole wait time on a relay that the store rejected too.

    Seen in scenario trouble-1 of ondasur-boletines, --seed 214751549541, check
    CONFIG: a new configuration was in force 3.6 s after its acknowledgement.
    """

    async def scenario():
        working_relay = await StandInStore().start('/store')
        silent_relay = await StandInStore().start('/store')
        silent_relay.delay = 3600.0
        relays = (silent_relay.address, working_relay.address)
        async with running_client(lambda: relays) as (store, client):
            client.timeout = timedelta(milliseconds=200)
            store.put(TOPIC, 'a', b'1')
            working_relay.put(TOPIC, 'a', b'1')
            page = await client.newest(TOPIC)
            store.delay = 3600.0
            waiting = asyncio.create_task(
                client.read(TOPIC, page.end, timedelta(hours=1))
            )
            await asyncio.sleep(0.05)
            with pytest.raises(PlatformUnavailableError):
                await client.read('keyed.servers', START)
            with pytest.raises(PathLostError):
                await waiting
            assert client.paths.relay == working_relay.address
            working_relay.put(TOPIC, 'a', b'2')
            following = await client.read(TOPIC, page.end)
            assert following.records == (KeyedRecord('a', b'2'),)
        await working_relay.stop()
        await silent_relay.stop()

    asyncio.run(scenario())


def test_concurrent_failures_share_one_failover():
    """The read that had not begun it counted as a failure of the store.

    A new home then delayed removals: 2.9 to 3.4 s instead of 2 s, when the home
    was stopped and its failure domain was cut off (bench.margins --plan=mix
    --seed=414, beside other load).
    """

    async def scenario():
        relay = await StandInStore().start('/store')
        relay.delay = 0.05
        async with running_client(lambda: (relay.address,)) as (store, client):
            store.is_unavailable = True
            results = await asyncio.gather(
                client.newest(TOPIC),
                client.newest('keyed.servers'),
                return_exceptions=True,
            )
            assert [type(one) for one in results] == [PathLostError] * 2
            assert client.paths.relay == relay.address
            assert relay.calls == 1
        await relay.stop()

    asyncio.run(scenario())


def test_rejected_client_reads_over_a_relay():
    """The store can reject single instances for longer than is acceptable."""

    async def scenario():
        relay = await StandInStore().start('/store')
        relay.put(TOPIC, 'a', b'1')
        relays = ('127.0.0.1:1', relay.address)
        async with running_client(lambda: relays) as (store, client):
            store.is_unavailable = True
            with pytest.raises(PlatformUnavailableError):
                await client.newest(TOPIC)
            assert client.paths.relay == relay.address
            assert (await client.newest(TOPIC)).records
            relay.is_unavailable = True
            store.is_unavailable = False
            with pytest.raises(PlatformUnavailableError):
                await client.newest(TOPIC)
            assert client.paths.relay == ''
            await client.newest(TOPIC)
        await relay.stop()

    asyncio.run(scenario())


def test_failovers_become_rare_while_no_path_works():
    """Each failover calls the store over several paths that all fail."""

    async def scenario():
        relay = await StandInStore().start('/store')
        relay.is_unavailable = True
        async with running_client(lambda: (relay.address,)) as (store, client):
            store.is_unavailable = True
            for _ in range(16):
                with pytest.raises(PlatformUnavailableError):
                    await client.newest(TOPIC)
            assert relay.calls <= 4
            relay.is_unavailable = False
            for _ in range(8):
                if client.paths.relay:
                    break
                with pytest.raises(PlatformUnavailableError):
                    await client.newest(TOPIC)
            assert client.paths.relay == relay.address
        await relay.stop()

    asyncio.run(scenario())


def test_path_is_kept_if_no_other_responds():
    async def scenario():
        async with running_client(lambda: ('127.0.0.1:1',)) as (store, client):
            store.is_unavailable = True
            with pytest.raises(PlatformUnavailableError):
                await client.newest(TOPIC)
            assert client.paths.relay == ''
            store.is_unavailable = False
            await client.newest(TOPIC)

    asyncio.run(scenario())


def test_cancelled_read_ends():
    """A member that is no longer home must stop reading."""

    async def scenario():
        async with running_client() as (store, client):
            reading = asyncio.create_task(
                client.read(TOPIC, START, timedelta(seconds=10))
            )
            await asyncio.sleep(0.05)
            reading.cancel()
            with pytest.raises(asyncio.CancelledError):
                await reading
            assert not client.paths.pending

    asyncio.run(scenario())


def test_cancelled_failover_leaves_no_task():
    """Its probes would continue after the instance has stopped reading."""

    async def scenario():
        relay = await StandInStore().start('/store')
        relay.delay = 3600.0
        async with running_client(lambda: (relay.address,)) as (store, client):
            store.is_unavailable = True
            reading = asyncio.create_task(client.newest(TOPIC))
            while not relay.calls:
                await asyncio.sleep(0.01)
            reading.cancel()
            await asyncio.wait((reading,))
            await asyncio.sleep(0.05)
            assert asyncio.all_tasks() <= {asyncio.current_task()} | {
                task
                for task in asyncio.all_tasks()
                if 'StoreClient' not in repr(task.get_coro())
            }
        await relay.stop()

    asyncio.run(scenario())


def test_relay_that_failed_long_ago_is_tried_in_the_first_round():
    """After two losses in a row, a configuration took 2.95 s instead of 2 s.

    The first one had hit the failure domain of the only relays that reached
    the store in the second one. Seen with real processes: python -m
    bench.margins --plan=alternate --repeats=24 --seed=4.
    """

    async def scenario():
        relay = await StandInStore().start('/store')
        lost = tuple(f'127.0.0.1:{port}' for port in range(1, 20))
        relays = (relay.address, *lost)
        clock = ManualClock()
        async with running_client(lambda: relays, clock) as (store, client):
            store.is_unavailable = relay.is_unavailable = True
            with pytest.raises(PlatformUnavailableError):
                await client.newest(TOPIC)
            store.is_unavailable = relay.is_unavailable = False
            await client.newest(TOPIC)
            clock.advance(timedelta(seconds=3))
            store.is_unavailable = True
            with pytest.raises(PathLostError):
                await client.newest(TOPIC)
            assert client.paths.relay == relay.address
        await relay.stop()

    asyncio.run(scenario())


def test_silent_path_is_left_before_the_timeout():
    """A silent path was noticed only at the timeout of a read."""

    async def scenario():
        relay = await StandInStore().start('/store')
        async with running_client(lambda: (relay.address,)) as (store, client):
            client.timeout = timedelta(hours=1)
            store.delay = 3600.0
            with pytest.raises(PathLostError):
                await client.read(TOPIC, START)
            assert client.paths.relay == relay.address
            assert not client.paths.pending
        await relay.stop()

    asyncio.run(scenario())


def test_attempt_on_a_silent_direct_path_does_not_delay_reads():
    async def scenario():
        relay = await StandInStore().start('/store')
        async with running_client(lambda: (relay.address,)) as (store, client):
            client.timeout = timedelta(hours=1)
            store.delay = 3600.0
            lost_reads = 0
            for _ in range(20):
                try:
                    await client.newest(TOPIC)
                except PathLostError:
                    lost_reads += 1
            assert lost_reads == 2
            assert client.paths.relay == relay.address
        await relay.stop()

    asyncio.run(scenario())


def test_read_of_a_slow_store_goes_on_while_other_paths_are_tried():
    """No path is faster then, and reading again would double the load."""

    async def scenario():
        relay = await StandInStore().start('/store')
        relay.delay = 3600.0
        async with running_client(lambda: (relay.address,)) as (store, client):
            store.put(TOPIC, 'a', b'1')
            store.delay = 0.3
            assert (await client.newest(TOPIC)).records
            assert (await client.newest(TOPIC)).records
            assert client.paths.relay == ''
            assert relay.calls == 1
        await relay.stop()

    asyncio.run(scenario())


def test_cancelled_read_on_a_silent_path_leaves_no_task():
    async def scenario():
        async with running_client() as (store, client):
            store.delay = 3600.0
            reading = asyncio.create_task(client.newest(TOPIC))
            while not store.calls:
                await asyncio.sleep(0.01)
            (read,) = client.paths.pending
            reading.cancel()
            with pytest.raises(asyncio.CancelledError):
                await reading
            await asyncio.wait((read.task,))
            assert read.task.cancelled()

    asyncio.run(scenario())


def test_silent_outage_is_not_searched_twice_for_each_read():
    """Each search of other paths loads a store that is about to recover."""

    async def scenario():
        relay = await StandInStore().start('/store')
        relay.delay = 3600.0
        async with running_client(lambda: (relay.address,)) as (store, client):
            client.timeout = timedelta(milliseconds=150)
            store.delay = 3600.0
            for _ in range(8):
                with pytest.raises(PlatformUnavailableError):
                    await client.read(TOPIC, START)
            assert relay.calls == 3
        await relay.stop()

    asyncio.run(scenario())
