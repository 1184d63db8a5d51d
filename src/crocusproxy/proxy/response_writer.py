"""Writes a response to the caller, buffered or streamed."""

from aiohttp import HttpVersion11, web
from aiohttp.http import RawResponseMessage
from multidict import CIMultiDict

from .connection import BrokenResponseError
from .exchange import Exchange
from .inbound import InboundRequest
from .messages import response_headers
from .problems import ANSWERED, RefusalError


class StreamTruncatedError(Exception):
    """The caller has received only a part of ``response``."""

    def __init__(self, response: web.StreamResponse, reason: str) -> None:
        super().__init__(reason)
        self.response = response


class ResponseWriter:
    """Writes the response to the caller of one request.

    ``outcome`` is the outcome for logs and metrics. It was also reported to the
    caller, unless the response was truncated after its headers were sent.
    As an argument, an empty ``outcome`` stands for ``answered``.
    """

    __slots__ = ('inbound', 'outcome', 'request')

    def __init__(
        self, request: web.BaseRequest, inbound: InboundRequest
    ) -> None:
        self.request = request
        self.inbound = inbound
        self.outcome = ANSWERED

    def complete_response(
        self,
        message: RawResponseMessage,
        body: bytes,
        *,
        outcome: str = '',
    ) -> web.Response:
        """Return a response whose body is complete."""
        headers = self._headers(message, outcome)
        if self.inbound.method != 'HEAD':
            # aiohttp sets the length from the body.
            headers.popall('Content-Length', None)
        return web.Response(
            status=message.code,
            reason=message.reason,
            headers=headers,
            body=body or None,
        )

    async def stream(
        self,
        exchange: Exchange,
        first_part: bytes,
        *,
        outcome: str = '',
    ) -> web.StreamResponse:
        """Stream a large response to the caller while it arrives.

        If it breaks, the caller's connection is closed before the declared
        end, so that the caller can detect the incomplete response.

        Raises:
            BrokenResponseError: the response cannot be streamed.
            StreamTruncatedError: the response broke after its start.
        """
        message = exchange.message
        assert message is not None
        response = web.StreamResponse(
            status=message.code,
            reason=message.reason,
            headers=self._headers(message, outcome),
        )
        if 'Content-Length' not in message.headers:
            if self.request.version < HttpVersion11:
                raise BrokenResponseError('HTTP/1.0 has no chunked coding')
            response.enable_chunked_encoding()
        await response.prepare(self.request)
        try:
            await _write_body(response, first_part, exchange)
        except (BrokenResponseError, ConnectionError) as error:
            if self.request.transport is not None:
                self.request.transport.close()
            raise StreamTruncatedError(response, str(error)) from error
        return response

    def refusal(self, refusal: RefusalError, outcome: str) -> web.Response:
        """Return the problem document of a refusal."""
        self.outcome = outcome
        headers = refusal.headers(outcome)
        headers['X-Request-ID'] = self.inbound.request_id
        return web.Response(
            status=refusal.status,
            headers=headers,
            body=refusal.body(outcome),
        )

    def _headers(
        self,
        message: RawResponseMessage,
        outcome: str,
    ) -> CIMultiDict[str]:
        self.outcome = outcome or ANSWERED
        headers = response_headers(message)
        headers['Crocus-Outcome'] = self.outcome
        headers['X-Request-ID'] = self.inbound.request_id
        return headers


async def _write_body(
    response: web.StreamResponse,
    first_part: bytes,
    exchange: Exchange,
) -> None:
    if first_part:
        await response.write(first_part)
    async for chunk in exchange.remaining_body():
        await response.write(chunk)
    await response.write_eof()
