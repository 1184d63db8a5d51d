"""HTTP endpoints of the configuration daemon."""

from dataclasses import dataclass
from datetime import timedelta
from typing import Any

from aiohttp import web

from ..protocol.codec import encode
from .change import RULES_VERSION
from .feed_cache import FeedCache, RecentStates
from .source import FeedSource

_MAX_WAIT = timedelta(seconds=60)
_JSON = 'application/json'


@dataclass(frozen=True, slots=True)
class DaemonStatus:
    """State of one configuration daemon, for operators.

    ``offset`` is that of the last applied record; -1 if the daemon does not
    read the platform. ``following`` is set once the state of the stream has a
    baseline: the start of the stream or a snapshot. ``rules`` is the version of
    the validation rules of this program, ``problem`` the code of the current
    problem or empty, ``snapshot_generation`` that of the newest snapshot or 0.
    """

    generation: int
    view_version: int
    reads_platform: bool
    following: bool
    offset: int
    rules: int
    problem: str
    snapshot_generation: int


class FeedServer:
    """Serves the long polls ``/v1/config`` and ``/v1/view``."""

    def __init__(self, feed_cache: FeedCache, source: FeedSource) -> None:
        self.feed_cache = feed_cache
        self.source = source

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of the feeds and of the status."""
        return [
            web.get('/v1/config', self.config),
            web.get('/v1/view', self.view),
            web.get('/v1/status', self.status),
        ]

    async def config(self, request: web.Request) -> web.Response:
        """Reply once the generation is above ``after``."""
        return await self._reply_when_newer(request, self.feed_cache.documents)

    async def view(self, request: web.Request) -> web.Response:
        """Reply once the version of the view is above ``after``."""
        return await self._reply_when_newer(request, self.feed_cache.views)

    async def status(self, _: web.Request) -> web.Response:
        """Return the daemon's status."""
        state = self.source.reader.state
        status = DaemonStatus(
            generation=self.feed_cache.document.generation,
            view_version=self.feed_cache.view.version,
            reads_platform=self.source.reads_platform(),
            following=self.source.reader.started and state.has_baseline,
            offset=state.offset,
            rules=RULES_VERSION,
            problem=self.source.problem(),
            snapshot_generation=(
                state.snapshot.generation if state.snapshot else 0
            ),
        )
        return web.Response(body=encode(status), content_type=_JSON)

    async def _reply_when_newer(
        self,
        request: web.Request,
        states: RecentStates[Any],
    ) -> web.Response:
        after = _integer_parameter(request, 'after', -1)
        notifier = self.feed_cache.notifier
        await notifier.wait_until(
            lambda: states.version > after, _wait_parameter(request)
        )
        if notifier.closed:
            # The client fails over to another daemon.
            raise web.HTTPServiceUnavailable
        body = states.body(after, request.query.get('edits') == '1')
        return web.Response(body=body, content_type=_JSON)


def _wait_parameter(request: web.Request) -> timedelta:
    wait = _integer_parameter(request, 'wait_ms', 0)
    limit = _MAX_WAIT // timedelta(milliseconds=1)
    return timedelta(milliseconds=min(max(wait, 0), limit))


def _integer_parameter(request: web.Request, name: str, default: int) -> int:
    text = request.query.get(name)
    if text is None:
        return default
    try:
        return int(text)
    except ValueError as error:
        reason = f'{name} must be a whole number'
        raise web.HTTPBadRequest(text=reason) from error
