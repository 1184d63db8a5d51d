"""Helpers for concurrent tasks."""

import asyncio
from collections.abc import Iterable


async def first_true(tasks: Iterable[asyncio.Task[bool]]) -> bool:
    """Return True as soon as one task does, or False if none does."""
    for next_result in asyncio.as_completed(tuple(tasks)):
        if await next_result:
            return True
    return False
