"""Appoints the domain homes and replaces those that are lost or leave."""

import asyncio
from collections import Counter
from collections.abc import Iterable, Sequence

from ..protocol.home_feed import DomainHomes, Member, MemberView
from .catalog import Catalog
from .domain_homes import DomainHomeTable, assign_domain_homes, count_slots
from .home_elector import HomeElector

CHECK_INTERVAL_SECONDS = 0.2
#: A domain home counts as lost after this many failed queries in a row.
MAX_FAILED_QUERIES = 2
#: If most queries fail at once, this instance is probably overloaded or cut off
#: itself. Failures then count only after this many checks in a row.
MAX_DOUBTFUL_CHECKS = 6
_MIN_DOUBTFUL_FAILURES = 2


class DomainHomePlanner:
    """Runs at the home; the feed distributes the assignment.

    ``failed_queries`` counts the failed queries in a row by member name,
    ``doubtful_checks`` the checks in a row in which most queries failed.
    """

    def __init__(
        self, elector: HomeElector, catalog: Catalog, table: DomainHomeTable
    ) -> None:
        self.elector = elector
        self.catalog = catalog
        self.table = table
        self.failed_queries: Counter[str] = Counter()
        self.doubtful_checks = 0

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
        views = await self._query(present)
        unusable = (
            set()
            if self._is_doubtful(views)
            else self._find_unusable(present, views, MAX_FAILED_QUERIES)
        )
        assignment = self._assign(present, unusable)
        # The feed to a lost member can stay open for long, so a member is
        # queried before it is appointed.
        appointed = self._newly_appointed(assignment, present)
        lost = self._find_unusable(
            appointed, await self._query(appointed), max_failures=1
        )
        if lost:
            assignment = self._assign(present, unusable | lost)
        self.table.apply(assignment)

    async def _query(
        self, members: Sequence[Member]
    ) -> Sequence[MemberView | None]:
        return await asyncio.gather(
            *(self.elector.query_view(member) for member in members)
        )

    def _newly_appointed(
        self, assignment: DomainHomes, present: Sequence[Member]
    ) -> tuple[Member, ...]:
        known_names = {member.name for member in present}
        known_names.add(self.elector.member_list.own.name)
        appointed = {home.member.name: home.member for home in assignment.homes}
        return tuple(
            member
            for name, member in appointed.items()
            if name not in known_names
        )

    def _is_doubtful(self, views: Sequence[MemberView | None]) -> bool:
        """Return whether failures are likely to be those of this instance."""
        failures = views.count(None)
        is_doubtful = failures >= _MIN_DOUBTFUL_FAILURES and 2 * failures > len(
            views
        )
        self.doubtful_checks = self.doubtful_checks + 1 if is_doubtful else 0
        return 0 < self.doubtful_checks <= MAX_DOUBTFUL_CHECKS

    def _find_unusable(
        self,
        members: Sequence[Member],
        views: Sequence[MemberView | None],
        max_failures: int,
    ) -> set[str]:
        """Return the names of members that are lost or leave."""
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
