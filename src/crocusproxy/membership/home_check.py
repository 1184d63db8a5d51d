"""What a home checks periodically: members that are gone, and other homes."""

import asyncio
from collections.abc import Awaitable, Callable, Iterable

from ..protocol.home_feed import FeedMessage, Member, MemberView
from .departures import DepartureWatch
from .feed_server import HomeFeedServer
from .member_list import MemberList
from .rival_homes import checked_members, find_better_home


class HomeCheck:
    """Checks the members that do not follow this home.

    ``query_view`` returns the view of a member, None if it can't be reached.
    """

    def __init__(
        self,
        member_list: MemberList,
        server: HomeFeedServer,
        departures: DepartureWatch,
        query_view: Callable[[Member], Awaitable[MemberView | None]],
    ) -> None:
        self.member_list = member_list
        self.server = server
        self.departures = departures
        self.query_view = query_view
        self.count = 0

    def begin(self) -> None:
        """Forget earlier checks: this member has just become home."""
        self.count = 0
        self.departures.begin()

    async def run(self) -> MemberView | None:
        """Check once; return a view whose home this one should follow."""
        self.count += 1
        await self.departures.check(self.server.followers)
        # A departed member may be a home that was cut off.
        non_followers = [
            member
            for member in self.member_list.others_ever()
            if member.name not in self.server.followers
        ]
        queried = checked_members(non_followers, self.count)
        departed = self.member_list.departed.keys()
        absent = [one for one in queried if one.name in departed]
        views = await asyncio.gather(*map(self.query_view, queried))
        self._publish_returned(absent)
        return find_better_home(self.server.view(), views)

    def _publish_returned(self, absent: Iterable[Member]) -> None:
        """Tell the followers which departed members have responded."""
        returned = tuple(
            member
            for member in absent
            if member.name in self.member_list.members
        )
        if returned:
            self.server.publish(FeedMessage(members=returned))
