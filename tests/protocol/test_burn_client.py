"""Guards against burn figures that omit instances without naming them."""

import asyncio
from datetime import datetime, timedelta, timezone

import pytest
from aiohttp import ClientSession, web
from aiohttp.test_utils import TestServer

from crocusproxy.burn.windows import WINDOW, WindowCounts
from crocusproxy.config.model import Document, Objective, Service
from crocusproxy.membership.view import Instance, InstanceView
from crocusproxy.protocol.burn import BurnReport
from crocusproxy.protocol.burn_client import read_burn
from crocusproxy.protocol.codec import encode
from standins.processes import free_ports

NOW = datetime(2026, 1, 2, 12, 0, 30, tzinfo=timezone.utc)
MINUTE = NOW - timedelta(seconds=30)
DOCUMENT = Document(
    1,
    {
        name: Service(name, objective=Objective(share=0.9))
        for name in ('idle', 'redaccion')
    },
)


def report(name, good, bad):
    counts = (WindowCounts(MINUTE, WINDOW, good, bad),)
    return encode(BurnReport(name, NOW, {'redaccion': counts, 'gone': counts}))


def instance(name, admin, state='live'):
    return Instance(name, 'fd1', state, '', admin, '', '')


async def merged_burn(bodies, *others):
    """Merge the burn of instances that respond with ``bodies``."""
    application = web.Application()
    for name, body in bodies.items():
        application.router.add_get(f'/{name}/v1/burn', responder(body))
    server = TestServer(application)
    await server.start_server()
    listed = [
        instance(name, f'127.0.0.1:{server.port}/{name}') for name in bodies
    ]
    view = InstanceView(1, (*listed, *others))
    async with ClientSession() as session:
        merged = await read_burn(session, view, DOCUMENT, NOW)
    await server.close()
    return merged


def responder(body):
    async def respond(_):
        return web.Response(body=body) if body else web.Response(status=500)

    return respond


def test_counts_are_summed_and_instances_without_a_reply_named():
    closed = instance('closed', f'127.0.0.1:{free_ports(1)[0]}', 'leaving')
    bodies = {
        'a': report('a', 80, 0),
        'b': report('b', 0, 20),
        'broken': b'{"instance": 1}',
        'failing': b'',
    }
    merged = asyncio.run(merged_burn(bodies, closed, instance('empty', '')))
    assert merged.answered == ('a', 'b')
    assert merged.missing == ('broken', 'closed', 'empty', 'failing')
    idle, redaccion = merged.services
    assert (idle.service, redaccion.service) == ('idle', 'redaccion')
    assert idle.figures.counted_since is None
    for rate in redaccion.figures.rates:
        assert (rate.good, rate.bad) == (80, 20)
        assert rate.rate == pytest.approx(2)
    assert redaccion.figures.budget_left == pytest.approx(-1)
