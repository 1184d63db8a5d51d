"""Discovery of the other instances during the start."""

import asyncio
from collections.abc import Sequence

from ..membership.home import HomeElector
from ..platform.members import Announcement
from ..tasks import first_true


async def join(
    announcement: Announcement, elector: HomeElector, seeds: Sequence[str]
) -> None:
    """Find the other members, then take part in elections until cancelled.

    Seeds alone may know too few members for an election. A seed that follows a
    home is sufficient, and needs no store, so the store and the seeds are
    queried concurrently and the first success counts.
    """
    announcement_task = asyncio.create_task(announcement.try_once())
    find_home_task = asyncio.create_task(elector.find_home(seeds))
    if not await first_true((announcement_task, find_home_task)):
        await elector.fetch_members(seeds)
    await asyncio.gather(
        _announce(announcement_task, announcement), elector.run()
    )


async def _announce(
    first_attempt: 'asyncio.Task[bool]', announcement: Announcement
) -> None:
    if not await first_attempt:
        await announcement.repeat()
