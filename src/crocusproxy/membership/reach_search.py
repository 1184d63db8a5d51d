"""Search for members that reach upstreams which another one does not.

A round asks a bounded number of members and waits only briefly for them, so a
member that hangs delays no other. The search ends when some member was found
or all have been asked.
"""

import asyncio
from collections.abc import Awaitable, Callable, Collection, Iterable, Mapping
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


class ReachSearch:
    """Compares ``suspect`` with members that try the same upstreams.

    ``evidence`` has the upstreams that a member could not reach before, by
    member name; it must reach those too in order to count as able.
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
        self.tasks: dict[str, asyncio.Task[frozenset[str] | None]] = {}

    async def run_round(
        self, preferred: Iterable[str], *, may_grow: bool
    ) -> None:
        """Ask further members, those named in ``preferred`` first.

        Without ``may_grow``, the round is as small as the first one.
        """
        if self.suspect.name not in self.tasks:
            self._start(self.suspect, self.keys)
        preferred_names = set(preferred)
        self.unasked.sort(key=lambda one: one.name not in preferred_names)
        size = round_size(len(self.asked)) if may_grow else FIRST_ROUND_MEMBERS
        for member in self.unasked[:size]:
            self.asked[member.name] = member
            past_keys = self.evidence.get(member.name, ())
            self._start(member, tuple(dict.fromkeys((*self.keys, *past_keys))))
        self.unasked = self.unasked[size:]
        await self._wait()

    @property
    def is_unaskable(self) -> bool:
        """Whether the suspect itself can't be asked."""
        task = self.tasks[self.suspect.name]
        return task.done() and task.result() is None

    @property
    def is_exhausted(self) -> bool:
        """Whether all members have been asked and have had their time."""
        return not self.unasked and not self._pending()

    def able(self) -> tuple[Member, ...]:
        """Return the members that reach more than the suspect."""
        own_result = self.own_result()
        if own_result is None:
            return ()
        return tuple(
            self.asked[name]
            for name, report in self.reports().items()
            if report is not None and self._is_able(name, report, own_result)
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
        """Return what the suspect reached, None while that is not known."""
        task = self.tasks[self.suspect.name]
        return task.result() if task.done() else None

    def reports(self) -> dict[str, frozenset[str] | None]:
        """Return the results of the other members so far, by name."""
        return {
            name: self.tasks[name].result()
            for name in self.asked
            if self.tasks[name].done()
        }

    def cancel(self) -> None:
        """End the queries without a response."""
        for task in self._pending():
            task.cancel()

    def _start(self, member: Member, keys: Keys) -> None:
        self.tasks[member.name] = asyncio.ensure_future(self.ask(member, keys))

    async def _wait(self) -> None:
        pending = self._pending()
        if pending:
            await asyncio.wait(pending, timeout=ROUND_WAIT_SECONDS)
        nothing: frozenset[str] = frozenset()
        if any(
            report is not None and self._is_able(name, report, nothing)
            for name, report in self.reports().items()
        ):
            # One that may be able is used at once if the suspect reaches less.
            await asyncio.wait((self.tasks[self.suspect.name],))

    def _pending(self) -> list[asyncio.Task[frozenset[str] | None]]:
        return [task for task in self.tasks.values() if not task.done()]

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
