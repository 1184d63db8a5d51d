"""The feed by which a home and its followers distribute their state."""

import asyncio
from collections.abc import AsyncGenerator, Awaitable, Callable
from contextlib import aclosing

from aiohttp import web

from ..logs import log
from ..protocol.codec import MalformedMessageError, decode, encode
from ..protocol.home_feed import (
    Departure,
    FeedMessage,
    Member,
    MemberView,
    UpstreamChange,
)
from .catalog import Catalog
from .domain_homes import DomainHomeTable
from .feed_lines import LineEncoder
from .member_list import MemberList
from .relay_order import order_relays

FEED_PATH = '/members/feed'
VIEW_PATH = '/members/view'
LIST_PATH = '/members'
DEPARTURE_PATH = '/members/departure'
#: A follower that receives nothing for several intervals seeks a new home.
HEARTBEAT_INTERVAL_SECONDS = 0.2
_CONFLICT = 409
#: A follower with more unread messages is disconnected.
_MAX_QUEUED_MESSAGES = 256
#: New members are sent together, as all can join at once.
_MEMBER_BATCH_SECONDS = 0.5
#: How long a member delays its view until it has a home, if asked to.
_VIEW_WAIT_SECONDS = 0.25
_HEARTBEAT = FeedMessage()


class HomeFeedServer:
    """Serves this member's view, member list and feed on the internal port.

    ``view`` returns this member's own view. ``wait_for_home`` returns once it
    has a home, or after some seconds. ``path`` names the members through which
    the feed reaches this one, the home first. ``on_departure`` receives what
    leaving members say.
    """

    def __init__(
        self,
        catalog: Catalog,
        member_list: MemberList,
        domain_homes: DomainHomeTable,
        view: Callable[[], MemberView],
        wait_for_home: Callable[[float], Awaitable[None]],
    ) -> None:
        self.catalog = catalog
        self.member_list = member_list
        self.domain_homes = domain_homes
        self.view = view
        self.wait_for_home = wait_for_home
        self.path: tuple[str, ...] = ()
        self.on_departure: Callable[[Departure], None] = _ignore
        self.encoder = LineEncoder()
        self.plain_encoder = LineEncoder(compress=False)
        self.unsent_changes: list[UpstreamChange] = []
        self.unsent_members: list[Member] = []
        self.state = FeedMessage()
        self.state_version: tuple[object, ...] = ()
        self.members = FeedMessage()
        self.member_revision = -1
        self.followers: dict[str, asyncio.Queue[FeedMessage | None]] = {}
        catalog.on_config.append(
            lambda config: self.publish(FeedMessage(config=config))
        )
        catalog.on_evacuation.append(
            lambda domains: self.publish(
                FeedMessage(evacuated=tuple(sorted(domains)))
            )
        )
        catalog.on_complete.append(self._publish_full_state)
        catalog.on_upstream.append(self._add_change)
        catalog.store_incarnation.on_restore.append(
            lambda number: self.publish(FeedMessage(store_incarnation=number))
        )
        domain_homes.on_change.append(
            lambda homes: self.publish(FeedMessage(domain_homes=homes))
        )

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the internal port."""
        return [
            web.post(FEED_PATH, self._handle_feed),
            web.post(VIEW_PATH, self._handle_view),
            web.get(LIST_PATH, self._handle_list),
            web.post(DEPARTURE_PATH, self._handle_departure),
        ]

    def relay_addresses(self) -> tuple[str, ...]:
        """Return the internal addresses of relays of the store, best first.

        Followers are known to run. A new home has few yet, and its own path to
        the store may be lost already.
        """
        others = self.member_list.others()
        followers = [one for one in others if one.name in self.followers]
        absent = [one for one in others if one.name not in self.followers]
        own_failure_domain = self.member_list.own.failure_domain
        return tuple(
            member.internal
            for group in (followers, absent)
            for member in order_relays(group, own_failure_domain)
        )

    def publish(self, message: FeedMessage) -> None:
        """Queue a message for each follower."""
        for name, queue in tuple(self.followers.items()):
            if queue.qsize() < _MAX_QUEUED_MESSAGES:
                queue.put_nowait(message)
            else:
                log('feed_follower_too_slow', member=name)
                self._end_feed(name)

    def accepts(self, follower: Member) -> bool:
        """Return whether a member may follow this one.

        A member through which this one receives the feed may not: that would
        close a loop of followers without a home.
        """
        is_attached = self.view().state in {'home', 'attached'}
        return is_attached and follower.name not in self.path

    async def messages(
        self, follower: Member
    ) -> AsyncGenerator[FeedMessage, None]:
        """Yield the full state, then changes and heartbeats."""
        self._end_feed(follower.name)
        queue: asyncio.Queue[FeedMessage | None] = asyncio.Queue()
        queue.put_nowait(self.member_message())
        self.followers[follower.name] = queue
        self._register(follower)
        message: FeedMessage | None = self.full_state()
        try:  # noqa: WPS501 - also when the follower goes away
            while message is not None:
                yield message
                message = await _next_message(queue)
        finally:
            if self.followers.get(follower.name) is queue:
                self.followers.pop(follower.name)

    def end_feeds(self) -> None:
        """End all feeds, so that the followers seek a new home."""
        for name in tuple(self.followers):
            self._end_feed(name)

    def full_state(self) -> FeedMessage:
        """Return the full state for a new follower, but for the members.

        The message is the same object until the state changes, so that it is
        encoded once for all instances that start at a moment.
        """
        view = self.view()
        catalog = self.catalog
        version = (
            view,
            self.path,
            catalog.revision,
            catalog.store_incarnation.number,
            self.domain_homes.assignment,
        )
        if self.state_version != version:
            self.state_version = version
            self.state = FeedMessage(
                view.epoch,
                view.home,
                (*self.path, view.member.name),
                full=catalog.is_complete,
                config=catalog.config,
                changes=tuple(
                    UpstreamChange(key, entry)
                    for key, entry in catalog.upstreams.items()
                ),
                domain_homes=self.domain_homes.assignment,
                store_incarnation=catalog.store_incarnation.number,
                terms=catalog.terms.stated(),
                evacuated=tuple(sorted(catalog.evacuated)),
            )
        return self.state

    def member_message(self) -> FeedMessage:
        """Return the members for a new follower, also as the same object.

        Those that are about to be sent to all followers may be missing.
        """
        revision = self.member_list.revision
        if self.member_revision != revision and not self.unsent_members:
            self.member_revision = revision
            self.members = FeedMessage(
                members=self.member_list.all(),
                departed=self.member_list.departures(),
            )
        return self.members

    def _end_feed(self, name: str) -> None:
        queue = self.followers.pop(name, None)
        if queue is not None:
            queue.put_nowait(None)

    async def _handle_feed(self, request: web.Request) -> web.StreamResponse:
        try:
            follower = decode(Member, await request.read())
        except MalformedMessageError as error:
            return web.Response(status=400, text=str(error))
        if not self.accepts(follower):
            return web.Response(status=_CONFLICT, body=encode(self.view()))
        response = web.StreamResponse()
        is_compressed = 'compressed' in request.query
        encoder = self.encoder if is_compressed else self.plain_encoder
        try:
            await self._stream(follower, request, response, encoder)
        except ConnectionError as error:
            log('feed_follower_lost', member=follower.name, reason=str(error))
        return response

    async def _stream(
        self,
        follower: Member,
        request: web.Request,
        response: web.StreamResponse,
        encoder: LineEncoder,
    ) -> None:
        await response.prepare(request)
        async with aclosing(self.messages(follower)) as messages:
            async for message in messages:
                await response.write(encoder.encode(message))

    def _register(self, follower: Member) -> None:
        log('feed_follower_joined', member=follower.name)
        if self.member_list.merge((follower,), is_in_contact=True):
            if not self.unsent_members:
                asyncio.get_running_loop().call_later(
                    _MEMBER_BATCH_SECONDS, self._publish_members
                )
            self.unsent_members.append(follower)

    def _publish_members(self) -> None:
        members = tuple(self.unsent_members)
        self.unsent_members.clear()
        self.publish(FeedMessage(members=members))

    def _add_change(self, change: UpstreamChange) -> None:
        """Send the changes of one read in one message."""
        if not self.unsent_changes:
            asyncio.get_running_loop().call_soon(self._publish_changes)
        self.unsent_changes.append(change)

    def _publish_changes(self) -> None:
        if self.unsent_changes:
            changes = tuple(self.unsent_changes)
            self.unsent_changes.clear()
            self.publish(FeedMessage(changes=changes))

    def _publish_full_state(self) -> None:
        self.unsent_changes.clear()
        self.publish(self.full_state())

    async def _handle_view(self, request: web.Request) -> web.Response:
        try:
            requester = decode(Member, await request.read())
        except MalformedMessageError as error:
            return web.Response(status=400, text=str(error))
        self.member_list.merge((requester,), is_in_contact=True)
        if 'wait' in request.query:
            await self.wait_for_home(_VIEW_WAIT_SECONDS)
        return web.Response(body=encode(self.view()))

    async def _handle_departure(self, request: web.Request) -> web.Response:
        try:
            departure = decode(Departure, await request.read())
        except MalformedMessageError as error:
            return web.Response(status=400, text=str(error))
        self.on_departure(departure)
        return web.Response()

    async def _handle_list(self, _: web.Request) -> web.Response:
        message = FeedMessage(members=self.member_list.all())
        return web.Response(body=encode(message))


async def _next_message(
    queue: 'asyncio.Queue[FeedMessage | None]',
) -> FeedMessage | None:
    try:
        async with asyncio.timeout(HEARTBEAT_INTERVAL_SECONDS):
            return await queue.get()
    except TimeoutError:
        return _HEARTBEAT


def _ignore(departure: Departure) -> None:
    """Do nothing, as at a member that is not the home."""
