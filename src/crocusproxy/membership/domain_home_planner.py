"""Appoints the domain homes and replaces those that are lost or leave."""

import asyncio
from collections import Counter
from collections.abc import Collection, Iterable, Sequence

from ..protocol.home_feed import DomainHomes, Member, MemberView
from .catalog import Catalog
from .domain_homes import (
    DomainHomeTable,
    assign_domain_homes,
    count_slots,
    replace_lost,
)
from .home_elector import HomeElector
from .reach_judge import ReachJudge

CHECK_INTERVAL_SECONDS = 0.2
#: A domain home counts as lost after this many failed queries in a row.
MAX_FAILED_QUERIES = 2
#: If most queries fail at once, this instance is probably overloaded or cut off
#: itself. Failures then count only after this many checks in a row, unless
#: followers respond. Without them, a loss of all domain homes took 6 s.
MAX_ISOLATED_CHECKS = 6
_MIN_ISOLATED_FAILURES = 2
#: Followers of each failure domain that are queried in case of doubt.
QUERIED_FOLLOWERS_PER_DOMAIN = 2
#: Attempts per check to appoint members that are neither lost nor cut off.
#: After these, the failure domains go to members that are known to work.
MAX_APPOINTMENTS = 4
#: The same while a member is known that reaches upstreams and can be used at
#: once in place of one that does not.
MAX_APPOINTMENTS_WITH_PROVEN = 2
#: Others are tried first for this time. The best members would otherwise be
#: queried again in each check while they are frozen, and no others.
LOST_MEMORY_SECONDS = 5.0


