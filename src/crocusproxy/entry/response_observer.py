"""Reading of what upstreams state about themselves in their responses."""

from collections.abc import Callable
from datetime import timedelta
from typing import Any, Literal

from aiohttp.http import RawResponseMessage

from ..clock import Clock
from ..logs import log
from ..placement.upstream_state import UpstreamState
from ..placement.upstream_terms import TermsTable, UpstreamTerms
from .header_names import HeaderNames
from .upstream_messages import RESPONDER_HEADER, parse_retry_after

#: Shortest time between two log lines about malformed headers.
MALFORMED_LOG_INTERVAL = timedelta(seconds=10)
MAX_LOGGED_CHARACTERS = 100
#: Shortest time between two lines about other values of an upstream's limit.
LIMIT_LOG_INTERVAL_SECONDS = 1.0
#: Shorter backoffs are frequent under load, and call_ended shows them.
MIN_LOGGED_BACKOFF_SECONDS = 1.0

_MISDIRECTED = 421
_RETRY_AFTER = 'Retry-After'
#: Refusals whose ``Retry-After`` asks this instance to send nothing.
_BACKOFF_STATUSES = frozenset((429, 503))
#: Values of the header ``leaving`` that do not mark a leaving upstream.
_NOT_LEAVING = frozenset(('', '0'))

Source = Literal['response', 'probe', 'relayed']


class ResponseObserver:
    """Records the load and the terms that upstreams state.

    ``terms_table`` holds the terms of all upstreams. ``write`` receives an
    event and its fields.
    """

    def __init__(
        self,
        header_names: HeaderNames,
        clock: Clock,
        terms_table: TermsTable,
        write: Callable[..., None] = log,
    ) -> None:
        self.header_names = header_names
        self.clock = clock
        self.terms_table = terms_table
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
        if message.code == _MISDIRECTED:
            # Another server has responded at the upstream's address.
            return
        self._observe_load(upstream, message)
        self._observe_backoff(upstream, message)
        self._observe_warm_up(upstream, message, 'response')
        self._observe_terms(
            upstream.key,
            upstream.terms,
            message,
            'response',
            may_end_limit=is_signed,
        )

    def observe_probe(
        self, upstream: UpstreamState, message: RawResponseMessage
    ) -> None:
        """Record what the response to a load probe states.

        It does not end a limit: a health endpoint may not state limits.
        """
        self._observe_load(upstream, message)
        self._observe_backoff(upstream, message)
        upstream.terms.warm_up.end_assumption()
        self._observe_warm_up(upstream, message, 'probe')
        self._observe_terms(
            upstream.key,
            upstream.terms,
            message,
            'probe',
            may_end_limit=False,
        )

    def observe_relayed(self, message: RawResponseMessage) -> None:
        """Record what an upstream's response states that a home has sent.

        This instance passes the response on, so the terms bind it too, once
        it dispatches itself.
        """
        responder = message.headers.get(RESPONDER_HEADER, '')
        key, _, started_at = responder.rpartition(' ')
        if not key or not started_at.isdecimal():
            # The home itself has responded, or it runs an older build.
            return
        terms = self.terms_table.terms_of(key, int(started_at))
        self._observe_terms(key, terms, message, 'relayed', may_end_limit=True)

    def _observe_load(
        self, upstream: UpstreamState, message: RawResponseMessage
    ) -> None:
        text = message.headers.get(self.header_names.load, '')
        load = self.header_names.parse_load(text)
        if load is not None and load.slowdown is not None:
            upstream.report(load.slowdown, self._now())

    def _observe_backoff(
        self, upstream: UpstreamState, message: RawResponseMessage
    ) -> None:
        if message.code not in _BACKOFF_STATUSES:
            return
        text = message.headers.get(_RETRY_AFTER)
        if text is None:
            return
        backoff = parse_retry_after(text)
        if backoff is None:
            self._log_malformed(upstream.key, _RETRY_AFTER, text)
            return
        now = self._now()
        seconds = backoff.total_seconds()
        is_extended = now + seconds > upstream.terms.backoff_until
        upstream.terms.request_backoff(seconds, now)
        if is_extended and seconds >= MIN_LOGGED_BACKOFF_SECONDS:
            self._write(
                'upstream_backoff', upstream=upstream.key, seconds=seconds
            )

    def _observe_warm_up(
        self,
        upstream: UpstreamState,
        message: RawResponseMessage,
        source: Source,
    ) -> None:
        header = self.header_names.warm_up
        text = message.headers.get(header)
        if text is None:
            return
        remaining = self.header_names.parse_warm_up(text)
        if remaining is None:
            self._log_malformed(upstream.key, header, text)
            return
        now = self._now()
        seconds = remaining.total_seconds()
        warm_up = upstream.terms.warm_up
        if warm_up.apply_stated(seconds, now):
            self.terms_table.report_change(upstream.key, now)
            self._write(
                'upstream_cold',
                upstream=upstream.key,
                seconds=seconds,
                rate=warm_up.rate,
                source=source,
            )

    def _observe_terms(
        self,
        key: str,
        terms: UpstreamTerms,
        message: RawResponseMessage,
        source: Source,
        *,
        may_end_limit: bool,
    ) -> None:
        leaving = message.headers.get(self.header_names.leaving, '')
        if leaving.strip() not in _NOT_LEAVING:
            self._mark_leaving(key, terms, source)
        text = message.headers.get(self.header_names.rate_limit)
        if text is None:
            if may_end_limit:
                self._change_limit(key, terms, None, source)
            return
        limit = self.header_names.parse_rate_limit(text)
        if limit is None:
            self._log_malformed(key, self.header_names.rate_limit, text)
        else:
            self._change_limit(key, terms, limit, source)

    def _mark_leaving(
        self, key: str, terms: UpstreamTerms, source: Source
    ) -> None:
        if not terms.is_leaving:
            terms.is_leaving = True
            self.terms_table.report_change(key)
            self._write('upstream_leaving', upstream=key, source=source)

    def _change_limit(
        self,
        key: str,
        terms: UpstreamTerms,
        limit: float | None,
        source: Source,
    ) -> None:
        previous = terms.rate_limit
        if limit == previous:
            return
        now = self._now()
        terms.apply_rate_limit(limit, now)
        self.terms_table.report_change(key)
        is_change_of_value = None not in {limit, previous}
        if (
            is_change_of_value
            and now - terms.limit_logged_at < LIMIT_LOG_INTERVAL_SECONDS
        ):
            return
        terms.limit_logged_at = now
        self._write(
            'upstream_limit_changed',
            upstream=key,
            limit=limit,
            previous=previous,
            source=source,
        )

    def _log_malformed(self, key: str, header: str, text: str) -> None:
        now = self.clock.monotonic()
        logged_at = self.malformed_logged_at
        if logged_at is not None and now - logged_at < MALFORMED_LOG_INTERVAL:
            return
        self.malformed_logged_at = now
        self._write(
            'upstream_header_malformed',
            upstream=key,
            header=header,
            content=text[:MAX_LOGGED_CHARACTERS],
        )

    def _write(self, event: str, **fields: Any) -> None:
        self.write(event, **fields)

    def _now(self) -> float:
        return self.clock.monotonic().total_seconds()
