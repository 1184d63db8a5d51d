"""A stand-in platform and configuration daemons in the test process."""

import asyncio
import json
from contextlib import AsyncExitStack
from datetime import timedelta

from aiohttp import ClientSession, web
from aiohttp.test_utils import TestServer, unused_port
from prometheus_client import CollectorRegistry

from crocusproxy.clock import SystemClock
from crocusproxy.config.daemon import ConfigDaemon
from crocusproxy.config.publisher import Publisher
from crocusproxy.config.settings import ConfigSettings
from crocusproxy.platform_client import PlatformClient
from crocusproxy.settings import InstanceIdentity, Listen, PlatformSettings
from standins.platform import Platform

TIMEOUT_SECONDS = 10


class System:
    """A platform, with the daemons that are started on it."""

    def __init__(self, session, stack):
        self.session = session
        self.stack = stack
        self.platform = Platform()

    async def open(self):
        server = TestServer(self.platform.application())
        await self.stack.enter_async_context(server)
        self.address = f'127.0.0.1:{server.port}'
        self.client = PlatformClient(
            self.session, self.address, timedelta(milliseconds=500)
        )

    def publisher(self, timeout_seconds=TIMEOUT_SECONDS):
        return Publisher(
            self.client, SystemClock(), timedelta(seconds=timeout_seconds)
        )

    async def daemon(self, name, peers=(), platform='', clock=None):
        port = unused_port()
        settings = ConfigSettings(
            InstanceIdentity(name, 'fd0'),
            Listen('127.0.0.1', port),
            PlatformSettings(platform or self.address, timedelta(hours=3)),
            tuple(peers),
        )
        daemon = ConfigDaemon(settings, clock, registry=CollectorRegistry())
        await daemon.start()
        self.stack.push_async_callback(daemon.application.stop)
        daemon.address = f'127.0.0.1:{port}'
        return daemon

    def list_instance(self, name, daemon):
        programs = ('proxy', 'proxy_admin', 'locator')
        listed = dict.fromkeys(programs, f'127.0.0.1:{unused_port()}')
        self.platform.instances[name] = {
            **listed,
            'name': name,
            'failure_domain': 'fd0',
            'state': 'live',
            'config': daemon,
        }
        self.platform._view_change()

    async def serve(self, path, response):
        """Start a peer with a fixed JSON response; return its address."""

        async def respond(_):
            return web.json_response(json.loads(response))

        handler = web.Application()
        handler.router.add_get(path, respond)
        server = TestServer(handler)
        await self.stack.enter_async_context(server)
        return f'127.0.0.1:{server.port}'


async def until(daemon, condition):
    """Wait for a condition on a daemon's feed cache."""
    notifier = daemon.feed_cache.notifier
    await notifier.wait_until(
        lambda: condition(daemon.feed_cache), timedelta(seconds=TIMEOUT_SECONDS)
    )
    assert condition(daemon.feed_cache)


def run(test):
    """Run an async test with a started ``System``."""

    async def with_system():
        async with AsyncExitStack() as stack:
            session = await stack.enter_async_context(ClientSession())
            system = System(session, stack)
            await system.open()
            await test(system)

    asyncio.run(with_system())
