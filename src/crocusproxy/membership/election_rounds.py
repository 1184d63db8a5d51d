"""Rounds of queries among the members until an election has a result."""

import asyncio
from collections.abc import Awaitable, Callable, Collection, Iterable
from datetime import timedelta

from ..clock import Clock
from ..logs import log
from ..protocol.home_feed import Member, MemberView
from .election import Attach, ElectionResult, Lead, elect
from .election_pace import (
    MAX_DEFERENCE,
    DomainResponses,
    lead_delay,
    queried_members,
    query_interval,
)
from .member_list import MemberList

#: How long a member waits until others detect the loss of a home.
MAX_ELECTION_WAIT = timedelta(seconds=1)
#: Once this share of the queried members and all with a better rank have
#: responded, the others have ``LATE_RESPONSE_SECONDS`` after each response.
QUORUM_SHARE = 0.5
LATE_RESPONSE_SECONDS = 0.05

#: Returns the view of a member, None if it can't be reached.
ViewQuery = Callable[[Member], Awaitable[MemberView | None]]


class ElectionRounds:
    """Queries other members in rounds until this one attaches or leads."""

    def __init__(
        self, member_list: MemberList, query_view: ViewQuery, clock: Clock
    ) -> None:
        self.member_list = member_list
        self.query_view = query_view
        self.clock = clock

    async def run(self, lost_home_name: str, last_epoch: int) -> ElectionResult:
        """Return the result of an election after the loss of a home.

        Without an earlier home, ``lost_home_name`` is empty.
        """
        started = self.clock.monotonic()
        round_number = -1
        own = self.member_list.own
        responses = DomainResponses(own.failure_domain)
        lost_domains: frozenset[str] = frozenset()
        lost_home_domain = {
            member.failure_domain
            for member in self.member_list.others()
            if member.name == lost_home_name
        }
        while True:
            round_number += 1
            if responses.lost_domains() != lost_domains:
                lost_domains = responses.lost_domains()
                log('election_domains_lost', domains=sorted(lost_domains))
            others = self._electable(lost_domains)
            elapsed = self.clock.monotonic() - started
            views = await self._query_views(
                queried_members(
                    own,
                    others,
                    elapsed,
                    round_number,
                    responses.silent_domains() | lost_home_domain,
                ),
                responses,
                lost_home_name,
            )
            election = elect(
                own,
                views,
                lost_home_name,
                last_epoch,
                may_wait=elapsed < MAX_ELECTION_WAIT,
                may_defer=elapsed < MAX_DEFERENCE,
            )
            pause = query_interval(own, others)
            match election:
                case Attach():
                    return election
                case Lead():
                    remaining = lead_delay(own, others) - elapsed
                    if remaining <= timedelta():
                        return election
                    pause = min(pause, remaining)
            await asyncio.sleep(pause.total_seconds())

    def _electable(self, lost_domains: Collection[str]) -> tuple[Member, ...]:
        """Return the other members that are in no lost failure domain."""
        return tuple(
            member
            for member in self.member_list.others()
            if member.failure_domain not in lost_domains
        )

    async def _query_views(
        self,
        members: Iterable[Member],
        responses: DomainResponses,
        lost_home_name: str,
    ) -> list[MemberView]:
        """Return the views of responding members; stop at the first home.

        Members that have lost power never respond, so the rest is not waited
        for once a quorum and all members with a better rank have responded,
        except the lost home. A home can't be missed: each of its followers
        names it.
        """
        own_rank = self.member_list.own.rank
        queries = {
            asyncio.create_task(self._query(member, responses)): member
            for member in members
        }
        needed = QUORUM_SHARE * len(queries)
        pending = set(queries)
        views: list[MemberView] = []
        while pending and not _includes_home(views):
            has_quorum = len(views) >= needed and not any(
                queries[task].rank < own_rank
                and queries[task].name != lost_home_name
                for task in pending
            )
            done, pending = await asyncio.wait(
                pending,
                timeout=LATE_RESPONSE_SECONDS if has_quorum else None,
                return_when=asyncio.FIRST_COMPLETED,
            )
            if not done:
                break
            views.extend(filter(None, (task.result() for task in done)))
        for task in pending:
            task.cancel()
        return views

    async def _query(
        self, member: Member, responses: DomainResponses
    ) -> MemberView | None:
        view = await self.query_view(member)
        responses.record(member, has_responded=view is not None)
        return view


def _includes_home(views: Iterable[MemberView]) -> bool:
    return any(view.state == 'home' for view in views)
