"""Hypothesis profiles, event loops and connections of all tests.

By default the examples are the same in each run; ``make search`` generates
random ones instead.
"""

import asyncio
import inspect
import os
from collections import defaultdict

import pytest
from hypothesis import settings

# No passing test that is an async function takes several seconds.
_TIMEOUT_SECONDS = 20

settings.register_profile('repeatable', derandomize=True, deadline=None)
settings.register_profile('search', deadline=None, print_blob=True)
settings.load_profile(os.environ.get('HYPOTHESIS_PROFILE', 'repeatable'))


@pytest.fixture(autouse=True)
def _owned_connections(monkeypatch):
    """Close the connections of a test before its event loop closes.

    From Python 3.11.5 on, a StreamWriter that is deleted later closes its
    transport, which raises an error once the loop is closed.
    """
    writers = defaultdict(list)
    create = asyncio.StreamWriter.__init__
    close_loop = asyncio.SelectorEventLoop.close

    def create_owned(writer, *args, **options):
        create(writer, *args, **options)
        writers[asyncio.get_running_loop()].append(writer)

    def close_owned(loop):
        for writer in writers.pop(loop, ()):
            writer.transport.abort()
        # Lets the aborted transports close their sockets. A loop that nobody
        # has closed may be deleted while another one runs.
        if not loop.is_closed() and asyncio._get_running_loop() is None:
            loop.run_until_complete(asyncio.sleep(0))
        close_loop(loop)

    monkeypatch.setattr(asyncio.StreamWriter, '__init__', create_owned)
    monkeypatch.setattr(asyncio.SelectorEventLoop, 'close', close_owned)


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem):
    """Run an ``async`` test on its own event loop, with a timeout."""
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    names = pyfuncitem._fixtureinfo.argnames
    arguments = {name: pyfuncitem.funcargs[name] for name in names}

    async def run_with_timeout():
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            await pyfuncitem.obj(**arguments)

    asyncio.run(run_with_timeout())
    return True
