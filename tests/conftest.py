"""Runs test functions that are coroutines."""

import asyncio
import inspect

import pytest

HANG_S = 120.0


@pytest.hookimpl(tryfirst=True)
def pytest_pyfunc_call(pyfuncitem):
    if not inspect.iscoroutinefunction(pyfuncitem.obj):
        return None
    names = pyfuncitem._fixtureinfo.argnames
    arguments = {name: pyfuncitem.funcargs[name] for name in names}
    asyncio.run(_run(pyfuncitem.obj(**arguments)))
    return True


async def _run(test):
    # A condition that never comes fails the test instead of holding up the rest.
    async with asyncio.timeout(HANG_S):
        await test
