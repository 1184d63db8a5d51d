"""Table of rights: who last wrote about each right, and when it was read."""

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

from .records import Renewal, ServiceRights


class Right(NamedTuple):
    """The permission number ``number`` to probe a service."""

    service: str
    number: int


@dataclass(frozen=True, slots=True)
class LastRecord:
    """The last record about a right, whether or not it took effect.

    ``free_at`` is on the reader's monotonic clock: by then the writer's term
    is over, if nothing about the right has been read in between.
    """

    offset: int
    holder: str
    free_at: timedelta


def rights_of(renewal: Renewal) -> Iterator[Right]:
    """Yield the rights that a record is about."""
    for service, part in renewal.services.items():
        for number in part.numbers:
            yield Right(service, number)


class RightTable:
    """Folds stream ``rights`` in offset order, for one reader.

    A reader that starts, or that missed records, does not know what they
    said, so it treats every right as held for ``longest_term`` from then.
    """

    def __init__(self, longest_term: timedelta, guard: timedelta) -> None:
        self.longest_term = longest_term
        self.guard = guard
        self.next = 0
        # The offset from which records were read without a gap.
        self.since = 0
        self.started = False
        self.unknown_until = timedelta.max
        self.last: dict[Right, LastRecord] = {}
        # The newest generation that was written about, per service.
        self.announced: dict[str, ServiceRights] = {}
        # What the last record about each service said.
        self.latest: dict[str, ServiceRights] = {}

    def begin_page(self, first: int, now: timedelta) -> bool:
        """Note the oldest offset kept; tell whether records were missed."""
        missed = not self.started or first > self.next
        self.next = max(self.next, first)
        if missed:
            self.started = True
            self.since = self.next
            self.forget(now)
        return missed

    def forget(self, now: timedelta) -> None:
        """Treat every right as held from now on by an unknown holder."""
        self.unknown_until = now + self.longest_term + self.guard

    def apply(self, offset: int, renewal: Renewal, now: timedelta) -> None:
        """Apply the record at ``offset``, read at ``now``."""
        self.next = offset + 1
        for service, part in renewal.services.items():
            self.latest[service] = part
            announced = self.announced.get(service)
            if announced is None or part.generation > announced.generation:
                self.announced[service] = part
        term = max(renewal.term, self.longest_term)
        entry = LastRecord(offset, renewal.holder, now + term + self.guard)
        for right in rights_of(renewal):
            self.last[right] = entry

    def last_offset(self, right: Right) -> int:
        """Return the offset of the last record about a right, or -1."""
        entry = self.last.get(right)
        return entry.offset if entry else -1

    def may_take(self, renewal: Renewal, right: Right) -> bool:
        """Tell whether a record read now may take a held right.

        It does not if its writer, too, reads that another record came first.
        A renewal does not: its writer reads that the right was taken.
        """
        expected = renewal.services[right.service].expected.get(right.number)
        if expected is None:
            return False
        last = self.last_offset(right)
        return expected == last or last < renewal.since

    def is_free(self, right: Right, now: timedelta) -> bool:
        """Tell whether no holder's term can still run."""
        entry = self.last.get(right)
        if now < self.unknown_until:
            return False
        return entry is None or now >= entry.free_at

    def is_withdrawn(self, right: Right, generation: int) -> bool:
        """Tell whether a generation above ``generation`` lacks this right."""
        newer = self.newer(right.service, generation)
        return newer is not None and right.number >= newer.count

    def newer(self, service: str, generation: int) -> ServiceRights | None:
        """Return what was written about a generation above this one."""
        announced = self.announced.get(service)
        if announced and announced.generation > generation:
            return announced
        return None
