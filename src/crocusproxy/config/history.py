"""History of the submissions in the stream, with their verdicts."""

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
    """Keeps the newest ``limit`` submissions of a reader; 0 keeps all."""

    def __init__(self, reader: ConfigStreamReader, limit: int = 0) -> None:
        self.reader = reader
        self.limit = limit
        self.entries_by_id: dict[str, HistoryEntry] = {}
        reader.on_record.append(self.add_record)

    def add_record(self, stored: StoredRecord, record: Record) -> None:
        """Add a submission; only its first record counts."""
        if not isinstance(record, Change | InvalidChange):
            return
        self.entries_by_id.setdefault(
            record.submission, _history_entry(stored, record)
        )
        if self.limit and len(self.entries_by_id) > self.limit:
            self.entries_by_id.pop(next(iter(self.entries_by_id)))

    def entries(self) -> list[HistoryEntry]:
        """Return the submissions with their verdicts, the oldest first."""
        verdicts = self.reader.state.verdicts
        return [
            replace(one, verdict=verdicts.get(one.submission))
            for one in self.entries_by_id.values()
        ]


def verdict_text(verdict: Verdict | None) -> str:
    """Format a verdict as one line."""
    match verdict:
        case Accepted(generation=generation):
            return f'accepted as generation {generation}'
        case Rejected(code=code, generation=generation):
            return f'rejected at generation {generation} [{code}]'
    return 'no longer known'


def edit_line(edit: Edit) -> str:
    """Format an edit as one line."""
    sign = '+' if isinstance(edit, Put) else '-'
    return f'{sign} {edit.kind} {edit.key}'


def _history_entry(
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
