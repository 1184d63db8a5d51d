"""Guards against upstreams and configurations that are missed or lost."""

import asyncio
import json
from datetime import timedelta

from aiohttp import ClientSession

from crocusproxy.clock import ManualClock
from crocusproxy.errors import PlatformUnavailableError
from crocusproxy.membership.catalog import Catalog
from crocusproxy.platform.store import StoreClient
from crocusproxy.platform.watch import (
    CONFIG_TOPIC,
    RETURN_GRACE,
    UPSTREAM_TOPIC,
    ConfigWatch,
    UpstreamWatch,
)
from standins.store import StandInStore

from .test_wire import CONFIG, ENTRY

DOCUMENT = json.dumps(ENTRY).encode()


def config(version):
    return json.dumps({**CONFIG, 'Version': f'{version:08x}'}).encode()


def play(steps):
    """Run ``steps`` with a store, a catalog and watches that are stepped."""

    async def scenario():
        store = await StandInStore().start()
        clock = ManualClock()
        catalog = Catalog()
        async with ClientSession() as session:
            client = StoreClient(session, store.address, timedelta(seconds=1))
            watch = UpstreamWatch(client, catalog, clock)
            await steps(store, clock, catalog, watch)
        await store.stop()

    asyncio.run(scenario())


async def fail(watch):
    try:
        await watch.topic_watch.step()
    except PlatformUnavailableError as error:
        watch.topic_watch._note_failure(error)


def test_unreadable_entry_hides_no_other():
    async def steps(store, clock, catalog, watch):
        store.put(UPSTREAM_TOPIC, 'i-1', DOCUMENT)
        store.put(UPSTREAM_TOPIC, 'i-2', b'\xff')
        await watch.topic_watch.step()
        assert set(catalog.upstreams) == {'i-1'}

    play(steps)


def test_removed_entry_is_gone():
    async def steps(store, clock, catalog, watch):
        store.put(UPSTREAM_TOPIC, 'i-1', DOCUMENT)
        await watch.topic_watch.step()
        store.put(UPSTREAM_TOPIC, 'i-1', b'')
        await watch.topic_watch.step()
        assert not catalog.upstreams

    play(steps)


def test_entry_that_lapsed_in_an_outage_is_kept_until_it_could_be_back():
    """All upstreams would be gone in the first second after an outage."""

    async def steps(store, clock, catalog, watch):
        store.put(UPSTREAM_TOPIC, 'i-1', DOCUMENT)
        await watch.topic_watch.step()
        store.refuse = True
        await fail(watch)
        store.put(UPSTREAM_TOPIC, 'i-1', b'')
        store.refuse = False
        await watch.topic_watch.step()
        assert set(catalog.upstreams) == {'i-1'}
        clock.advance(RETURN_GRACE)
        await watch.topic_watch.step()
        assert not catalog.upstreams

    play(steps)


def test_list_is_taken_anew_after_records_were_deleted():
    async def steps(store, clock, catalog, watch):
        store.put(UPSTREAM_TOPIC, 'i-1', DOCUMENT)
        await watch.topic_watch.step()
        store.put(UPSTREAM_TOPIC, 'i-1', b'')
        store.put(UPSTREAM_TOPIC, 'i-2', DOCUMENT)
        store.forget(UPSTREAM_TOPIC)
        task = asyncio.create_task(watch.run())
        for _ in range(100):
            await asyncio.sleep(0.02)
            if set(catalog.upstreams) == {'i-2'}:
                break
        task.cancel()
        assert set(catalog.upstreams) == {'i-2'}

    play(steps)


def test_configuration_is_in_force_as_soon_as_it_is_written():
    async def steps(store, clock, catalog, upstreams):
        store.put(CONFIG_TOPIC, 'config', config(1))
        watch = ConfigWatch(
            upstreams.topic_watch.store,
            catalog,
            clock,
        )
        task = asyncio.create_task(watch.run())
        await asyncio.sleep(0.05)
        store.put(CONFIG_TOPIC, 'config', b'not a configuration')
        store.put(CONFIG_TOPIC, 'config', config(3))
        await asyncio.sleep(0.1)
        task.cancel()
        assert catalog.config.version == 3

    play(steps)
