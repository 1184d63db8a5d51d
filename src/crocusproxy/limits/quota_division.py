"""How the quotas are divided among the instances."""

from dataclasses import dataclass
from zlib import crc32


@dataclass(frozen=True, slots=True)
class WholeQuota:
    """Only this instance dispatches."""


@dataclass(frozen=True, slots=True)
class SharedQuota:
    """``homes`` domain homes dispatch and report taken tokens to each other."""

    homes: int


@dataclass(frozen=True, slots=True)
class SplitQuota:
    """``homes`` domain homes dispatch, and not all of them get reports."""

    homes: int


@dataclass(frozen=True, slots=True)
class PartOfQuota:
    """This instance is one of ``members`` and has no home.

    ``position`` is its place among them, from 0 on. ``generation`` grows with
    each home that it has followed: its tokens are those after one loss.
    """

    members: int
    position: int = 0
    generation: int = 0

    def part_of(self, tokens: int, name: str) -> int:
        """Return this member's part, so that all have ``tokens`` together.

        Rounding at each member would lose their fractions, or exceed the sum.
        The first members get the larger parts, beginning at another one by the
        ``name`` of the account.

        >>> [PartOfQuota(3, position).part_of(5, 'a') for position in range(3)]
        [2, 2, 1]
        """
        place = (self.position + crc32(name.encode())) % self.members
        whole, rest = divmod(tokens, self.members)
        return whole + (place < rest)


Division = WholeQuota | SharedQuota | SplitQuota | PartOfQuota
