"""Appoints the domain homes and replaces those that are lost or leave."""

import asyncio
from collections import Counter
from collections.abc import Iterable

from ..protocol.home_feed import DomainHomes, Member, MemberView
from .catalog import Catalog
from .domain_homes import DomainHomeTable, assign_domain_homes, count_slots
from .home_elector import HomeElector

CHECK_INTERVAL_SECONDS = 0.2
#: A domain home counts as lost after this many failed queries in a row.
MAX_FAILED_QUERIES = 2


class DomainHomePlanner:
    """Runs at the home; the feed distributes the assignment.

    ``failed_queries`` counts the failed queries in a row by member name.
    """

    def __init__(
        self, elector: HomeElector, catalog: Catalog, table: DomainHomeTable
    ) -> None:
        self.elector = elector
        self.catalog = catalog
        self.table = table
        self.failed_queries: Counter[str] = Counter()

    async def run(self) -> None:
        """Check the domain homes periodically, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            await self.check()

    async def check(self) -> None:
        """Query the domain homes once and update the assignment."""
        if not self.catalog.is_complete:
            return
        present = self.table.others(self.elector.member_list.own.name)
        unusable = await self._find_unusable(present, MAX_FAILED_QUERIES)
        assignment = self._assign(present, unusable)
        # The feed to a lost member can stay open for long, so a member is
        # queried before it is appointed.
        names = {member.name for member in present}
        appointed = {
            home.member.name: home.member
            for home in assignment.homes
            if home.member.name not in names
        }
        own_name = self.elector.member_list.own.name
        appointed.pop(own_name, None)
        lost = await self._find_unusable(appointed.values(), max_failures=1)
        if lost:
            assignment = self._assign(present, unusable | lost)
        self.table.apply(assignment)

    async def _find_unusable(
        self, members: Iterable[Member], max_failures: int
    ) -> set[str]:
        """Return the names of members that are lost or leave."""
        members = tuple(members)
        views = await asyncio.gather(
            *(self.elector.query_view(member) for member in members)
        )
        return {
            member.name
            for member, view in zip(members, views, strict=True)
            if self._is_unusable(member, view, max_failures)
        }

    def _is_unusable(
        self, member: Member, view: MemberView | None, max_failures: int
    ) -> bool:
        if view is None:
            self.failed_queries[member.name] += 1
            return self.failed_queries[member.name] >= max_failures
        self.failed_queries.pop(member.name, None)
        return view.state == 'leaving'

    def _assign(
        self, present: Iterable[Member], unusable: set[str]
    ) -> DomainHomes:
        """Assign domains to this member, its followers and present homes."""
        own = self.elector.member_list.own
        names = {own.name, *self.elector.server.followers}
        names.update(member.name for member in present)
        members = [
            member
            for member in self.elector.member_list.all()
            if member.name in names - unusable
        ]
        return assign_domain_homes(
            self.table.assignment,
            members,
            own.name,
            count_slots(self.catalog.upstreams.values()),
        )
