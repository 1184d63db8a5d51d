"""Search for members that reach upstreams which another one does not.

A round asks a bounded number of members and waits only briefly for them, so a
member that hangs delays no other. The search ends when some member was found
or all have been asked.
"""

import asyncio
from collections.abc import Awaitable, Callable, Collection, Iterable, Mapping
from dataclasses import dataclass
from itertools import chain, zip_longest
from random import Random

from ..protocol.home_feed import Member

#: Members asked in the first round, which nearly always finds one.
FIRST_ROUND_MEMBERS = 8
#: Each later round asks this many times as many members as all before it. As
#: none of these was found, few of the next will be, in random order: no
#: upstream gets many attempts at once.
ROUND_GROWTH = 2
#: Bounds the queries that the home sends at once.
MAX_ROUND_MEMBERS = 96
#: Time for the responses of a round; later ones count in the next round.
ROUND_WAIT_SECONDS = 0.05
#: Share of the upstreams by which another member must reach more.
MIN_GAIN_SHARE = 0.5

Keys = tuple[str, ...]
#: Lets a member try upstreams and returns the keys of those that it reached,
#: None if the member can't be asked.
AskReach = Callable[[Member, Keys], Awaitable[frozenset[str] | None]]
Query = asyncio.Future[frozenset[str] | None]


@dataclass(frozen=True, slots=True)
class Round:
    """Queries that began at the same moment.

    The suspect is compared only with members that tried at the same moment:
    upstreams that come back during a search are reached by all that try later,
    the suspect included. ``own`` is the query of the suspect, ``others`` are
    those of other members by name.
    """

    own: Query
    others: dict[str, Query]

    def own_result(self) -> frozenset[str] | None:
        """Return what the suspect reached, None while that is not known."""
        return self.own.result() if self.own.done() else None

    def reports(self) -> dict[str, frozenset[str] | None]:
        """Return the results of the other members so far, by name."""
        return {
            name: query.result()
            for name, query in self.others.items()
            if query.done()
        }

    def pending(self) -> list[Query]:
        """Return the queries without a response."""
        return [
            query
            for query in (self.own, *self.others.values())
            if not query.done()
        ]


