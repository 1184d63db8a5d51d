"""Keeps this instance attached to a home, or makes it one."""

import asyncio
from collections.abc import Callable, Iterable
from datetime import timedelta

from ..clock import Clock
from ..errors import NotReachableError
from ..logs import log
from ..protocol.codec import MalformedMessageError
from ..protocol.home_feed import FeedMessage, Member, MemberView
from ..tasks import first_true
from .catalog import Catalog
from .election import Attach, Election, Lead, elect, yields_to
from .feed_server import HomeFeedServer
from .member_client import MemberClient
from .member_list import MemberList

RETRY_SECONDS = 0.1
#: How long a member waits for others to notice the loss of a home.
MAX_ELECTION_WAIT = timedelta(seconds=1)
#: A home asks one of the members that don't follow it this often.
CHECK_SECONDS = 1.0
_MAX_ASKED = 24


class HomeElector:
    """Finds the home, follows its feed, and takes over where there is none.

    ``on_started_leading`` is called when this instance becomes home and
    ``on_stopped_leading`` when it is no longer one.
    """

    def __init__(
        self,
        client: MemberClient,
        catalog: Catalog,
        member_list: MemberList,
        clock: Clock,
        on_started_leading: Callable[[], None],
        on_stopped_leading: Callable[[], None],
    ) -> None:
        self.client = client
        self.catalog = catalog
        self.member_list = member_list
        self.clock = clock
        self.on_started_leading = on_started_leading
        self.on_stopped_leading = on_stopped_leading
        self.server = HomeFeedServer(catalog, member_list, self.view)
        self.home: Member | None = None
        self.epoch = 0
        self.leading = False
        self.leaving = False
        self.lost_home = ''

    def view(self) -> MemberView:
        """Return how this member sees itself."""
        own = self.member_list.own
        if self.leaving:
            return MemberView(own, 'leaving', self.epoch, self.home)
        if self.leading:
            return MemberView(own, 'home', self.epoch, own)
        if self.home is not None:
            return MemberView(own, 'attached', self.epoch, self.home)
        return MemberView(own, 'searching', self.epoch)

    async def run(self) -> None:
        """Keep a home until cancelled."""
        while True:
            match await self._find():
                case Attach(member=member):
                    await self._follow(member)
                case Lead(epoch=epoch) if not self.leaving:
                    await self._lead(epoch)
                case _:
                    await asyncio.sleep(RETRY_SECONDS)

    def follower_addresses(self) -> tuple[str, ...]:
        """Return the internal addresses of the members that follow this one."""
        return tuple(
            member.internal
            for member in self.member_list.others()
            if member.name in self.server.followers
        )

    def leave(self) -> None:
        """Give up being home, so that another member takes over at once."""
        self.leaving = True
        self.server.publish(FeedMessage(leaving=True))
        self.server.end_feeds()

    async def find_home(self, addresses: Iterable[str]) -> bool:
        """Ask instances for their home; return whether one has a home."""
        tasks = [
            asyncio.create_task(self._home_by(address)) for address in addresses
        ]
        found = await first_true(tasks)
        for task in tasks:
            task.cancel()
        return found

    async def fetch_members(self, addresses: Iterable[str]) -> None:
        """Take the members that the instances at ``addresses`` know."""
        for address in addresses:
            try:
                self.member_list.merge(await self.client.members(address))
            except (NotReachableError, MalformedMessageError) as error:
                log('seed_not_reached', address=address, error=str(error))

    async def _home_by(self, address: str) -> bool:
        try:
            view = await self.client.view(address, self.member_list.own)
        except (NotReachableError, MalformedMessageError) as error:
            log('seed_not_reached', address=address, error=str(error))
            return False
        if view.home is None or view.home.name == self.member_list.own.name:
            return False
        self.member_list.merge((view.member, view.home))
        return True

    async def _find(self) -> Election:
        started = self.clock.monotonic()
        while True:
            views = await self._ask(self.member_list.others()[:_MAX_ASKED])
            may_wait = self.clock.monotonic() - started < MAX_ELECTION_WAIT
            election = elect(
                self.member_list.own,
                views,
                self.lost_home,
                self.epoch,
                may_wait=may_wait,
            )
            if isinstance(election, (Attach, Lead)):
                return election
            await asyncio.sleep(RETRY_SECONDS)

    async def _ask(self, members: Iterable[Member]) -> list[MemberView]:
        """Return the views of the members that answer; a home ends the wait."""
        tasks = [
            asyncio.create_task(self._view_of(member)) for member in members
        ]
        views: list[MemberView] = []
        for next_view in asyncio.as_completed(tasks):
            view = await next_view
            if view is not None:
                views.append(view)
            if view is not None and view.state == 'home':
                break
        for task in tasks:
            task.cancel()
        return views

    async def _view_of(self, member: Member) -> MemberView | None:
        try:
            # The own record tells the other member whom it can ask in turn.
            view = await self.client.view(member.internal, self.member_list.own)
        except (NotReachableError, MalformedMessageError):
            # A member that does not answer takes no part in the election.
            return None
        self.member_list.merge((view.member,))
        return view

    async def _follow(self, member: Member) -> None:
        reason = 'ended'
        try:
            await self._read_feed(member)
        except (NotReachableError, MalformedMessageError) as error:
            reason = str(error)
        if self.home is None:
            await asyncio.sleep(RETRY_SECONDS)
            return
        log('home_lost', home=self.home.name, reason=reason)
        self.lost_home = self.home.name
        self.home = None
        # Members that follow this one would go on to name the lost home.
        self.server.end_feeds()

    async def _read_feed(self, member: Member) -> None:
        async for message in self.client.feed(member, self.member_list.own):
            if message.leaving:
                return
            self._take(message)

    def _take(self, message: FeedMessage) -> None:
        if message.home is not None:
            self.home = message.home
            self.epoch = message.epoch
            self.server.path = message.path
            log(
                'home_followed',
                home=message.home.name,
                epoch=message.epoch,
                path=','.join(message.path),
            )
        if message.members and self.member_list.merge(message.members):
            self.server.publish(FeedMessage(members=message.members))
        if message.config is not None:
            self.catalog.apply_config(message.config)
        if message.full:
            entries = tuple(
                change.entry
                for change in message.changes
                if change.entry is not None
            )
            self.catalog.apply_list(entries)
            return
        for change in message.changes:
            self.catalog.apply_change(change)

    async def _lead(self, epoch: int) -> None:
        self.epoch = epoch
        self.leading = True
        self.home = self.member_list.own
        self.server.path = ()
        log('home_taken_over', epoch=epoch, after=self.lost_home)
        self.on_started_leading()
        try:  # noqa: WPS501 - also when cancelled
            await self._until_another_home()
        finally:
            self._end_lead()

    def _end_lead(self) -> None:
        self.leading = False
        self.home = None
        self.server.end_feeds()
        self.on_stopped_leading()

    async def _until_another_home(self) -> None:
        """Return when this instance leaves or another home goes first."""
        turn = 0
        while not self.leaving:
            await asyncio.sleep(CHECK_SECONDS)
            turn += 1
            view = await self._view_of_stranger(turn)
            if view is not None and yields_to(self.view(), view):
                log('home_given_up', member=view.member.name, epoch=view.epoch)
                return

    async def _view_of_stranger(self, turn: int) -> MemberView | None:
        """Return the view of a member that follows another home."""
        strangers = [
            member
            for member in self.member_list.others()
            if member.name not in self.server.followers
        ]
        if not strangers:
            return None
        view = await self._view_of(strangers[turn % len(strangers)])
        if view is None or view.home is None:
            return None
        return None if view.home.name == self.member_list.own.name else view
