"""Reading of what upstreams state about themselves in their responses."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any

from aiohttp.http import RawResponseMessage

from ..clock import Clock
from ..logs import log
from ..placement.upstream_state import UpstreamState
from .header_names import HeaderNames

#: Shortest time between two log lines about malformed headers.
MALFORMED_LOG_INTERVAL = timedelta(seconds=10)
MAX_LOGGED_CHARACTERS = 100


class ResponseObserver:
    """Records the load and the rate limit that upstreams state.

    ``write`` receives an event and its fields.
    """

    def __init__(
        self,
        header_names: HeaderNames,
        clock: Clock,
        write: Callable[..., None] = log,
    ) -> None:
        self.header_names = header_names
        self.clock = clock
        self.write = write
        self.malformed_logged_at: timedelta | None = None

    def observe_call(
        self,
        upstream: UpstreamState,
        message: RawResponseMessage,
        *,
        is_signed: bool,
    ) -> None:
        """Record what the response to a request states.

        A limit holds until a signed response does not state one.
        """
        self._observe_load(upstream, message)
        self._observe_limit(upstream, message, 'response')
        if is_signed and self.header_names.rate_limit not in message.headers:
            self._set_limit(upstream, None, 'response')

    def observe_probe(
        self, upstream: UpstreamState, message: RawResponseMessage
    ) -> None:
        """Record what the response to a load probe states.

        It does not end a limit: a health endpoint may not state limits.
        """
        self._observe_load(upstream, message)
        self._observe_limit(upstream, message, 'probe')

    def _observe_load(
        self, upstream: UpstreamState, message: RawResponseMessage
    ) -> None:
        text = message.headers.get(self.header_names.load, '')
        load = self.header_names.parse_load(text)
        if load is not None and load.slowdown is not None:
            upstream.report(
                load.slowdown, self.clock.monotonic().total_seconds()
            )

    def _observe_limit(
        self, upstream: UpstreamState, message: RawResponseMessage, source: str
    ) -> None:
        text = message.headers.get(self.header_names.rate_limit)
        if text is None:
            return
        limit = self.header_names.parse_rate_limit(text)
        if limit is None:
            self._log_malformed(upstream, self.header_names.rate_limit, text)
        else:
            self._set_limit(upstream, limit, source)

    def _set_limit(
        self, upstream: UpstreamState, limit: float | None, source: str
    ) -> None:
        previous = upstream.rate_limit
        if limit == previous:
            return
        upstream.rate_limit = limit
        self._write(
            'upstream_limit_changed',
            upstream=upstream.key,
            service=upstream.entry.service,
            limit=limit,
            previous=previous,
            source=source,
        )

    def _log_malformed(
        self, upstream: UpstreamState, header: str, text: str
    ) -> None:
        now = self.clock.monotonic()
        logged_at = self.malformed_logged_at
        if logged_at is not None and now - logged_at < MALFORMED_LOG_INTERVAL:
            return
        self.malformed_logged_at = now
        self._write(
            'upstream_header_malformed',
            upstream=upstream.key,
            header=header,
            content=text[:MAX_LOGGED_CHARACTERS],
        )

    def _write(self, event: str, **fields: Any) -> None:
        self.write(event, **fields)
