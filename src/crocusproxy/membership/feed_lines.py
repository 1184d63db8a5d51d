"""Encoding of feed messages as lines, compressed if they are long.

The full state of a site has hundreds of bytes for each upstream, and a home
sends it to many followers at once after a loss of all instances.
"""

import zlib
from base64 import b64decode, b64encode
from binascii import Error as Base64Error
from collections import deque

from ..adapters import adapter_for
from ..protocol.codec import MalformedMessageError, decode
from ..protocol.home_feed import FeedMessage

#: Encoded messages that are kept, as each is sent to all followers.
ENCODED_MESSAGES = 8
#: Lines that are shorter are not compressed.
MIN_COMPRESSED_BYTES = 2048
MAX_LINE_BYTES = 16 * 1024 * 1024
_COMPRESSION_LEVEL = 1
#: Starts a compressed line; other lines are JSON objects.
_COMPRESSED_PREFIX = b'z'


class LineEncoder:
    """Encodes messages and keeps the latest lines.

    Without ``compress``, members of an older build can read the lines.
    """

    def __init__(self, *, compress: bool = True) -> None:
        self.compress = compress
        self.recent: deque[tuple[FeedMessage, bytes]] = deque(
            maxlen=ENCODED_MESSAGES
        )

    def encode(self, message: FeedMessage) -> bytes:
        """Return the line of a message, the same one for the same object."""
        for encoded_message, line in self.recent:
            if encoded_message is message:
                return line
        line = encode_line(message, compress=self.compress)
        self.recent.append((message, line))
        return line


def encode_line(message: FeedMessage, *, compress: bool = True) -> bytes:
    """Return a message as one line without fields that have defaults.

    >>> encode_line(FeedMessage(epoch=2)).strip()
    b'{"epoch":2}'
    """
    adapter = adapter_for(FeedMessage)
    line = adapter.dump_json(message, exclude_defaults=True)
    if compress and len(line) >= MIN_COMPRESSED_BYTES:
        compressed = zlib.compress(line, _COMPRESSION_LEVEL)
        line = _COMPRESSED_PREFIX + b64encode(compressed)
    return b'%b\n' % line


def decode_line(line: bytes) -> FeedMessage:
    """Return the message of a line.

    Raises:
        MalformedMessageError: the line does not have the expected form.
    """
    if not line.startswith(_COMPRESSED_PREFIX):
        return decode(FeedMessage, line)
    try:
        content = _decompress(line[len(_COMPRESSED_PREFIX) :])
    except (Base64Error, zlib.error) as error:
        raise MalformedMessageError(f'compressed line: {error}') from error
    return decode(FeedMessage, content)


def _decompress(text: bytes) -> bytes:
    compressed = b64decode(text)
    return zlib.decompressobj().decompress(compressed, MAX_LINE_BYTES)
