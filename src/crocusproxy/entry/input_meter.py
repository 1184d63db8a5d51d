"""Counts the input of one connection and checks it against the limits."""

from aiohttp import StreamReader
from aiohttp.streams import EMPTY_PAYLOAD

#: The request line and the header section may each have the configured length.
_HEAD_PARTS = 2
#: Instances add headers to requests that they forward to each other.
_FORWARDING_BYTES = 4 * 1024
#: Bytes of chunk sizes, extensions and trailers that a body may have in any
#: case, and for each byte of its content. A chunk of one byte takes six.
_FREE_FRAMING_BYTES = 16 * 1024
_FRAMING_RATIO = 8


class HeadTooLargeError(Exception):
    """The head of a request is longer than the configuration allows."""


class FramingTooLargeError(Exception):
    """A body has too many bytes that are not its content."""


class InputMeter:
    """Counts the bytes of the head or of the body that is arriving.

    ``head_bytes`` includes the empty lines before the head. ``payload`` is the
    body of the latest request, whose bytes with all framing are
    ``framed_bytes``.
    """

    __slots__ = ('framed_bytes', 'head_bytes', 'payload')

    def __init__(self) -> None:
        self.head_bytes = 0
        self.framed_bytes = 0
        self.payload: StreamReader = EMPTY_PAYLOAD

    def awaits_head(self) -> bool:
        """Return whether the next byte belongs to the head of a request."""
        return self.payload.is_eof()

    def count(self, byte_count: int, header_bytes: int) -> None:
        """Count bytes that arrived.

        Raises:
            HeadTooLargeError: the head is too long.
            FramingTooLargeError: the body has too much framing.
        """
        if self.awaits_head():
            self.head_bytes += byte_count
            limit = _HEAD_PARTS * header_bytes + _FORWARDING_BYTES
            if self.head_bytes > limit:
                raise HeadTooLargeError(f'a head of more than {limit} bytes')
            return
        self.framed_bytes += byte_count
        # What was just counted is content or framing, as is not yet known.
        content_bytes = self.payload.total_bytes + byte_count
        framing_limit = _FREE_FRAMING_BYTES + _FRAMING_RATIO * content_bytes
        if self.framed_bytes > framing_limit:
            raise FramingTooLargeError(f'more than {framing_limit} bytes')

    def framing_bytes(self) -> int:
        """Return the bytes of an arriving body that are not its content."""
        if self.awaits_head():
            return 0
        return max(self.framed_bytes - self.payload.total_bytes, 0)

    def start_body(self, payload: StreamReader) -> int:
        """Count the body of a request, and return the bytes of its head."""
        head_bytes = self.head_bytes
        self.payload = payload
        self.head_bytes = 0
        self.framed_bytes = 0
        return head_bytes
