"""How a starting instance finds the others."""

import asyncio
from collections.abc import Sequence

from ..membership.home_elector import HomeElector
from ..platform.members import MemberRegistration
from ..tasks import first_true


async def join(
    announcement: MemberRegistration, elector: HomeElector, seeds: Sequence[str]
) -> None:
    """Find members, and keep a home from then on, until cancelled.

    Seeds alone may know too few members for an election, but one that follows
    a home can be believed, and needs no store. What answers first counts.
    """
    announcing = asyncio.create_task(announcement.register())
    finding = asyncio.create_task(elector.find_home(seeds))
    if not await first_true((announcing, finding)):
        await elector.fetch_members(seeds)
    await asyncio.gather(_announce(announcing, announcement), elector.run())


async def _announce(
    first: 'asyncio.Task[bool]', announcement: MemberRegistration
) -> None:
    if not await first:
        await announcement.register_until_written()
