"""Guards against records that are misread across a restore of the store."""

import asyncio
from datetime import timedelta

import pytest

from crocusproxy.platform.store_records import (
    ExpiredPositionError,
    StorePosition,
)

from .running_client import running_client

TOPIC = 'keyed.op'


def test_read_across_a_restore_returns_no_record():
    """The offset names another record, and one in between would be missed."""

    async def scenario():
        async with running_client() as (store, client):
            copy = store.copy()
            store.put(TOPIC, 'a', b'1')
            page = await client.newest(TOPIC)
            store.restore(copy)
            store.put(TOPIC, 'b', b'2')
            store.put(TOPIC, 'c', b'3')
            with pytest.raises(ExpiredPositionError):
                await client.read(TOPIC, page.end)
            listed = await client.newest(TOPIC)
            assert [record.key for record in listed.records] == ['b', 'c']
            assert listed.end == StorePosition(2, 2)

    asyncio.run(scenario())


def test_waiting_read_ends_when_the_store_is_restored():
    async def scenario():
        async with running_client() as (store, client):
            copy = store.copy()
            store.put(TOPIC, 'a', b'1')
            page = await client.newest(TOPIC)
            waiting = asyncio.create_task(
                client.read(TOPIC, page.end, timedelta(seconds=10))
            )
            await asyncio.sleep(0.05)
            store.restore(copy)
            with pytest.raises(ExpiredPositionError):
                await waiting

    asyncio.run(scenario())


def test_late_response_of_a_past_incarnation_is_not_used():
    """A relay can deliver it after another read saw the restored store."""

    async def scenario():
        async with running_client() as (store, client):
            store.put(TOPIC, 'a', b'1')
            client.incarnation.observe(store.incarnation + 1)
            with pytest.raises(ExpiredPositionError):
                await client.newest(TOPIC)

    asyncio.run(scenario())
