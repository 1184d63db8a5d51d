"""Guards against responses from an outdated or missing configuration."""

import asyncio
from dataclasses import replace

import pytest
import yaml
from aiohttp import ClientSession, web

from crocusproxy.application import serve
from crocusproxy.config.model import Document, Service
from crocusproxy.membership.view import Instance, InstanceView
from crocusproxy.protocol.codec import encode
from crocusproxy.protocol.locate import LocateClient, LocateRefusedError
from standins.processes import Processes, free_ports, program_command

INSTANCES = tuple(
    Instance(f'i{n}', 'fd1', 'live', f'127.0.0.1:{n}', '', '', '')
    for n in range(2)
)
DOCUMENT = Document(1, {'redaccion': Service('redaccion', homes=2)})


class Feeds:
    """Long polls of a configuration daemon, with content set by the test."""

    def __init__(self):
        self.document = Document()
        self.view = InstanceView()
        self.changed = asyncio.Event()

    def publish(self, document, view):
        self.document, self.view = document, view
        self.changed.set()
        self.changed = asyncio.Event()

    async def config(self, request):
        while self.document.generation <= int(request.query['after']):
            await self.changed.wait()
        return web.Response(body=encode(self.document))

    async def instances(self, request):
        while self.view.version <= int(request.query['after']):
            await self.changed.wait()
        return web.Response(body=encode(self.view))


async def serve_feeds(feeds):
    app = web.Application()
    app.router.add_get('/v1/config', feeds.config)
    app.router.add_get('/v1/view', feeds.instances)
    return await serve(app, '127.0.0.1', 0)


def write_settings(folder, feed, port):
    settings = {
        'instance': {'name': 'i0', 'failure_domain': 'fd1'},
        'listen': {'host': '127.0.0.1', 'port': port},
        'feeds': [f'127.0.0.1:{free_ports(1)[0]}', feed],
        'locate_validity': '1500ms',
    }
    path = folder / 'locator.yaml'
    path.write_text(yaml.safe_dump(settings))
    return str(path)


async def locate_during_changes(processes):
    feeds = Feeds()
    runner = await serve_feeds(feeds)
    port = free_ports(1)[0]
    settings = write_settings(
        processes.folder, '{}:{}'.format(*runner.addresses[0]), port
    )
    process = processes.start(
        'locator', program_command('crocus-locator', settings)
    )
    url = f'http://127.0.0.1:{port}'
    await processes.wait_ready('locator', f'{url}/healthz', 20)
    async with ClientSession() as session:
        client = LocateClient(session, f'127.0.0.1:{port}')
        with pytest.raises(LocateRefusedError, match='not_ready'):
            await client.locate('redaccion', 'ana')
        assert (await session.get(f'{url}/readyz')).status == 503
        feeds.publish(DOCUMENT, InstanceView(1, INSTANCES))
        await processes.wait_ready('locator', f'{url}/readyz', 20)
        first = await client.locate('redaccion', 'ana')
        leaving = (INSTANCES[0], replace(INSTANCES[1], state='leaving'))
        feeds.publish(DOCUMENT, InstanceView(2, leaving))
        second = first
        while second == first:
            second = await client.locate('redaccion', 'ana')
    process.terminate()
    await processes.wait_for_exit('locator', 20)
    feeds.publish(replace(DOCUMENT, generation=9), InstanceView(9))
    await runner.cleanup()
    return first, second


def test_daemon_follows_a_peer_feed_and_stops_cleanly(tmp_path):
    with Processes(tmp_path) as processes:
        first, second = asyncio.run(
            asyncio.wait_for(locate_during_changes(processes), 60)
        )
        log = processes.log_path('locator').read_text()
    assert first.validity_ms == 1500
    assert {located.address for located in first.addresses} == {
        instance.proxy for instance in INSTANCES
    }
    assert [located.address for located in second.addresses] == [
        INSTANCES[0].proxy
    ]
    assert '"stopped"' in log
    assert 'shutdown_hook_failed' not in log


def test_invalid_settings_exit_with_code_2_and_every_fault(tmp_path):
    path = tmp_path / 'locator.yaml'
    path.write_text('feeds: []\nlocate_validity: soon\n')
    with Processes(tmp_path) as processes:
        command = program_command('crocus-locator', str(path))
        assert processes.start('locator', command).wait(20) == 2
        log = processes.log_path('locator').read_text()
    for part in ('feeds', 'locate_validity', 'instance', 'listen'):
        assert f'locator.yaml: {part}: ' in log
