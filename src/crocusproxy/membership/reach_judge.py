"""Decides which members are cut off from upstreams that others reach.

A member that dispatches and can't connect to many upstreams either is cut off
or sees that the upstreams are down. Others that try the same upstreams at the
same moment tell the two apart.
"""

import asyncio
from collections.abc import Callable, Collection, Iterable, Mapping, Sequence
from itertools import chain
from random import Random

from ..clock import Clock
from ..logs import log
from ..protocol.home_feed import Member
from .reach_search import (
    AskReach,
    Keys,
    ReachSearch,
    best_counts,
    reaches_more,
    search_order,
)

#: Upstreams that each member of a comparison tries.
MAX_TRIED_UPSTREAMS = 6
#: Members that are cut off and try again at once, and possible successors that
#: try together with an appointed member.
MAX_RETRYING_MEMBERS = 8
#: Pause after a search in which no member reached more.
COMPARE_INTERVAL_SECONDS = 0.5
#: The pause is longer after a long search, so that upstreams that are down
#: cause no more queries a second than this on average.
MAX_FRUITLESS_QUERIES_PER_SECOND = 128
#: A search that has had no round for this time is ended as outdated.
SEARCH_VALIDITY_SECONDS = 2.0
#: Interval at which members that are cut off try again.
RECHECK_INTERVAL_SECONDS = 1.0
#: A member that has just reached upstreams need not try again.
PASS_VALIDITY_SECONDS = 1.0
#: Members of one failure domain that must all be cut off for it to count as cut
#: off as a whole.
MIN_DOMAIN_SAMPLE = 3
#: Members in a log line about a search, those that reached most.
MAX_LOGGED_MEMBERS = 16


