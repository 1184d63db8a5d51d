"""Guards against burn reports that omit unreachable instances or failures."""

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

CONFIGURATION = Document(0, {'redaccion': Service('redaccion')})


async def serve_burn_report(_):
    now = datetime.now(timezone.utc)
    counts = (WindowCounts(window_start(now), WINDOW, 98, 2),)
    return web.Response(
        body=encode(BurnReport('i1', now, {'redaccion': counts}))
    )


async def run_burn(proxy_responds):
    platform, pages = Platform(), web.Application()
    pages.router.add_get('/v1/burn', serve_burn_report)
    servers = [TestServer(platform.application()), TestServer(pages)]
    for server in servers:
        await server.start_server()
    unreachable_address = f'127.0.0.1:{free_ports(1)[0]}'
    admins = {'i2': unreachable_address}
    if proxy_responds:
        admins['i1'] = f'127.0.0.1:{servers[1].port}'
    for name, admin in admins.items():
        platform.instances[name] = dict.fromkeys(
            ('proxy', 'locator', 'config', 'failure_domain'), ''
        ) | {'name': name, 'state': 'live', 'proxy_admin': admin}
    settings = ToolSettings(platform=f'127.0.0.1:{servers[0].port}')
    async with connect(settings) as system:
        await Publisher(system.platform_client(), SystemClock()).replace(
            CONFIGURATION, 'ana'
        )
        result = await burn(system)
    for server in servers:
        await server.close()
    return result


def test_report_shows_rates_and_instances_without_response():
    result = asyncio.run(run_burn(proxy_responds=True))
    assert result.exit_code == ExitCode.done
    row = next(line for line in result.text.splitlines() if 'redaccion' in line)
    assert row.split()[:5] == ['redaccion', '2.00', '2.00', '2.00', '-100.0%']
    assert result.text.endswith('no response from: i2')
    json_value = json.loads(json.dumps(result.json_value))
    assert json_value['missing'] == ['i2']
    assert json_value['services'][0]['figures']['rates'][0]['bad'] == 2


def test_report_without_any_response_exits_as_not_reachable():
    result = asyncio.run(run_burn(proxy_responds=False))
    assert result.exit_code == ExitCode.not_reachable
    row = next(line for line in result.text.splitlines() if 'redaccion' in line)
    assert row.split() == ['redaccion', *'-----']
