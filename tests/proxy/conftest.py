"""Runs each ``async`` test on its own event loop, with a timeout."""

import asyncio
import inspect

import pytest

# No passing test takes several seconds.
_TIMEOUT_SECONDS = 20


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem):
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    names = pyfuncitem._fixtureinfo.argnames
    arguments = {name: pyfuncitem.funcargs[name] for name in names}

    async def run_with_timeout():
        async with asyncio.timeout(_TIMEOUT_SECONDS):
            await pyfuncitem.obj(**arguments)

    asyncio.run(run_with_timeout())
    return True