class DomainHomePlanner:
    """Runs at the home; the feed distributes the assignment.

    ``failed_queries`` counts the failed queries in a row by member name,
    ``isolated_checks`` the checks in a row in which most queries failed.
    ``judge`` knows the members that are cut off from upstreams. Members that
    were to be appointed but did not respond are in ``lost_until``.
    """

    def __init__(
        self,
        elector: HomeElector,
        catalog: Catalog,
        table: DomainHomeTable,
        judge: ReachJudge,
    ) -> None:
        self.judge = judge
        self.elector = elector
        self.catalog = catalog
        self.table = table
        self.failed_queries: Counter[str] = Counter()
        self.isolated_checks = 0
        self.lost_until: dict[Member, float] = {}

    async def run(self) -> None:
        """Check the domain homes periodically, until cancelled."""
        while True:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            await self.check()

    async def check(self) -> None:
        """Query the domain homes once and update the assignment.

        Without a complete list of upstreams, which needs the store, lost
        domain homes are still replaced: callers would be sent to them.
        """
        present = self.table.others(self.elector.member_list.own.name)
        views = await self._query(present)
        unusable = (
            set()
            if await self._is_probably_isolated(present, views)
            else self._find_unusable(present, views, MAX_FAILED_QUERIES)
        )
        if not self.catalog.is_complete:
            # An unchanged assignment is not applied: it may be older than
            # the one in the store, which is read later.
            if unusable:
                self.table.apply(replace_lost(self.table.assignment, unusable))
            return
        await self._compare_reach(present, views)
        await self.judge.recheck()
        self.table.apply(await self._appoint(present, unusable))

    async def _appoint(
        self, present: Sequence[Member], unusable: set[str]
    ) -> DomainHomes:
        """Return an assignment whose new members have been tried."""
        unusable = unusable | self._lately_lost(present)
        for _ in range(
            MAX_APPOINTMENTS_WITH_PROVEN
            if self.judge.proven()
            else MAX_APPOINTMENTS
        ):
            assignment = self._assign(present, unusable)
            lost = await self._find_lost(assignment, present)
            if not lost:
                return assignment
            unusable |= lost
        domains = {
            home.failure_domain
            for home in assignment.homes
            if home.member.name in lost
        }
        return self._assign(present, unusable | self._untried(present, domains))

    def _untried(
        self, present: Iterable[Member], domains: Collection[str]
    ) -> set[str]:
        """Return the members of failure domains that nothing is known of."""
        known_names = {member.name for member in present}
        known_names.add(self.elector.member_list.own.name)
        known_names.update(self.judge.proven())
        return {
            member.name
            for member in self._available(present)
            if member.failure_domain in domains
            and member.name not in known_names
        }

    def _lately_lost(self, present: Iterable[Member]) -> set[str]:
        """Return the members that were lost when they were to be appointed."""
        now = self.elector.clock.monotonic().total_seconds()
        self.lost_until = {
            member: until
            for member, until in self.lost_until.items()
            if until > now
        }
        lost_names = {member.name for member in self.lost_until}
        return lost_names.difference(member.name for member in present)

    async def _compare_reach(
        self,
        present: Sequence[Member],
        views: Sequence[MemberView | None],
    ) -> None:
        """Compare dispatching members that may be cut off with others."""
        own_view = self.elector.view()
        dispatches = not self.table.assignment.homes or any(
            home.member.name == own_view.member.name
            for home in self.table.assignment.homes
        )
        own_views = (own_view,) if dispatches else ()
        suspects = {
            view.member: view.unreached
            for view in (*views, *own_views)
            if view is not None and view.unreached
        }
        await self.judge.compare_all(
            suspects,
            self._available(present),
            self.elector.member_list.all(),
        )

    async def _find_lost(
        self, assignment: DomainHomes, present: Sequence[Member]
    ) -> set[str]:
        """Return newly appointed members that are lost or cut off.

        The feed to a lost member can stay open for long, so a member is
        queried before it is appointed.
        """
        appointed = self._newly_appointed(assignment, present)
        lost = self._find_unusable(
            appointed, await self._query(appointed), max_failures=1
        )
        lost_before = lost | self._lately_lost(present)
        excluded = await self.judge.exclude_cut_off(
            [member for member in appointed if member.name not in lost],
            [
                member
                for member in self._available(present)
                if member.name not in lost_before
            ],
        )
        self._remember_lost(lost | excluded.difference(self.judge.cut_off))
        return lost | excluded

    def _remember_lost(self, names: Collection[str]) -> None:
        until = self.elector.clock.monotonic().total_seconds()
        until += LOST_MEMORY_SECONDS
        for member in self.elector.member_list.all():
            if member.name in names:
                self.lost_until[member] = until

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

    async def _is_probably_isolated(
        self,
        present: Sequence[Member],
        views: Sequence[MemberView | None],
    ) -> bool:
        """Return whether failures are likely to be those of this instance."""
        failures = views.count(None)
        if failures < _MIN_ISOLATED_FAILURES or 2 * failures <= len(views):
            self.isolated_checks = 0
            return False
        self.isolated_checks += 1
        return (
            self.isolated_checks <= MAX_ISOLATED_CHECKS
            and not await self._followers_respond(present)
        )

    async def _followers_respond(self, present: Sequence[Member]) -> bool:
        """Return whether most of the queried followers respond.

        Different ones are queried in each check.
        """
        followers: dict[str, list[Member]] = {}
        for member in self.elector.member_list.others():
            if member.name in self.elector.server.followers:
                domain_followers = followers.setdefault(
                    member.failure_domain, []
                )
                domain_followers.append(member)
        first = self.isolated_checks * QUERIED_FOLLOWERS_PER_DOMAIN
        queried = [
            domain_followers[(first + number) % len(domain_followers)]
            for domain_followers in followers.values()
            for number in range(QUERIED_FOLLOWERS_PER_DOMAIN)
        ]
        views = await self._query(
            [one for one in dict.fromkeys(queried) if one not in present]
        )
        return len(views) > 1 and 2 * views.count(None) < len(views)

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
        """Assign domains to members that are not ``unusable``."""
        evacuated = self.catalog.evacuated
        return assign_domain_homes(
            self.table.assignment,
            [
                member
                for member in self._available(present)
                if member.name not in unusable
            ],
            self.elector.member_list.own.name,
            count_slots(self.catalog.upstreams.values(), evacuated),
            self.judge.cut_off,
            evacuated,
            self.judge.proven(),
        )

    def _available(self, present: Iterable[Member]) -> list[Member]:
        """Return this member, its followers and present domain homes.

        Others follow a domain home; they are used once they have shown that
        they reach upstreams.
        """
        member_list = self.elector.member_list
        names = {member_list.own.name, *self.elector.server.followers}
        names.update(member.name for member in present)
        names.update(self.judge.proven())
        return [member for member in member_list.all() if member.name in names]
