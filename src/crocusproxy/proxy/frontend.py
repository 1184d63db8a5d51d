"""The HTTP server for callers."""

import asyncio
from collections.abc import Awaitable, Callable
from datetime import timedelta
from typing import Any

from aiohttp import web
from aiohttp.http_exceptions import BadHttpMessage, LineTooLong
from aiohttp.web_protocol import RequestPayloadError

from ..clock import Clock
from ..config.model import Service
from ..http_server.input_limits import InputBudget
from ..http_server.server import (
    DeliveringServer,
    PortLimits,
    ServedConnection,
)
from ..logs import log
from .dispatch import Dispatcher
from .forward import Forwarder
from .inbound import InboundReader, InboundRequest
from .metrics import ProxyMetrics
from .problems import ANSWERED, FAILED, UNKNOWN, RefusalError
from .response_writer import ResponseWriter, StreamTruncatedError
from .settings import ProxyLimits

#: Share of the descriptors that connections of callers may take.
_CALLERS_SHARE = 0.6
_CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
#: Text of the exception that aiohttp raises above ``max_headers``.
_TOO_MANY_HEADERS = 'Too many headers'


class Frontend:
    """Serves the requests of callers.

    ``not_ready_reason`` returns '' once requests can be served. While
    ``is_draining`` is set, each response closes its connection, so that callers
    connect elsewhere. ``idle`` is set while no request is in flight.
    """

    def __init__(
        self,
        reader: InboundReader,
        forwarder: Forwarder,
        dispatcher: Dispatcher,
        metrics: ProxyMetrics,
        clock: Clock,
        *,
        log_answered: bool = False,
    ) -> None:
        self.reader = reader
        self.forwarder = forwarder
        self.dispatcher = dispatcher
        self.metrics = metrics
        self.clock = clock
        self.log_answered = log_answered
        # ``str()`` is '', so requests are served until a check is set.
        self.not_ready_reason: Callable[[], str] = str
        self.is_draining = False
        self.idle = asyncio.Event()
        self.idle.set()

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serve one request."""
        self.metrics.in_flight += 1
        self.idle.clear()
        try:  # noqa: WPS501 - also when the caller disconnects
            response = await self._serve(request)
        finally:
            self.metrics.in_flight -= 1
            if not self.metrics.in_flight:
                self.idle.set()
        if self.is_draining:
            response.force_close()
        return response

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        started_at = self.clock.monotonic()
        inbound = InboundRequest(
            request._message,  # noqa: SLF001, WPS437
            started_at,
        )
        self.reader.identify(inbound, request.remote or '')
        writer = ResponseWriter(request, inbound)
        code = ''
        try:
            response = await self._process(request, inbound, writer)
        except RefusalError as refusal:
            code = refusal.code
            outcome = refusal.outcome or inbound.current_outcome()
            response = writer.refusal(refusal, outcome)
            if not request.content.is_eof():
                response.force_close()
        except StreamTruncatedError as error:
            code = 'response_incomplete'
            writer.outcome = UNKNOWN if inbound.key else FAILED
            response = error.response
        self._record_request(writer, code, response.status)
        return response

    async def _process(
        self,
        request: web.BaseRequest,
        inbound: InboundRequest,
        writer: ResponseWriter,
    ) -> web.StreamResponse:
        reason = self.not_ready_reason()
        if reason:
            raise RefusalError('not_ready', reason)
        service = self.reader.check(inbound, self.clock.now())
        await self._read_body(request, inbound)
        return await self._forward_or_dispatch(service, inbound, writer)

    async def _forward_or_dispatch(
        self, service: Service, inbound: InboundRequest, writer: ResponseWriter
    ) -> web.StreamResponse:
        if not inbound.is_forwarded:
            homes = self.forwarder.homes(service)
            if homes:
                budget = self.dispatcher.schedulers[service.name].budget
                response = await self.forwarder.forward(
                    inbound, writer, homes, budget
                )
                if response is not None:
                    return response
        return await self.dispatcher.run(inbound, writer)

    async def _read_body(
        self, request: web.BaseRequest, inbound: InboundRequest
    ) -> None:
        content = request.content
        if content.is_eof():
            inbound.body = content.read_nowait()
            self._check_size(len(inbound.body))
            return
        if request.headers.get('Expect', '').lower() == '100-continue':
            await request.writer.write(_CONTINUE)
        remaining = inbound.deadline - self.clock.monotonic()
        chunks = []
        size = 0
        try:
            async with asyncio.timeout(remaining.total_seconds()):
                while not content.at_eof():
                    chunk = await content.readany()
                    chunks.append(chunk)
                    size += len(chunk)
                    self._check_size(size)
        except TimeoutError as error:
            raise RefusalError('deadline_exceeded') from error
        except RequestPayloadError as error:
            raise RefusalError('malformed_request', str(error)) from error
        inbound.body = b''.join(chunks)

    def _check_size(self, size: int) -> None:
        if size > self.reader.limits.request_body:
            raise RefusalError('body_too_large')

    def _record_request(
        self, writer: ResponseWriter, code: str, status: int
    ) -> None:
        inbound = writer.inbound
        service = self.reader.services.get(inbound.service)
        latency = self.clock.monotonic() - inbound.started_at
        self.metrics.record_finished(
            service, writer.outcome, code, latency, status
        )
        if code or self.log_answered or writer.outcome != ANSWERED:
            log(
                'request_finished',
                request_id=inbound.request_id,
                traceparent=inbound.headers.get('traceparent', ''),
                service=inbound.service,
                caller=inbound.caller,
                status=status,
                outcome=writer.outcome,
                code=code,
                milliseconds=latency / timedelta(milliseconds=1),
            )


class _CallerConnection(ServedConnection):
    """Responds to malformed HTTP with a problem document."""

    __slots__ = ()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Return a problem document and close the connection."""
        if request.writer.output_size > 0:
            raise ConnectionError('the response has already begun')
        refusal = _to_refusal(exc, status)
        self.server.log_refusal(refusal.code, repr(exc))
        # The request may be the retry of a keyed request that has run, so
        # its outcome is unknown.
        response = web.Response(
            status=refusal.status,
            headers=refusal.headers(UNKNOWN),
            body=refusal.body(UNKNOWN),
        )
        response.force_close()
        return response


def _to_refusal(error: BaseException | None, status: int) -> RefusalError:
    if isinstance(error, LineTooLong) or _TOO_MANY_HEADERS in str(error):
        return RefusalError('headers_too_large')
    if isinstance(error, BadHttpMessage) or status < 500:
        return RefusalError('malformed_request', 'not a valid HTTP request')
    return RefusalError('internal_error', 'the request could not be handled')


class _CallerServer(DeliveringServer):
    connection_type = _CallerConnection


def caller_server(
    handler: Callable[[web.BaseRequest], Awaitable[web.StreamResponse]],
    limits: ProxyLimits,
) -> DeliveringServer:
    """Return the HTTP server for callers.

    A handler is cancelled when its caller disconnects. Bodies are forwarded
    unchanged, so they are not decompressed.
    """
    options: dict[str, Any] = {
        'access_log': None,
        'auto_decompress': False,
        'max_line_size': limits.header_field,
        'max_field_size': limits.header_field,
        'max_headers': limits.header_count,
        'keepalive_timeout': limits.idle_caller.total_seconds(),
    }
    port_limits = PortLimits(
        _CALLERS_SHARE,
        limits.head,
        limits.request_body,
        InputBudget(limits.unserved_input),
    )
    return _CallerServer(
        handler, limits=port_limits, handler_cancellation=True, **options
    )
