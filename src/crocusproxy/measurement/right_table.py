"""Table of the last record about each right and the time of its reading."""

from collections.abc import Iterator
from dataclasses import dataclass
from datetime import timedelta
from typing import NamedTuple

from .records import Renewal, ServiceRights


class Right(NamedTuple):
    """The right with number ``number`` to probe a service."""

    service: str
    number: int


@dataclass(frozen=True, slots=True)
class LastRecord:
    """The last record about a right, whether or not it took effect.

    ``free_at``, on the reader's monotonic clock, is the time at which the
    writer's term has certainly ended. Only a later record extends it.
    """

    offset: int
    holder: str
    free_at: timedelta


def rights_of(renewal: Renewal) -> Iterator[Right]:
    """Yield the rights that a record renews or acquires."""
    for service, service_rights in renewal.services.items():
        for number in service_rights.numbers:
            yield Right(service, number)


class RightTable:
    """State of stream ``rights`` at one reader, applied in offset order.

    A reader that starts or that missed records does not know the holders, so
    it treats every right as held for ``max_term`` from then on.
    """

    def __init__(self, max_term: timedelta, guard: timedelta) -> None:
        self.max_term = max_term
        self.guard = guard
        self.next_offset = 0
        # The offset from which records were read without a gap.
        self.read_since = 0
        self.has_read = False
        self.unknown_until = timedelta.max
        self.last_records: dict[Right, LastRecord] = {}
        # The rights of the highest generation read, per service.
        self.newest_rights: dict[str, ServiceRights] = {}
        # The rights in the last record read, whatever its generation.
        self.last_record_rights: dict[str, ServiceRights] = {}

    def begin_page(self, first_offset: int, now: timedelta) -> bool:
        """Record the oldest retained offset; return whether there is a gap."""
        missed = not self.has_read or first_offset > self.next_offset
        self.next_offset = max(self.next_offset, first_offset)
        if missed:
            self.has_read = True
            self.read_since = self.next_offset
            self.mark_unknown(now)
        return missed

    def mark_unknown(self, now: timedelta) -> None:
        """Treat every right as held by an unknown holder from now on."""
        self.unknown_until = now + self.max_term + self.guard

    def apply(self, offset: int, renewal: Renewal, now: timedelta) -> None:
        """Apply the record at ``offset``, read at ``now``."""
        self.next_offset = offset + 1
        for service, service_rights in renewal.services.items():
            self.last_record_rights[service] = service_rights
            newest = self.newest_rights.get(service)
            if newest is None or service_rights.generation > newest.generation:
                self.newest_rights[service] = service_rights
        term = max(renewal.term, self.max_term)
        record = LastRecord(offset, renewal.holder, now + term + self.guard)
        for right in rights_of(renewal):
            self.last_records[right] = record

    def last_offset(self, right: Right) -> int:
        """Return the offset of the last record about a right, or -1."""
        record = self.last_records.get(right)
        return record.offset if record else -1

    def may_acquire(self, renewal: Renewal, right: Right) -> bool:
        """Return whether a record may acquire a right that this reader holds.

        It may if the last record about the right is the one that the writer
        expected, or is older than all records that the writer has read.
        Otherwise the writer reads another record about the right before its
        own, and the acquisition has no effect. A renewal has none either,
        because its writer reads that this reader acquired the right.
        """
        expected = renewal.services[right.service].expected.get(right.number)
        if expected is None:
            return False
        last = self.last_offset(right)
        return expected == last or last < renewal.since

    def is_free(self, right: Right, now: timedelta) -> bool:
        """Return whether the terms of all holders have ended."""
        record = self.last_records.get(right)
        if now < self.unknown_until:
            return False
        return record is None or now >= record.free_at

    def is_withdrawn(self, right: Right, generation: int) -> bool:
        """Return whether a generation above ``generation`` lacks the right."""
        newer = self.newer_rights(right.service, generation)
        return newer is not None and right.number >= newer.count

    def newer_rights(
        self, service: str, generation: int
    ) -> ServiceRights | None:
        """Return the newest rights if they are of a later generation."""
        newest = self.newest_rights.get(service)
        if newest and newest.generation > generation:
            return newest
        return None
