"""Runs ``async`` tests, each on an event loop of its own."""

import asyncio
import inspect

import pytest

# Nothing in these tests takes seconds when it works.
_LIMIT_SECONDS = 20


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem):
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    names = pyfuncitem._fixtureinfo.argnames
    arguments = {name: pyfuncitem.funcargs[name] for name in names}

    async def bounded():
        async with asyncio.timeout(_LIMIT_SECONDS):
            await pyfuncitem.obj(**arguments)

    asyncio.run(bounded())
    return True
