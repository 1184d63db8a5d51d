"""Guards against requests with invalid keys by way of an older home."""

import asyncio
import json
from dataclasses import replace
from random import Random

import pytest

from crocusproxy.errors import PlatformUnavailableError
from crocusproxy.membership.catalog import Catalog
from crocusproxy.platform.config_completion import ConfigCompletion
from crocusproxy.platform.store_records import (
    KeyedRecord,
    RecordPage,
    StorePosition,
)
from crocusproxy.platform.wire import decode_config

from .test_wire import CONFIG


def encode_config(version):
    """Return a version with one anonymous route and an account of its own."""
    routes = [{**CONFIG['Routes'][0], 'AllowAnonymous': True}]
    accounts = [{'Name': f'account-{version}', 'ApiKeys': ['key']}]
    return json.dumps(
        {
            **CONFIG,
            'Version': f'{version:08x}',
            'Routes': routes,
            'Tenants': accounts,
        }
    ).encode()


def pass_on(version):
    """Return a version as an older build passes it on."""
    config = decode_config(encode_config(version))
    routes = tuple(replace(one, anonymous=False) for one in config.routes)
    return replace(config, routes=routes, accounts=None, schema=0)


class FakeStore:
    """Has one document; refuses reads while it is None."""

    def __init__(self, document):
        self.document = document

    async def newest(self, topic):
        if self.document is None:
            raise PlatformUnavailableError('refused')
        record = KeyedRecord('config', self.document)
        return RecordPage((record,), StorePosition(1, 1))


def run_completion(document, scenario):
    async def run():
        catalog = Catalog()
        store = FakeStore(document)
        completion = ConfigCompletion(store, catalog, Random(1))
        task = asyncio.create_task(completion.run())
        await scenario(store, catalog, completion)
        task.cancel()

    asyncio.run(run())


async def until(condition):
    async with asyncio.timeout(2):
        while not condition():
            await asyncio.sleep(0.01)


def test_accounts_that_an_older_home_drops_are_read_from_the_store():
    async def scenario(store, catalog, completion):
        catalog.receive_config(pass_on(1))
        assert catalog.config is None
        await until(lambda: catalog.config is not None)
        assert catalog.config == decode_config(encode_config(1))
        catalog.receive_config(pass_on(1))
        assert catalog.config.accounts

    run_completion(encode_config(1), scenario)


def test_accounts_of_the_version_before_hold_until_the_store_responds():
    """Without them, each request would be served, whatever its key."""

    async def scenario(store, catalog, completion):
        catalog.apply_config(decode_config(encode_config(1)))
        catalog.receive_config(pass_on(2))
        await until(lambda: catalog.config.version == 2)
        assert completion.is_incomplete()
        assert catalog.config.accounts[0].name == 'account-1'
        assert catalog.config.routes[0].anonymous
        store.document = encode_config(2)
        await until(lambda: not completion.is_incomplete())
        assert catalog.config.accounts[0].name == 'account-2'

    run_completion(None, scenario)


@pytest.mark.parametrize('document', [encode_config(1), b'{'])
def test_version_that_the_store_lacks_is_applied_and_not_read_again(document):
    """A restored or unusable store would be read without end."""

    async def scenario(store, catalog, completion):
        catalog.receive_config(pass_on(2))
        await until(lambda: completion.missing is None)
        assert catalog.config.version == 2

    run_completion(document, scenario)


def test_new_home_replaces_an_incomplete_configuration_of_the_same_version():
    """Keys would otherwise be unchecked until the next version."""
    catalog = Catalog()
    catalog.receive_config(pass_on(1))
    assert catalog.config.accounts is None
    catalog.apply_config(decode_config(encode_config(1)))
    assert catalog.config.accounts
    # A newer build may have passed on more fields than this one knows.
    newer = replace(decode_config(encode_config(2)), schema=9)
    catalog.receive_config(newer)
    assert catalog.config == decode_config(encode_config(2))
