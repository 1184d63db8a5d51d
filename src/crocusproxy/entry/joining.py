"""Discovery of the other instances during the start."""

import asyncio
from collections.abc import Sequence
from datetime import timedelta

from ..clock import Clock
from ..membership.home_elector import HomeElector
from ..membership.seeds import HomeSearch
from ..platform.members import MemberRegistration
from ..tasks import first_true

#: How long an instance waits for a seed that is searching for the home itself.
#: If all instances start at once, most of them then need no call to the store.
MAX_SEED_WAIT = timedelta(milliseconds=500)


async def join(
    registration: MemberRegistration,
    elector: HomeElector,
    seeds: Sequence[str],
    own_seed: str,
    clock: Clock,
) -> None:
    """Find the other members, then take part in elections until cancelled.

    An election needs the list of members in the store, as the seeds may know
    too few members. Neither the list nor an election is needed if a seed
    follows a home. ``own_seed`` is the address under which this instance would
    be a seed; a seed does not wait for other seeds.
    """
    others = [seed for seed in seeds if seed != own_seed]
    wait = timedelta() if own_seed in seeds else MAX_SEED_WAIT
    if await _find_home(elector, others, clock, wait):
        await elector.run()
        return
    await _join_by_store(registration, elector, others)


async def _find_home(
    elector: HomeElector,
    seeds: Sequence[str],
    clock: Clock,
    wait: timedelta,
) -> bool:
    """Query the seeds until one has a home, none responds or time is up."""
    ends_at = clock.monotonic() + wait
    while clock.monotonic() < ends_at:
        match await elector.seeds.find_home(seeds, may_wait=True):
            case HomeSearch.FOUND:
                return True
            case HomeSearch.UNREACHABLE:
                return False
    return False


async def _join_by_store(
    registration: MemberRegistration,
    elector: HomeElector,
    seeds: Sequence[str],
) -> None:
    """Register in the store, and query the seeds once more meanwhile.

    The first success is enough for an election. If both fail, it starts with
    the members that the seeds know.
    """
    registration_task = asyncio.create_task(registration.register())
    seed_task = asyncio.create_task(_is_found(elector, seeds))
    if not await first_true((registration_task, seed_task)):
        await elector.seeds.fetch_members(seeds)
    await asyncio.gather(
        _register(registration_task, registration), elector.run()
    )


async def _is_found(elector: HomeElector, seeds: Sequence[str]) -> bool:
    return await elector.seeds.find_home(seeds) is HomeSearch.FOUND


async def _register(
    first_attempt: 'asyncio.Task[bool]', registration: MemberRegistration
) -> None:
    if not await first_attempt:
        await registration.register_until_written()
