"""Splits received bytes at the ends of request heads."""

from collections.abc import Iterator

HEAD_END = b'\r\n\r\n'
_OVERLAP = len(HEAD_END) - 1
#: The rest of a segment is one piece, as a body may have many ends of heads.
_MAX_PIECES = 64


class HeadSplitter:
    """Splits bytes so that each piece has the end of one head at most.

    A parser that finds invalid bytes discards the requests that it has read
    from the same piece. Bodies may be split as well.

    >>> splitter = HeadSplitter()
    >>> [len(piece) for piece in splitter.split(HEAD_END * 2 + b'rest')]
    [4, 4, 4]
    >>> [len(piece) for piece in splitter.split(HEAD_END[:3])]
    [3]
    >>> [len(piece) for piece in splitter.split(HEAD_END[3:] + b'rest')]
    [1, 4]
    >>> len(list(splitter.split(HEAD_END * 10_000)))
    65
    """

    __slots__ = ('tail',)

    def __init__(self) -> None:
        #: The last bytes of the segment before, which may begin a head's end.
        self.tail = b''

    def split(self, segment: bytes) -> Iterator[bytes]:
        """Return the non-empty pieces of a segment in order."""
        start = 0
        end = self._end_across_segments(segment)
        self.tail = (self.tail + segment[-_OVERLAP:])[-_OVERLAP:]
        for _ in range(_MAX_PIECES):
            if not end:
                found_at = segment.find(HEAD_END, start)
                if found_at < 0:
                    break
                end = found_at + len(HEAD_END)
            yield segment[start:end]
            start, end = end, 0
        if start < len(segment):
            yield segment[start:]

    def _end_across_segments(self, segment: bytes) -> int:
        """Return where a head ends that ended in the tail but for its end."""
        joined = self.tail + segment[:_OVERLAP]
        found_at = joined.find(HEAD_END)
        return found_at + len(HEAD_END) - len(self.tail) if found_at >= 0 else 0
