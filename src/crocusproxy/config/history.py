"""Submissions in the stream, with their verdicts."""

from dataclasses import dataclass, replace
from datetime import datetime

from ..platform_client import StoredRecord
from .change import Change, Edit, Put
from .reader import ConfigStreamReader
from .records import InvalidChange, Record
from .verdict import Accepted, Rejected, Verdict


@dataclass(frozen=True, slots=True)
class HistoryEntry:
    """One submission; ``verdict`` is None if it is no longer known."""

    offset: int
    time: datetime
    submission: str
    base: int
    operator: str
    edits: tuple[str, ...]
    verdict: Verdict | None


class SubmissionLog:
    """Remembers the submissions that a reader meets, the newest ``limit``."""

    def __init__(self, reader: ConfigStreamReader, limit: int = 0) -> None:
        self.reader = reader
        self.limit = limit
        self.found: dict[str, HistoryEntry] = {}
        reader.on_record.append(self.remember)

    def remember(self, stored: StoredRecord, record: Record) -> None:
        """Keep the first record of a submission; later ones have no effect."""
        if not isinstance(record, Change | InvalidChange):
            return
        self.found.setdefault(record.submission, _entry(stored, record))
        if self.limit and len(self.found) > self.limit:
            self.found.pop(next(iter(self.found)))

    def entries(self) -> list[HistoryEntry]:
        """Return the submissions with their verdicts, the oldest first."""
        verdicts = self.reader.state.verdicts
        return [
            replace(one, verdict=verdicts.get(one.submission))
            for one in self.found.values()
        ]


def verdict_text(verdict: Verdict | None) -> str:
    """Describe a verdict on one line."""
    match verdict:
        case Accepted(generation=generation):
            return f'accepted as generation {generation}'
        case Rejected(code=code, generation=generation):
            return f'rejected at generation {generation} [{code}]'
    return 'no longer known'


def edit_line(edit: Edit) -> str:
    """Write an edit as one line."""
    sign = '+' if isinstance(edit, Put) else '-'
    return f'{sign} {edit.kind} {edit.key}'


def _entry(
    stored: StoredRecord, record: Change | InvalidChange
) -> HistoryEntry:
    change = record if isinstance(record, Change) else None
    return HistoryEntry(
        offset=stored.offset,
        time=stored.time,
        submission=record.submission,
        base=record.base,
        operator=change.operator if change else '',
        edits=tuple(map(edit_line, change.edits)) if change else (),
        verdict=None,
    )
