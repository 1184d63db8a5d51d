"""Guards against misclassified appends and records that block a page."""

import asyncio

import pytest
from aiohttp import ClientSession, web
from aiohttp.test_utils import TestServer

from crocusproxy.errors import (
    AppendRejectedError,
    AppendUnknownError,
    PlatformUnavailableError,
)
from crocusproxy.platform_client import PlatformClient


def run(response, use):
    """Call ``use`` with a client whose requests all receive ``response``."""

    async def with_server():
        async def respond(_):
            return response

        application = web.Application()
        application.router.add_route('*', '/{path:.*}', respond)
        async with (
            TestServer(application) as server,
            ClientSession() as session,
        ):
            return await use(
                PlatformClient(session, f'127.0.0.1:{server.port}')
            )

    return asyncio.run(with_server())


@pytest.mark.parametrize('status', [500, 502, 504])
def test_an_append_with_an_uncertain_effect_is_reported_as_unknown(status):
    with pytest.raises(AppendUnknownError):
        run(web.Response(status=status), lambda one: one.append('s', {}))


@pytest.mark.parametrize('status', [400, 413, 422])
def test_a_rejected_append_is_not_reported_as_an_outage(status):
    """Writers would retry it, and refuse other requests meanwhile."""
    with pytest.raises(AppendRejectedError, match='append_rejected'):
        run(web.Response(status=status), lambda one: one.append('s', {}))


@pytest.mark.parametrize('status', [404, 503])
def test_a_refused_append_is_reported_as_without_effect(status):
    with pytest.raises(PlatformUnavailableError):
        run(web.Response(status=status), lambda one: one.append('s', {}))


def test_a_record_that_is_no_object_does_not_block_its_page():
    time = '2026-01-01T00:00:00Z'
    records = [
        {'offset': number, 'time': time, 'data': data}
        for number, data in enumerate(['text', {'a': 1}, None])
    ]
    page = {'first': 0, 'next': 3, 'records': records}
    found = run(web.json_response(page), lambda one: one.read('s', 0))
    assert [one.data for one in found.records] == [{}, {'a': 1}, {}]