class ReachJudge:
    """Keeps the members that are cut off, with the upstreams they can't reach.

    ``cut_off`` is keyed by member name, as are ``compare_at``, the time of the
    next comparison, ``passed_at``, when a member last reached upstreams, and
    ``searches``, the comparisons under way, with the times of their latest
    rounds in ``searched_at``. ``find_triable`` returns the upstreams that may
    be tried now.
    """

    def __init__(
        self,
        ask: AskReach,
        find_triable: Callable[[], Collection[str]],
        clock: Clock,
        random: Random,
    ) -> None:
        self.ask = ask
        self.find_triable = find_triable
        self.clock = clock
        self.random = random
        self.cut_off: dict[str, tuple[Member, Keys]] = {}
        self.compare_at: dict[str, float] = {}
        self.passed_at: dict[str, float] = {}
        self.searches: dict[str, ReachSearch] = {}
        self.searched_at: dict[str, float] = {}
        self.recheck_at = float()

    def proven(self) -> frozenset[str]:
        """Return the names of the members that have just reached upstreams."""
        earliest = self._now() - PASS_VALIDITY_SECONDS
        return frozenset(
            name
            for name, passed_at in self.passed_at.items()
            if passed_at >= earliest
        )

    async def compare_all(
        self,
        suspects: Mapping[Member, Sequence[str]],
        followers: Collection[Member],
        members: Collection[Member],
    ) -> None:
        """Find out whether ``members`` reach what suspects do not.

        ``suspects`` have the upstreams that they can't reach. Each call asks
        further members, ``followers`` of this one first; only one search at a
        time has large rounds.
        """
        self._end_old_searches()
        for suspect, unreached in suspects.items():
            self._begin_search(suspect, unreached, followers, members)
        active = [
            self.searches[suspect.name]
            for suspect in suspects
            if suspect.name in self.searches
        ]
        await asyncio.gather(
            *(
                search.run_round(self.proven(), may_grow=search is active[0])
                for search in active
            )
        )
        for search in active:
            self.searched_at[search.suspect.name] = self._now()
            self._conclude(search, followers)

    async def recheck(self) -> None:
        """Let members that were cut off try again, from time to time."""
        if not self.cut_off or self._now() < self.recheck_at or self.searches:
            return
        entries = list(self.cut_off.values())[:MAX_RETRYING_MEMBERS]
        for member, evidence in entries:
            # The next ones are others, until all have tried again.
            self.cut_off.pop(member.name)
            self.cut_off[member.name] = (member, evidence)
        tried = [self._keys_to_try(evidence) for _, evidence in entries]
        reports = await asyncio.gather(
            *(
                self.ask(member, keys)
                for (member, _), keys in zip(entries, tried, strict=True)
            )
        )
        self.recheck_at = self._now() + RECHECK_INTERVAL_SECONDS
        for (member, _), keys, report in zip(
            entries, tried, reports, strict=True
        ):
            # One that can't be asked is no follower either. It is tried again
            # before it gets a role.
            if report is None or reaches_more(len(report), 0, len(keys)):
                self.cut_off.pop(member.name, None)
                # It may be able to replace one that still is cut off.
                self.compare_at.clear()
                log('member_reaches_upstreams', member=member.name)

    async def exclude_cut_off(
        self, appointed: Sequence[Member], members: Iterable[Member]
    ) -> set[str]:
        """Let members try before they dispatch; return those cut off.

        The best others of their failure domains try at the same time, in case
        that the appointed ones are cut off. Nobody is asked unless some member
        is cut off.
        """
        if not self.cut_off:
            return set()
        evidence = chain.from_iterable(
            keys for _, keys in self.cut_off.values()
        )
        keys = self._keys_to_try(tuple(dict.fromkeys(evidence)))
        proven = self.proven()
        untried = [member for member in appointed if member.name not in proven]
        asked = self._with_successors(untried, members)
        reports = await asyncio.gather(
            *(self.ask(member, keys) for member in asked)
        )
        excluded = set()
        for member, report in zip(asked, reports, strict=True):
            if report is None:
                excluded.add(member.name)
            elif reaches_more(len(report), 0, len(keys)):
                self.passed_at[member.name] = self._now()
            else:
                excluded.add(member.name)
                self._mark(member, keys)
        return excluded

    def _end_old_searches(self) -> None:
        earliest = self._now() - SEARCH_VALIDITY_SECONDS
        for name, search in tuple(self.searches.items()):
            if self.searched_at[name] < earliest:
                search.cancel()
                self.searches.pop(name)

    def _begin_search(
        self,
        suspect: Member,
        unreached: Sequence[str],
        followers: Iterable[Member],
        members: Iterable[Member],
    ) -> None:
        now = self._now()
        is_due = now >= self.compare_at.get(suspect.name, 0)
        if suspect.name in self.searches or not is_due:
            return
        triable = set(self.find_triable())
        keys = self._sample([key for key in unreached if key in triable])
        if not keys:
            return
        evidence = {
            name: tuple(triable.intersection(past_keys))
            for name, (_, past_keys) in self.cut_off.items()
        }
        order = search_order(
            suspect, followers, members, self.cut_off, self.random
        )
        self.searches[suspect.name] = ReachSearch(
            suspect, keys, order, evidence, self.ask
        )
        self.searched_at[suspect.name] = now

    def _conclude(
        self, search: ReachSearch, followers: Collection[Member]
    ) -> None:
        """Mark the members that a search has shown to be cut off."""
        able = search.able()
        if not (able or search.is_unaskable or search.is_exhausted):
            return
        suspect = search.suspect
        self.searches.pop(suspect.name)
        search.cancel()
        pause = max(
            COMPARE_INTERVAL_SECONDS,
            len(search.asked) / MAX_FRUITLESS_QUERIES_PER_SECOND,
        )
        self.compare_at[suspect.name] = self._now() + pause
        own_result = search.own_result()
        if own_result is None:
            # A member that can't be asked is replaced as a lost one.
            return
        log(
            'upstream_reach_compared',
            member=suspect.name,
            tried=len(search.keys),
            reached=len(own_result),
            asked=len(search.asked),
            reached_by=best_counts(search.reports(), MAX_LOGGED_MEMBERS),
        )
        if not able:
            return
        for member in able:
            self.passed_at[member.name] = self._now()
            self.cut_off.pop(member.name, None)
        self._mark(suspect, search.keys)
        for member in search.unable():
            self._mark(member, search.keys)
        self._mark_domain(
            suspect, search.asked.values(), followers, search.keys
        )

    def _with_successors(
        self, appointed: Sequence[Member], members: Iterable[Member]
    ) -> tuple[Member, ...]:
        """Return members and the best others of their failure domains."""
        asked = {member.name: member for member in appointed}
        by_rank = sorted(members, key=lambda member: member.rank)
        for one in appointed:
            successors = [
                member
                for member in by_rank
                if member.failure_domain == one.failure_domain
                and member.name not in self.cut_off
            ]
            for member in successors[:MAX_RETRYING_MEMBERS]:
                asked[member.name] = member
        return tuple(asked.values())

    def _mark_domain(
        self,
        suspect: Member,
        compared: Iterable[Member],
        members: Iterable[Member],
        keys: Keys,
    ) -> None:
        """Mark a whole failure domain if all of its compared members are."""
        domain = suspect.failure_domain
        sample = [one for one in compared if one.failure_domain == domain]
        if len(sample) < MIN_DOMAIN_SAMPLE - 1:
            return
        if all(member.name in self.cut_off for member in sample):
            for member in members:
                if member.failure_domain == domain:
                    self._mark(member, keys)

    def _mark(self, member: Member, keys: tuple[str, ...]) -> None:
        if member.name not in self.cut_off:
            log('member_cut_off', member=member.name)
        self.cut_off[member.name] = (member, keys)

    def _keys_to_try(self, evidence: Sequence[str]) -> Keys:
        """Return upstreams to try: those of the evidence that still may be.

        Others fill up the number, as the evidence may be gone by now.
        """
        triable = self.find_triable()
        keys = self._sample([key for key in evidence if key in triable])
        others = [key for key in triable if key not in evidence]
        missing_count = min(MAX_TRIED_UPSTREAMS - len(keys), len(others))
        return (*keys, *self.random.sample(others, missing_count))

    def _sample(self, keys: Sequence[str]) -> Keys:
        count = min(len(keys), MAX_TRIED_UPSTREAMS)
        return tuple(self.random.sample(list(keys), count))

    def _now(self) -> float:
        return self.clock.monotonic().total_seconds()
