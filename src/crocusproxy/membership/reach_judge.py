"""Decides which members are cut off from upstreams that others reach.

A member that dispatches and can't connect to many upstreams either is cut off
or sees that the upstreams are down. Others that try the same upstreams at the
same moment tell the two apart.
"""

import asyncio
from collections.abc import (
    Awaitable,
    Callable,
    Collection,
    Iterable,
    Sequence,
)
from itertools import chain, zip_longest
from math import inf
from random import Random

from ..clock import Clock
from ..logs import log
from ..protocol.home_feed import Member

#: Upstreams that each member of a comparison tries.
MAX_TRIED_UPSTREAMS = 6
#: Members that are compared with one that may be cut off.
MAX_COMPARED_MEMBERS = 8
#: Share of the upstreams by which another member must reach more.
MIN_GAIN_SHARE = 0.5
#: Pause after a comparison in which no member reached more.
COMPARE_INTERVAL_SECONDS = 0.5
#: Interval at which members that are cut off try again.
RECHECK_INTERVAL_SECONDS = 1.0
#: A member that has just reached upstreams need not try again.
PASS_VALIDITY_SECONDS = 1.0
#: Members of one failure domain that must all be cut off for it to count as cut
#: off as a whole.
MIN_DOMAIN_SAMPLE = 3

Keys = tuple[str, ...]
#: Lets a member try upstreams and returns the keys of those that it reached,
#: None if the member can't be asked.
AskReach = Callable[[Member, Keys], Awaitable[frozenset[str] | None]]


class ReachJudge:
    """Keeps the members that are cut off, with the upstreams they can't reach.

    ``cut_off`` is keyed by member name, as are ``compare_at``, the time of the
    next comparison, and ``passed_at``, when a member last reached more than
    another. ``find_triable`` returns the upstreams that may be tried now.
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
        self.recheck_at = float()

    async def compare(
        self,
        suspect: Member,
        unreached: Sequence[str],
        members: Iterable[Member],
    ) -> None:
        """Find out whether ``members`` reach what ``suspect`` does not."""
        if self._now() < self.compare_at.get(suspect.name, 0):
            return
        triable = set(self.find_triable())
        keys = self._sample([key for key in unreached if key in triable])
        if not keys:
            return
        compared = self._compared_members(suspect, members)
        own_result, *reports = await asyncio.gather(
            *(self.ask(member, keys) for member in (suspect, *compared))
        )
        self.compare_at[suspect.name] = self._now() + COMPARE_INTERVAL_SECONDS
        if own_result is None:
            # A member that can't be asked is replaced as a lost one.
            return
        able = {
            member.name
            for member, report in zip(compared, reports, strict=True)
            if report is not None
            and _reaches_more(len(report), len(own_result), len(keys))
        }
        log(
            'upstream_reach_compared',
            member=suspect.name,
            tried=len(keys),
            reached=len(own_result),
            reached_by={
                member.name: None if report is None else len(report)
                for member, report in zip(compared, reports, strict=True)
            },
        )
        if not able:
            return
        self.passed_at.update(dict.fromkeys(able, self._now()))
        self._mark(suspect, keys)
        for member, report in zip(compared, reports, strict=True):
            if report is not None and member.name not in able:
                self._mark(member, keys)
        self._mark_domain(suspect, compared, members, keys)

    async def recheck(self) -> None:
        """Let members that were cut off try again, from time to time."""
        if not self.cut_off or self._now() < self.recheck_at:
            return
        entries = self.random.sample(
            list(self.cut_off.values()),
            min(len(self.cut_off), MAX_COMPARED_MEMBERS),
        )
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
            if report is None or _reaches_more(len(report), 0, len(keys)):
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
        earliest = self._now() - PASS_VALIDITY_SECONDS
        untried = [
            member
            for member in appointed
            if self.passed_at.get(member.name, -inf) < earliest
        ]
        asked = self._with_successors(untried, members)
        reports = await asyncio.gather(
            *(self.ask(member, keys) for member in asked)
        )
        excluded = set()
        for member, report in zip(asked, reports, strict=True):
            if report is None:
                excluded.add(member.name)
            elif _reaches_more(len(report), 0, len(keys)):
                self.passed_at[member.name] = self._now()
            else:
                excluded.add(member.name)
                self._mark(member, keys)
        return excluded

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
            for member in successors[:MAX_COMPARED_MEMBERS]:
                asked[member.name] = member
        return tuple(asked.values())

    def _compared_members(
        self, suspect: Member, members: Iterable[Member]
    ) -> tuple[Member, ...]:
        """Return the best members of each failure domain in turn.

        The suspect's domain is first: a successor there is preferred.
        """
        by_domain: dict[str, list[Member]] = {suspect.failure_domain: []}
        for member in sorted(members, key=lambda one: one.rank):
            if member.name != suspect.name and member.name not in self.cut_off:
                by_domain.setdefault(member.failure_domain, []).append(member)
        in_turn = chain.from_iterable(zip_longest(*by_domain.values()))
        compared = [member for member in in_turn if member is not None]
        return tuple(compared[:MAX_COMPARED_MEMBERS])

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


def _reaches_more(count: int, other_count: int, tried_count: int) -> bool:
    return count - other_count >= max(1, MIN_GAIN_SHARE * tried_count)
