"""Queries of seeds, the members whose addresses a start already has."""

import asyncio
from collections.abc import Iterable
from enum import IntEnum

from ..errors import NotReachableError
from ..logs import log
from ..protocol.codec import MalformedMessageError
from .domain_homes import DomainHomeTable
from .member_client import MemberClient
from .member_list import MemberList


class HomeSearch(IntEnum):
    """What the seeds of a starting member know."""

    UNREACHABLE = 0
    SEARCHING = 1
    FOUND = 2


class SeedQueries:
    """Finds the home and the other members through seeds."""

    def __init__(
        self,
        client: MemberClient,
        member_list: MemberList,
        domain_homes: DomainHomeTable,
    ) -> None:
        self.client = client
        self.member_list = member_list
        self.domain_homes = domain_homes

    async def find_home(
        self, addresses: Iterable[str], *, may_wait: bool = False
    ) -> HomeSearch:
        """Query seeds concurrently until one reports another member as home.

        With ``may_wait``, a seed that is searching itself waits briefly. The
        seed and the home are added to the member list, and the domain homes
        are taken over if none are known.
        """
        tasks = [
            asyncio.create_task(self._query_home(address, may_wait=may_wait))
            for address in addresses
        ]
        search = HomeSearch.UNREACHABLE
        for next_search in asyncio.as_completed(tasks):
            search = max(search, await next_search)
            if search is HomeSearch.FOUND:
                break
        for task in tasks:
            task.cancel()
        return search

    async def fetch_members(self, addresses: Iterable[str]) -> None:
        """Merge the member lists of the instances at ``addresses``."""
        await asyncio.gather(*map(self._fetch_from, addresses))

    async def _fetch_from(self, address: str) -> None:
        try:
            self.member_list.merge(await self.client.members(address))
        except (NotReachableError, MalformedMessageError) as error:
            log('seed_not_reached', address=address, error=str(error))

    async def _query_home(self, address: str, *, may_wait: bool) -> HomeSearch:
        own = self.member_list.own
        try:
            view = await self.client.view(address, own, may_wait=may_wait)
        except (NotReachableError, MalformedMessageError) as error:
            log('seed_not_reached', address=address, error=str(error))
            return HomeSearch.UNREACHABLE
        if view.home is None or view.home.name == self.member_list.own.name:
            return HomeSearch.SEARCHING
        self.member_list.merge((view.member, view.home))
        if view.domain_homes is not None and not self.domain_homes.is_known:
            self.domain_homes.apply(view.domain_homes)
        return HomeSearch.FOUND
