"""Members that have left, so that elections and quotas count the others only.

The home forgets members which it has not reached for some time, and those that
say that they leave. Its feed tells all others, so no heartbeats are written.
"""

import asyncio
from collections.abc import (
    Awaitable,
    Callable,
    Collection,
    Iterable,
    Sequence,
)
from datetime import timedelta

from ..clock import Clock
from ..errors import NotReachableError
from ..logs import log
from ..protocol.home_feed import Departure, FeedMessage, Member, MemberView
from .member_client import MemberClient
from .member_list import MemberList

#: A member that follows no feed of the home for this time is queried.
ABSENCE_LIMIT = timedelta(seconds=30)
#: Another query follows a failed one after this time.
SECOND_QUERY_DELAY = timedelta(seconds=5)
#: Pause before a leaving member looks for a home again.
HOME_POLL_SECONDS = 0.1
#: Members that the home queries at each check.
MAX_QUERIED = 100
#: Failed queries in a row after which a member has departed.
_MAX_FAILURES = 2


class DepartureWatch:
    """Finds departed members at the home.

    ``query_view`` returns the view of a member, None if it can't be reached.
    ``publish`` sends a message to all followers.
    """

    def __init__(
        self,
        member_list: MemberList,
        clock: Clock,
        query_view: Callable[[Member], Awaitable[MemberView | None]],
        publish: Callable[[FeedMessage], None],
    ) -> None:
        self.member_list = member_list
        self.clock = clock
        self.query_view = query_view
        self.publish = publish
        self.query_at: dict[str, timedelta] = {}
        self.failures: dict[str, int] = {}

    def begin(self) -> None:
        """Forget earlier observations: this member has just become home."""
        self.query_at.clear()
        self.failures.clear()

    async def check(self, followers: Collection[str]) -> None:
        """Query members that have been absent for long; forget lost ones.

        ``followers`` are the names of those that follow this member. Others may
        follow a domain home, so each is queried before it is forgotten.
        """
        due = self._find_due(followers)
        views = await asyncio.gather(*map(self.query_view, due))
        lost = [
            member
            for member, view in zip(due, views, strict=True)
            if self._is_lost(member, has_responded=view is not None)
        ]
        self.depart(
            Departure(member.name, member.started_at) for member in lost
        )

    def depart(self, departures: Iterable[Departure]) -> None:
        """Forget members, here and at all followers."""
        departed = tuple(departures)
        if not self.member_list.depart(departed):
            return
        log('members_departed', members=[one.name for one in departed])
        self.publish(FeedMessage(departed=departed))

    async def announce(
        self, client: MemberClient, find_home: Callable[[], Member | None]
    ) -> None:
        """Tell the home that this member leaves.

        If this member is or was home, its successor is told, once known.
        """
        own = self.member_list.own
        home = find_home()
        while home is None or home.name == own.name:
            await asyncio.sleep(HOME_POLL_SECONDS)
            home = find_home()
        departure = Departure(own.name, own.started_at, is_final=True)
        try:
            await client.report_departure(home.internal, departure)
        except NotReachableError as error:
            # The home forgets this member later, as it no longer responds.
            log('departure_not_reported', home=home.name, error=str(error))

    def _find_due(self, followers: Collection[str]) -> Sequence[Member]:
        now = self.clock.monotonic()
        absent = [
            member
            for member in self.member_list.all()
            if member.name not in followers
            and member.name != self.member_list.own.name
        ]
        names = {member.name for member in absent}
        for name in self.query_at.keys() - names:
            self.query_at.pop(name)
            self.failures.pop(name, None)
        for name in names - self.query_at.keys():
            self.query_at[name] = now + ABSENCE_LIMIT
        due = [one for one in absent if self.query_at[one.name] <= now]
        due.sort(key=lambda member: self.query_at[member.name])
        return due[:MAX_QUERIED]

    def _is_lost(self, member: Member, *, has_responded: bool) -> bool:
        now = self.clock.monotonic()
        name = member.name
        if has_responded:
            self.failures.pop(name, None)
            self.query_at[name] = now + ABSENCE_LIMIT
            return False
        self.failures[name] = self.failures.get(name, 0) + 1
        self.query_at[name] = now + SECOND_QUERY_DELAY
        return self.failures[name] >= _MAX_FAILURES
