"""Lines of the values in a JSON document."""

import json
from bisect import bisect_right
from collections.abc import Iterator

Steps = tuple[str | int, ...]
_BLANK = ' \t\n\r'
_DECODER = json.JSONDecoder()


class DocumentLines:
    """Finds the line of a value by the keys and indexes that lead to it.

    ``text`` is valid JSON. Only the objects and lists on the way to a value
    are scanned, each of them once.
    """

    def __init__(self, text: str) -> None:
        self.text = text
        self.newlines = [
            index for index, character in enumerate(text) if character == '\n'
        ]
        self.children: dict[int, dict[str | int, int]] = {}

    def has(self, steps: Steps) -> bool:
        """Return whether the document has a value at ``steps``."""
        return self._offsets(steps)[1] == len(steps)

    def line(self, steps: Steps) -> int:
        """Return the line of a value, counted from 1.

        If there is no such value, it is the line of the innermost object or
        list that would contain it.
        """
        return bisect_right(self.newlines, self._offsets(steps)[0]) + 1

    def _offsets(self, steps: Steps) -> tuple[int, int]:
        """Return the offset of the innermost value found, and its depth."""
        offset = self._skip_blanks(0)
        for count, step in enumerate(steps):
            children = self._children(offset)
            if step not in children:
                return offset, count
            offset = children[step]
        return offset, len(steps)

    def _children(self, offset: int) -> dict[str | int, int]:
        if offset not in self.children:
            self.children[offset] = dict(self._scan(offset))
        return self.children[offset]

    def _scan(self, offset: int) -> Iterator[tuple[str | int, int]]:
        """Yield the offsets of the values in an object or a list."""
        opening = self.text[offset]
        if opening not in '{[':
            return
        index = 0
        offset = self._skip_blanks(offset + 1)
        while self.text[offset] not in '}]':
            key: str | int = index
            if opening == '{':
                key, offset = _DECODER.raw_decode(self.text, offset)
                offset = self._skip_blanks(offset, ':')
            yield key, offset
            _, offset = _DECODER.raw_decode(self.text, offset)
            offset = self._skip_blanks(offset, ',')
            index += 1

    def _skip_blanks(self, offset: int, separator: str = '') -> int:
        skipped = _BLANK + separator
        while offset < len(self.text) and self.text[offset] in skipped:
            offset += 1
        return offset
