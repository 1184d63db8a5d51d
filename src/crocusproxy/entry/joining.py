"""Discovery of the other instances during the start."""

import asyncio
from collections.abc import Sequence

from ..membership.home_elector import HomeElector
from ..platform.members import MemberRegistration
from ..tasks import first_true


async def join(
    registration: MemberRegistration, elector: HomeElector, seeds: Sequence[str]
) -> None:
    """Find the other members, then take part in elections until cancelled.

    Seeds alone may know too few members for an election. A seed that follows a
    home is sufficient, and needs no store, so the store and the seeds are
    queried concurrently and the first success counts.
    """
    registration_task = asyncio.create_task(registration.register())
    find_home_task = asyncio.create_task(elector.find_home(seeds))
    if not await first_true((registration_task, find_home_task)):
        await elector.fetch_members(seeds)
    await asyncio.gather(
        _register(registration_task, registration), elector.run()
    )


async def _register(
    first_attempt: 'asyncio.Task[bool]', registration: MemberRegistration
) -> None:
    if not await first_attempt:
        await registration.register_until_written()