class ReachSearch:
    """Compares ``suspect`` with members that try the same upstreams.

    ``evidence`` has the upstreams that a member could not reach before, by
    member name; it must reach those too in order to count as able. The suspect
    tries again in each round.
    """

    def __init__(
        self,
        suspect: Member,
        keys: Keys,
        order: Iterable[Member],
        evidence: dict[str, Keys],
        ask: AskReach,
    ) -> None:
        self.suspect = suspect
        self.keys = keys
        self.evidence = evidence
        self.ask = ask
        self.unasked = list(order)
        self.asked: dict[str, Member] = {}
        self.rounds: list[Round] = []

    async def run_round(
        self, preferred: Iterable[str], *, may_grow: bool
    ) -> None:
        """Ask further members, those named in ``preferred`` first.

        Without ``may_grow``, the round is as small as the first one.
        """
        preferred_names = set(preferred)
        self.unasked.sort(key=lambda one: one.name not in preferred_names)
        size = round_size(len(self.asked)) if may_grow else FIRST_ROUND_MEMBERS
        members = self.unasked[:size]
        self.unasked = self.unasked[size:]
        if members or not self.rounds:
            self._begin_round(members)
        await self._wait()

    @property
    def is_unaskable(self) -> bool:
        """Whether the suspect itself can't be asked."""
        own = self.rounds[-1].own
        return own.done() and own.result() is None

    @property
    def is_exhausted(self) -> bool:
        """Whether all members have been asked and have had their time."""
        return not self.unasked and not self._pending()

    def able(self) -> tuple[Member, ...]:
        """Return the members that reach more than the suspect."""
        return tuple(
            self.asked[name] for one in self.rounds for name in self._able(one)
        )

    def unable(self) -> tuple[Member, ...]:
        """Return the members that have responded and do not reach more."""
        able = {member.name for member in self.able()}
        return tuple(
            self.asked[name]
            for name, report in self.reports().items()
            if report is not None and name not in able
        )

    def own_result(self) -> frozenset[str] | None:
        """Return what the suspect reached last, None if that is not known."""
        results = [one.own_result() for one in self.rounds]
        known = [one for one in results if one is not None]
        return known[-1] if known else None

    def reports(self) -> dict[str, frozenset[str] | None]:
        """Return the results of the other members so far, by name."""
        return {
            name: report
            for one in self.rounds
            for name, report in one.reports().items()
        }

    def cancel(self) -> None:
        """End the queries without a response."""
        for query in self._pending():
            query.cancel()

    def _begin_round(self, members: Iterable[Member]) -> None:
        others = {}
        for member in members:
            self.asked[member.name] = member
            past_keys = self.evidence.get(member.name, ())
            keys = tuple(dict.fromkeys((*self.keys, *past_keys)))
            others[member.name] = self._start(member, keys)
        self.rounds.append(Round(self._start(self.suspect, self.keys), others))

    def _start(self, member: Member, keys: Keys) -> Query:
        return asyncio.ensure_future(self.ask(member, keys))

    async def _wait(self) -> None:
        pending = self._pending()
        if pending:
            await asyncio.wait(pending, timeout=ROUND_WAIT_SECONDS)
        # One that may be able is used at once if the suspect reaches less.
        awaited = [one.own for one in self.rounds if self._may_be_able(one)]
        if awaited:
            await asyncio.wait(awaited)

    def _pending(self) -> list[Query]:
        return [query for one in self.rounds for query in one.pending()]

    def _able(self, one: Round) -> list[str]:
        own_result = one.own_result()
        if own_result is None:
            return []
        return [
            name
            for name, report in one.reports().items()
            if report is not None and self._is_able(name, report, own_result)
        ]

    def _may_be_able(self, one: Round) -> bool:
        nothing: frozenset[str] = frozenset()
        return any(
            report is not None and self._is_able(name, report, nothing)
            for name, report in one.reports().items()
        )

    def _is_able(
        self, name: str, report: frozenset[str], own_result: frozenset[str]
    ) -> bool:
        past_keys = self.evidence.get(name, ())
        return reaches_more(
            len(report.intersection(self.keys)),
            len(own_result),
            len(self.keys),
        ) and (
            not past_keys
            or reaches_more(
                len(report.intersection(past_keys)), 0, len(past_keys)
            )
        )


def round_size(asked_count: int) -> int:
    """Return the number of members for the next round.

    >>> [round_size(count) for count in (0, 8, 24, 72)]
    [8, 16, 48, 96]
    """
    return min(
        max(FIRST_ROUND_MEMBERS, ROUND_GROWTH * asked_count), MAX_ROUND_MEMBERS
    )


def search_order(
    suspect: Member,
    followers: Iterable[Member],
    members: Iterable[Member],
    cut_off: Collection[str],
    random: Random,
) -> list[Member]:
    """Return all other members in the order in which they are asked.

    First are the best followers of each failure domain in turn, the suspect's
    first, since a successor there is preferred; then the others at random, and
    last those that were cut off before.
    """
    by_domain: dict[str, list[Member]] = {suspect.failure_domain: []}
    for follower in sorted(followers, key=lambda one: one.rank):
        if follower.name not in cut_off and follower.name != suspect.name:
            by_domain.setdefault(follower.failure_domain, []).append(follower)
    in_turn = chain.from_iterable(zip_longest(*by_domain.values()))
    ranked = [member for member in in_turn if member is not None]
    first = ranked[:FIRST_ROUND_MEMBERS]
    named = {member.name: member for member in (*ranked, *members)}
    for member in (suspect, *first):
        named.pop(member.name, None)
    others = list(named.values())
    random.shuffle(others)
    others.sort(key=lambda member: member.name in cut_off)
    return [*first, *others]


def reaches_more(count: int, other_count: int, tried_count: int) -> bool:
    """Return whether a member reaches enough more upstreams than another."""
    return count - other_count >= max(1, MIN_GAIN_SHARE * tried_count)


def best_counts(
    reports: Mapping[str, frozenset[str] | None], limit: int
) -> dict[str, int | None]:
    """Return how many upstreams the best ``limit`` members have reached."""
    counts = {
        name: None if report is None else len(report)
        for name, report in reports.items()
    }
    ranked = sorted(counts, key=lambda name: -(counts[name] or 0))
    return {name: counts[name] for name in ranked[:limit]}
