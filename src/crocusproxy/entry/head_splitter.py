"""Splits received bytes at the ends of request heads."""

HEAD_END = b'\r\n\r\n'
_OVERLAP = len(HEAD_END) - 1
_LINE_ENDS = frozenset((b'\r', b'\n'))
#: Parsing tiny chunks takes a hundred times as long as parsing other bytes.
MAX_PIECE_BYTES = 2048


class HeadSplitter:
    """Keeps received bytes, and splits them when they are taken.

    Each piece has the end of one head at most, so that at most one request is
    started for it. A parser that finds invalid bytes discards the requests that
    it has read from the same piece. Bodies may be split as well.

    >>> splitter = HeadSplitter()
    >>> splitter.feed(HEAD_END * 2 + b'rest')
    >>> [len(splitter.take()) for _ in range(4)]
    [4, 4, 4, 0]
    >>> splitter.feed(HEAD_END[:3])
    >>> len(splitter.take())
    3
    >>> splitter.feed(HEAD_END[3:] + b'rest')
    >>> [len(splitter.take()) for _ in range(3)]
    [1, 4, 0]
    >>> splitter.feed(b'x' * (MAX_PIECE_BYTES + 1))
    >>> splitter.kept_bytes()
    2049
    >>> [len(splitter.take()) for _ in range(2)]
    [2048, 1]
    """

    __slots__ = ('position', 'segment', 'tail')

    def __init__(self) -> None:
        self.segment = b''
        #: Where the bytes of the segment begin that were not taken.
        self.position = 0
        #: The last bytes that were taken, which may begin a head's end.
        self.tail = b''

    def feed(self, segment: bytes) -> None:
        """Add received bytes."""
        if self.position < len(self.segment):
            segment = self.segment[self.position :] + segment
        self.segment = segment
        self.position = 0

    def kept_bytes(self) -> int:
        """Return how many bytes were not taken."""
        return len(self.segment) - self.position

    def take(self) -> bytes:
        """Return the next piece, empty if there is none."""
        start = self.position
        segment = self.segment
        end = min(self._end_of_head(), start + MAX_PIECE_BYTES)
        piece = segment[start:end]
        joined = self.tail + piece[-len(HEAD_END) :]
        is_end = joined.endswith(HEAD_END)
        self.tail = b'' if is_end else joined[-_OVERLAP:]
        if end < len(segment):
            self.position = end
        else:
            self.discard()
        return piece

    def is_at_start(self) -> bool:
        """Return whether nothing was taken since the end of a head."""
        return not self.tail

    def skip_empty_lines(self) -> int:
        """Skip line ends before a head, and return how many bytes they had.

        >>> splitter = HeadSplitter()
        >>> splitter.feed(HEAD_END * 2)
        >>> splitter.skip_empty_lines(), splitter.kept_bytes()
        (8, 0)
        >>> splitter.feed(HEAD_END + b'GET')
        >>> splitter.skip_empty_lines(), splitter.take()
        (4, b'GET')
        """
        if self.segment[self.position : self.position + 1] not in _LINE_ENDS:
            return 0
        kept_bytes = self.kept_bytes()
        self.segment = self.segment[self.position :].lstrip(b'\r\n')
        self.position = 0
        return kept_bytes - len(self.segment)

    def discard(self) -> int:
        """Forget what was not taken, and return how many bytes it had."""
        discarded_bytes = self.kept_bytes()
        self.segment = b''
        self.position = 0
        return discarded_bytes

    def _end_of_head(self) -> int:
        """Return where the next head ends, or the end of the segment."""
        start = self.position
        joined = self.tail + self.segment[start : start + _OVERLAP]
        found_at = joined.find(HEAD_END)
        if found_at >= 0:
            return start + found_at + len(HEAD_END) - len(self.tail)
        found_at = self.segment.find(HEAD_END, start, start + MAX_PIECE_BYTES)
        if found_at < 0:
            return len(self.segment)
        return found_at + len(HEAD_END)
