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

    An election needs the list of members in the store, as the seeds may know
    too few members. No election is needed if a seed follows a home. The store
    and the seeds are queried concurrently, and the first success is enough. If
    both fail, the election starts with the members that the seeds know.
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
