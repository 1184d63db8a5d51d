"""Attaches this instance to a home or makes it the home."""

import asyncio
from collections.abc import Callable
from contextlib import aclosing
from datetime import timedelta

from ..clock import Clock
from ..errors import NotReachableError
from ..logs import log
from ..protocol.codec import MalformedMessageError
from ..protocol.home_feed import (
    CrashReport,
    Departure,
    FeedMessage,
    Member,
    MemberState,
    MemberView,
)
from .catalog import Catalog
from .departures import DepartureWatch
from .domain_homes import DomainHomeTable
from .election import Attach, Lead
from .election_rounds import ElectionRounds
from .feed_server import HomeFeedServer
from .feed_source import FeedSources
from .home_check import HomeCheck
from .member_client import MemberClient
from .member_list import MemberList
from .seeds import SeedQueries

RETRY_INTERVAL_SECONDS = 0.1
#: Interval at which a home queries one member that does not follow it.
CHECK_INTERVAL_SECONDS = 1.0


class HomeElector:
    """Finds the home, follows its feed, and takes over if there is none.

    ``on_started_leading`` is called when this instance becomes home and
    ``on_stopped_leading`` when it is no longer one. ``home_heard_at`` is the
    time of the latest message of a home's own feed, None at a member that
    follows a domain home or was never attached. ``has_lost_source`` is set from
    the loss of a domain home until the feed of the home begins.
    ``find_unreached`` returns the upstreams that this instance can't connect
    to, if it may be cut off.
    """

    def __init__(
        self,
        client: MemberClient,
        catalog: Catalog,
        member_list: MemberList,
        clock: Clock,
        on_started_leading: Callable[[], None],
        on_stopped_leading: Callable[[], None],
        domain_homes: DomainHomeTable | None = None,
        find_unreached: Callable[[], tuple[str, ...]] = tuple,
    ) -> None:
        self.client = client
        self.find_unreached = find_unreached
        self.catalog = catalog
        self.member_list = member_list
        self.domain_homes = domain_homes or DomainHomeTable()
        self.seeds = SeedQueries(client, member_list, self.domain_homes)
        self.rounds = ElectionRounds(member_list, self.query_view, clock)
        self.clock = clock
        self.on_started_leading = on_started_leading
        self.on_stopped_leading = on_stopped_leading
        self.server = HomeFeedServer(
            catalog,
            member_list,
            self.domain_homes,
            self.view,
            self.wait_for_home,
        )
        self.departures = DepartureWatch(
            member_list, clock, self.query_view, self.server.publish
        )
        self.check = HomeCheck(
            member_list, self.server, self.departures, self.query_view
        )
        self.server.on_departure = self._apply_departure
        self.home: Member | None = None
        self.home_known = asyncio.Event()
        self.epoch = 0
        self.is_electing = False
        self.is_home = False
        self.leaving = False
        self.lost_home_name = ''
        self.has_lost_source = False
        self.home_heard_at: timedelta | None = None
        self.sources = FeedSources(member_list, self.domain_homes, clock)
        self.on_crash_report: list[Callable[[CrashReport], None]] = []

    def view(self) -> MemberView:
        """Return this member's own view of its state and home."""
        table = self.domain_homes
        return MemberView(
            self.member_list.own,
            self._state(),
            self.epoch,
            self.home,
            table.assignment if table.is_known else None,
            self.find_unreached(),
        )

    async def wait_for_home(self, seconds: float) -> None:
        """Return once a home is known, or after ``seconds``."""
        try:
            async with asyncio.timeout(seconds):
                await self.home_known.wait()
        except TimeoutError:
            # The view then shows that this member is searching.
            return

    async def run(self) -> None:
        """Follow a home or be the home until cancelled."""
        self.is_electing = True
        while True:
            match await self.rounds.run(self.lost_home_name, self.epoch):
                case Attach(member=member):
                    await self._follow(member)
                case Lead(epoch=epoch) if not self.leaving:
                    await self._lead(epoch)
                case _:
                    await asyncio.sleep(RETRY_INTERVAL_SECONDS)

    def leave(self) -> None:
        """End all feeds and do not lead again.

        If this member is home, another one takes over at once.
        """
        self.leaving = True
        self.server.publish(FeedMessage(leaving=True))
        self.server.end_feeds()

    async def announce_departure(self) -> None:
        """Tell the home that this member leaves, so that it is forgotten."""
        await self.departures.announce(self.client, lambda: self.home)

    async def query_view(self, member: Member) -> MemberView | None:
        """Return a member's view, or None if the member can't be reached."""
        try:
            # The request adds this member to the other one's member list.
            view = await self.client.view(member.internal, self.member_list.own)
        except (NotReachableError, MalformedMessageError):
            # An unreachable member takes no part in the election.
            return None
        self.member_list.merge((view.member,), is_in_contact=True)
        return view

    def _state(self) -> MemberState:
        if self.leaving:
            return 'leaving'
        if self.is_home:
            return 'home'
        if self.home is not None and not self.has_lost_source:
            return 'attached'
        # A member without a feed can't tell whether its home is well, so the
        # others must not wait for it; and it does not elect yet.
        is_searching = self.is_electing and self.home is None
        return 'searching' if is_searching else 'starting'

    def _set_home(self, home: Member | None) -> None:
        self.home = home
        if home is None:
            self.home_known.clear()
        else:
            self.home_known.set()

    async def _follow(self, member: Member) -> None:
        reason = 'ended'
        source: Member | None = self.sources.first(member)
        while source is not None:
            followed = source
            is_unreachable = False
            try:
                source = await self._read_feed(followed)
            except (NotReachableError, MalformedMessageError) as error:
                reason = str(error)
                is_unreachable = isinstance(error, NotReachableError)
                source = None
            if source is None:
                source = self.sources.after_loss(followed, self.home)
                self.has_lost_source = source is not None
        if self.home is None:
            # The member declined or failed before its first message.
            self.sources.note_failure(followed, is_unreachable=is_unreachable)
            await asyncio.sleep(RETRY_INTERVAL_SECONDS)
            return
        self.sources.failures = 0
        log('home_lost', home=self.home.name, reason=reason)
        self.lost_home_name = self.home.name
        self._set_home(None)
        # Followers of this member would otherwise keep reporting the lost home.
        self.server.publish(FeedMessage(lost_home=self.lost_home_name))
        self.server.end_feeds()

    async def _read_feed(self, source: Member) -> Member | None:
        """Apply the messages of a feed until it ends.

        Return another member if its feed should be followed from now on.
        """
        feed = self.client.feed(source, self.member_list.own)
        async with aclosing(feed) as messages:
            async for message in messages:
                if message.leaving:
                    return None
                if message.lost_home:
                    self.sources.reported_loss = message.lost_home
                    raise NotReachableError(f'lost by {source.name}')
                self._apply_message(message)
                self._note_contact(source)
                preferred = self._preferred_source(message)
                if preferred is not None and preferred.name != source.name:
                    return preferred
        return None

    def _note_contact(self, source: Member) -> None:
        self.has_lost_source = False
        is_home = self.home is not None and source.name == self.home.name
        self.home_heard_at = self.clock.monotonic() if is_home else None

    def _preferred_source(self, message: FeedMessage) -> Member | None:
        """Return the member to follow, None if ``message`` can't change it."""
        is_relevant = message.members or message.domain_homes is not None
        if self.home is None or not is_relevant:
            return None
        return self.sources.preferred(self.home)

    def _apply_message(self, message: FeedMessage) -> None:
        if message.home is not None:
            self._set_home(message.home)
            self.epoch = message.epoch
            self.server.path = message.path
            log(
                'home_followed',
                home=message.home.name,
                epoch=message.epoch,
                path=','.join(message.path),
            )
        self._apply_members(message)
        self.catalog.store_incarnation.observe(message.store_incarnation)
        if message.domain_homes is not None:
            self.domain_homes.apply(message.domain_homes)
        self._apply_operator_state(message)
        self._apply_reports(message)
        if message.full:
            entries = tuple(
                change.entry
                for change in message.changes
                if change.entry is not None
            )
            self.catalog.apply_list(entries)
            return
        for change in message.changes:
            self.catalog.apply_change(change, is_notable=True)

    def _apply_members(self, message: FeedMessage) -> None:
        merged = self.member_list.merge(message.members, is_in_contact=True)
        removed = self.member_list.depart(message.departed)
        if merged or removed:
            self.server.publish(
                FeedMessage(members=message.members, departed=message.departed)
            )

    def _apply_departure(self, departure: Departure) -> None:
        """Forget a leaving member if this one is home."""
        if self.is_home:
            self.departures.depart((departure,))

    def _apply_operator_state(self, message: FeedMessage) -> None:
        if message.config is not None:
            self.catalog.receive_config(message.config)
        if message.evacuated is not None:
            self.catalog.apply_evacuated(message.evacuated)

    def _apply_reports(self, message: FeedMessage) -> None:
        now = self.clock.monotonic().total_seconds()
        self.catalog.terms.apply(message.terms, now)
        for report in message.crash_reports:
            for listener in self.on_crash_report:
                listener(report)

    async def _lead(self, epoch: int) -> None:
        self.epoch = epoch
        self.is_home = True
        self._set_home(self.member_list.own)
        self.server.path = ()
        log('home_taken_over', epoch=epoch, after=self.lost_home_name)
        self.on_started_leading()
        try:  # noqa: WPS501 - also when cancelled
            await self._lead_until_replaced()
        finally:
            self._stop_leading()

    def _stop_leading(self) -> None:
        self.is_home = False
        self._set_home(None)
        self.server.end_feeds()
        self.on_stopped_leading()

    async def _lead_until_replaced(self) -> None:
        """Return when this instance leaves or yields to another home."""
        self.check.begin()
        while not self.leaving:
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)
            rival = await self.check.run()
            if rival is not None:
                log(
                    'home_given_up',
                    member=rival.member.name,
                    epoch=rival.epoch,
                )
                return
