"""Requests that could not be parsed, and their refusals."""

from datetime import timedelta

from aiohttp.http import HttpVersion11, RawRequestMessage
from aiohttp.http_exceptions import LineTooLong
from aiohttp.streams import EMPTY_PAYLOAD
from multidict import CIMultiDict, CIMultiDictProxy
from yarl import URL

from .caller_request import CallerRequest
from .input_meter import HeadTooLargeError
from .responses import Refusal

_TOO_MANY_HEADERS = 'Too many headers'
#: Used as the head of a request that could not be parsed.
_PLACEHOLDER_HEAD = RawRequestMessage(
    'GET',
    '/',
    HttpVersion11,
    CIMultiDictProxy(CIMultiDict()),
    (),
    should_close=True,
    compression=None,
    upgrade=False,
    chunked=False,
    url=URL('/'),
)


def rejected_request(refusal: Refusal, received_at: timedelta) -> CallerRequest:
    """Return a request that has its refusal."""
    request = CallerRequest(
        _PLACEHOLDER_HEAD, EMPTY_PAYLOAD, '', received_at, None
    )
    request.response = refusal.response(close=True)
    return request


def refusal_for(error: BaseException) -> Refusal:
    """Return the refusal of the input that raised ``error``."""
    match error:
        case LineTooLong() | HeadTooLargeError():
            return Refusal(431, 'headers_too_large', 'the head is too large')
        case TimeoutError():
            return Refusal(408, 'header_timeout', str(error))
        case _ if _TOO_MANY_HEADERS in str(error):
            return Refusal(431, 'headers_too_large', 'too many headers')
    return Refusal(400, 'malformed_request', 'not a valid HTTP request')
