"""Guards against a burn command that hides what it could not read."""

import asyncio
import json
from datetime import datetime, timezone

from aiohttp import web
from aiohttp.test_utils import TestServer

from crocusproxy.burn.windows import WINDOW, WindowCounts, window_start
from crocusproxy.cli.burn import burn
from crocusproxy.cli.exits import ExitCode
from crocusproxy.cli.system import ToolSettings, connect
from crocusproxy.clock import SystemClock
from crocusproxy.config.model import Document, Service
from crocusproxy.config.publisher import Publisher
from crocusproxy.protocol.burn import BurnReport
from crocusproxy.protocol.codec import encode
from standins.platform import Platform
from standins.processes import free_ports

WANTED = Document(0, {'redaccion': Service('redaccion')})


async def proxy_burn(_):
    now = datetime.now(timezone.utc)
    counts = (WindowCounts(window_start(now), WINDOW, 98, 2),)
    return web.Response(
        body=encode(BurnReport('i1', now, {'redaccion': counts}))
    )


async def run_burn(proxy_answers):
    platform, pages = Platform(), web.Application()
    pages.router.add_get('/v1/burn', proxy_burn)
    servers = [TestServer(platform.application()), TestServer(pages)]
    for server in servers:
        await server.start_server()
    closed = f'127.0.0.1:{free_ports(1)[0]}'
    admins = {'i2': closed}
    if proxy_answers:
        admins['i1'] = f'127.0.0.1:{servers[1].port}'
    for name, admin in admins.items():
        platform.instances[name] = dict.fromkeys(
            ('proxy', 'locator', 'config', 'failure_domain'), ''
        ) | {'name': name, 'state': 'live', 'proxy_admin': admin}
    settings = ToolSettings(platform=f'127.0.0.1:{servers[0].port}')
    async with connect(settings) as system:
        await Publisher(system.client(), SystemClock()).replace(WANTED, 'ana')
        result = await burn(system)
    for server in servers:
        await server.close()
    return result


def test_the_report_shows_rates_and_who_did_not_answer():
    result = asyncio.run(run_burn(proxy_answers=True))
    assert result.exit_code == ExitCode.done
    row = next(line for line in result.text.splitlines() if 'redaccion' in line)
    assert row.split()[:5] == ['redaccion', '2.00', '2.00', '2.00', '-100.0%']
    assert result.text.endswith('no answer from: i2')
    plain = json.loads(json.dumps(result.plain))
    assert plain['missing'] == ['i2']
    assert plain['services'][0]['figures']['rates'][0]['bad'] == 2


def test_a_report_without_any_instance_fails():
    result = asyncio.run(run_burn(proxy_answers=False))
    assert result.exit_code == ExitCode.not_reachable
    row = next(line for line in result.text.splitlines() if 'redaccion' in line)
    assert row.split() == ['redaccion', *'-----']
