"""A console with an in-process platform and a browser without scripts."""

import asyncio
import hashlib
from contextlib import asynccontextmanager
from datetime import timedelta
from html.parser import HTMLParser
from pathlib import Path

from aiohttp import CookieJar
from aiohttp.test_utils import TestClient, TestServer

from crocusproxy.clock import ManualClock
from crocusproxy.config.operator_document import read_operator_file
from crocusproxy.config.publisher import Publisher
from crocusproxy.console.daemon import ConsoleDaemon
from crocusproxy.console.settings import ConsoleSettings, Operator
from crocusproxy.settings import InstanceIdentity, Listen, PlatformSettings
from standins.platform import Platform

EXAMPLE = read_operator_file(Path('examples/redaccion.yaml'))
TOKENS = {'ana': 'secret-a', 'luz': 'secret-l'}


class Form(HTMLParser):
    """Parses the inputs of the form with the given action."""

    def __init__(self, page, action):
        super().__init__()
        self.action = action
        self.in_form = False
        self.inputs = {}
        self.feed(page)

    def handle_starttag(self, tag, attributes):
        attrs = dict(attributes)
        if tag == 'form':
            self.in_form = attrs.get('action') == self.action
        elif tag == 'input' and self.in_form:
            self.inputs[attrs['name']] = attrs.get('value', '')


class Browser:
    def __init__(self, server):
        jar = CookieJar(unsafe=True)
        self.client = TestClient(server, cookie_jar=jar)
        self.origin = f'http://127.0.0.1:{server.port}'

    async def get(self, path):
        return await self.read(await self.client.get(path))

    async def post(self, path, form, **headers):
        headers = {'Origin': self.origin} | headers
        return await self.read(
            await self.client.post(path, data=form, headers=headers)
        )

    async def read(self, response):
        self.status = response.status
        self.response = response
        self.page = await response.text()
        return self.page

    async def sign_in(self, operator='ana'):
        return await self.post('/sign-in', {'token': TOKENS[operator]})

    async def fill(self, path, **inputs):
        """Return the form of a service with some inputs replaced.

        In the keys of ``inputs``, ``__`` stands for a dot.
        """
        form = Form(await self.get(path), '/preview').inputs
        return form | {key.replace('__', '.'): inputs[key] for key in inputs}

    async def preview(self, path='/services/redaccion', **inputs):
        """Return the form that the preview would publish."""
        page = await self.post('/preview', await self.fill(path, **inputs))
        return Form(page, '/publish').inputs

    async def publish(self, form):
        return await self.post('/publish', form)


@asynccontextmanager
async def running_console():
    """Yield a platform with the example published, and a browser factory.

    ``platform.daemon`` is the console daemon.
    """
    platform = Platform()
    platform_server = TestServer(platform.application())
    await platform_server.start_server()
    address = f'127.0.0.1:{platform_server.port}'
    settings = ConsoleSettings(
        InstanceIdentity('i1', 'mza-centro'),
        Listen('127.0.0.1', 0),
        PlatformSettings(address),
        feeds=('127.0.0.1:9',),
        operators=tuple(
            Operator(name, hashlib.sha256(token.encode()).hexdigest())
            for name, token in TOKENS.items()
        ),
        secure_cookies=False,
        wait=timedelta(seconds=2),
    )
    daemon = ConsoleDaemon(settings, ManualClock())
    server = TestServer(await daemon.open())
    await server.start_server()
    platform.daemon = daemon
    client = daemon.console.change_publisher.publisher.client
    await Publisher(client, daemon.clock).replace(EXAMPLE, 'setup')
    browsers = []

    async def open_browser(operator='ana'):
        browser = Browser(server)
        browsers.append(browser)
        if operator:
            await browser.sign_in(operator)
        return browser

    try:
        yield platform, open_browser
    finally:
        for browser in browsers:
            await browser.client.close()
        await server.close()
        await daemon.http_session.close()
        await platform_server.close()


def with_console(test):
    """Run an async test with a console, under its own name and docstring."""

    def run():
        async def run_with_console():
            async with running_console() as (platform, open_browser):
                await test(platform, open_browser)

        asyncio.run(run_with_console())

    run.__name__ = test.__name__
    run.__doc__ = test.__doc__
    return run
