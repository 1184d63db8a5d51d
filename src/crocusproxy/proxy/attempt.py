"""One attempt to get a response from one upstream."""

from collections.abc import Callable
from dataclasses import dataclass

from aiohttp import web
from aiohttp.http import RawResponseMessage

from ..clock import Clock
from ..logs import log
from ..routing.results import (
    Answered,
    Cancelled,
    Failed,
    Rejected,
    Result,
)
from .connection import BrokenResponseError, DeadlineError
from .exchange import Exchange
from .inbound import InboundRequest
from .messages import LOAD_HEADER, load_report, retry_after
from .pool import ConnectionPool, NotOpenedError
from .problems import NOT_RUN, RefusalError
from .response_writer import ResponseWriter
from .service import Assignment

_OVERLOAD_STATUSES = frozenset((429, 503))
_FAILURE_STATUSES = frozenset((500, 502, 504))


@dataclass(frozen=True, slots=True)
class NotRun:
    """The upstream was not reached or did not run the request.

    ``message`` and ``body`` are the response of an upstream that reports this.
    """

    message: RawResponseMessage | None = None
    body: bytes = b''


@dataclass(frozen=True, slots=True)
class ResponseLost:
    """The request was written, and no usable response came back."""

    refusal: RefusalError


@dataclass(frozen=True, slots=True)
class Withdrawn:
    """The request was aborted in an upstream's queue, to be retried elsewhere.

    The upstream is probably slow, so another one may respond sooner.
    """


class Attempt:
    """Sends a request to the assigned upstream and reports the result.

    ``may_send`` is checked immediately before the first byte is written; it
    returns False once the claim of a keyed request has lapsed. It is None for
    a request without a key.
    """

    __slots__ = (
        'buffer_limit_bytes',
        'clock',
        'result',
        'exchange',
        'inbound',
        'may_send',
        'is_withdrawn',
        'writer',
        'assignment',
    )

    def __init__(
        self,
        assignment: Assignment,
        writer: ResponseWriter,
        pool: ConnectionPool,
        clock: Clock,
        may_send: Callable[[], bool] | None,
        buffer_limit_bytes: int,
    ) -> None:
        self.assignment = assignment
        self.writer = writer
        self.inbound: InboundRequest = writer.inbound
        self.clock = clock
        self.may_send = may_send
        self.buffer_limit_bytes = buffer_limit_bytes
        self.exchange = Exchange(
            pool, assignment.upstream.address, writer.inbound
        )
        self.result: Result = Cancelled()
        self.is_withdrawn = False

    def allow_withdrawal(self) -> None:
        """Let the scheduler withdraw the request by aborting its connection.

        A withdrawal spends retry budget, because the request is sent again.
        """
        self.assignment.withdraw = self._withdraw

    async def run(
        self,
    ) -> web.StreamResponse | NotRun | ResponseLost | Withdrawn:
        """Return the response for the caller, or how the attempt failed.

        Raises:
            RefusalError: the deadline has passed or the claim has lapsed.
        """
        try:
            return await self._run()
        except NotOpenedError as error:
            self.result = Failed()
            self._log('upstream_not_reached', error)
            return NotRun()
        except BrokenResponseError as error:
            if self.is_withdrawn:
                return Withdrawn()
            self.result = Failed()
            await self.exchange.wait_for_crash_check()
            return self._response_lost(error)
        finally:
            self.exchange.close()
            self.assignment.finish(self.result)

    async def _run(self) -> web.StreamResponse | NotRun:
        may_have_run_before = self.inbound.may_have_run
        message = await self._send()
        self._apply_upstream_headers(message)
        is_refused = _reports_not_run(message)
        if is_refused:
            self.exchange.record_refusal()
        body, is_complete = await self.exchange.read_body(
            self.buffer_limit_bytes
        )
        outcome = ''
        if is_refused:
            self.inbound.may_have_run = may_have_run_before
            outcome = self.inbound.current_outcome()
        if not is_complete:
            response = await self.writer.stream(
                self.exchange, body, outcome=outcome
            )
            self.result = self._classify(message)
            return response
        self.result = self._classify(message)
        if outcome:
            return NotRun(message, body)
        return self.writer.complete_response(message, body)

    async def _send(self) -> RawResponseMessage:
        inbound = self.inbound
        await self.exchange.open(self.clock)
        now = self.clock.monotonic()
        if now >= inbound.deadline:
            raise RefusalError('deadline_exceeded')
        if self.may_send is not None and not self.may_send():
            raise RefusalError('platform_unavailable', 'the claim has lapsed')
        inbound.may_have_run = True
        return await self.exchange.send(now)

    def _withdraw(self) -> None:
        exchange = self.exchange
        connection = exchange.connection
        if (
            self.is_withdrawn
            or not exchange.write_started
            or exchange.message is not None
        ):
            return
        if (
            connection is not None
            and self.assignment.scheduler.budget.try_spend()
        ):
            self.is_withdrawn = True
            connection.abort()

    def _apply_upstream_headers(self, message: RawResponseMessage) -> None:
        assignment = self.assignment
        if LOAD_HEADER in message.headers:
            load = load_report(message, self.clock.monotonic())
            if load is not None:
                assignment.scheduler.report(assignment.upstream, load)
        if message.headers.get('Upstream-State') == 'draining':
            assignment.scheduler.on_drain(assignment.upstream)

    def _classify(self, message: RawResponseMessage) -> Result:
        if message.code in _OVERLOAD_STATUSES:
            return Rejected(retry_after(message))
        if message.code in _FAILURE_STATUSES:
            return Failed()
        return Answered(self.clock.monotonic() - self.assignment.started_at)

    def _response_lost(self, error: BrokenResponseError) -> ResponseLost:
        code = 'upstream_failed'
        if isinstance(error, DeadlineError):
            code = 'deadline_exceeded'
        elif self.exchange.message is not None:
            code = 'response_incomplete'
        self._log('response_broken', error)
        return ResponseLost(RefusalError(code, str(error)))

    def _log(self, event: str, error: Exception) -> None:
        log(
            event,
            request_id=self.inbound.request_id,
            traceparent=self.inbound.headers.get('traceparent', ''),
            upstream=self.assignment.upstream.key,
            error=str(error),
        )


def _reports_not_run(message: RawResponseMessage) -> bool:
    return (
        message.code in _OVERLOAD_STATUSES
        and message.headers.get('Upstream-Outcome') == NOT_RUN
    )
