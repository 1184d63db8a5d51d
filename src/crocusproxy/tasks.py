"""Helpers for several tasks at once."""

import asyncio
from collections.abc import Iterable


async def first_true(tasks: Iterable[asyncio.Task[bool]]) -> bool:
    """Return True as soon as one task does, and False if none does."""
    for next_answer in asyncio.as_completed(tuple(tasks)):
        if await next_answer:
            return True
    return False
