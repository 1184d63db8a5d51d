"""The command ``history``: changes in the stream, with their verdicts."""

from dataclasses import dataclass
from datetime import datetime

from ..config.change import Change
from ..config.publisher import NotKnownYetError
from ..config.reader import StreamReader
from ..config.records import InvalidChange, Record
from ..config.verdict import Accepted, Rejected, Verdict
from ..platform_client import StoredRecord
from ..protocol import codec
from .exits import Exit
from .output import Result, edit_line, table
from .system import System


@dataclass(frozen=True, slots=True)
class Entry:
    """One submission; ``verdict`` is None if it is no longer known."""

    offset: int
    time: datetime
    submission: str
    base: int
    operator: str
    edits: tuple[str, ...]
    verdict: Verdict | None


async def history(system: System, limit: int, submission: str) -> Result:
    """Show the last ``limit`` submissions, or only the one that is named.

    Raises:
        NotKnownYetError: the named submission is not in the stream.
    """
    entries = await _read_entries(StreamReader(system.client()))
    if submission:
        entries = [one for one in entries if one.submission == submission]
        if not entries:
            raise NotKnownYetError(submission)
    shown = entries[max(0, len(entries) - limit) :]
    plain = [codec.to_plain(entry) for entry in shown]
    text = _detail(shown[0]) if submission else _overview(shown)
    return Result(plain, text, _exit_code(shown[0]) if submission else 0)


async def _read_entries(reader: StreamReader) -> list[Entry]:
    found: dict[str, tuple[StoredRecord, Change | InvalidChange]] = {}

    def remember(stored: StoredRecord, record: Record) -> None:  # noqa: WPS430
        if isinstance(record, Change | InvalidChange):
            found.setdefault(record.submission, (stored, record))

    reader.on_record.append(remember)
    await reader.catch_up()
    verdicts = reader.state.verdicts
    return [
        _entry(stored, record, verdicts.get(submission))
        for submission, (stored, record) in found.items()
    ]


def _entry(
    stored: StoredRecord,
    record: Change | InvalidChange,
    verdict: Verdict | None,
) -> Entry:
    change = record if isinstance(record, Change) else None
    return Entry(
        offset=stored.offset,
        time=stored.time,
        submission=record.submission,
        base=record.base,
        operator=change.operator if change else '',
        edits=tuple(map(edit_line, change.edits)) if change else (),
        verdict=verdict,
    )


def _overview(entries: list[Entry]) -> str:
    rows = [
        (
            entry.time.isoformat(timespec='seconds'),
            entry.submission,
            entry.operator or '-',
            entry.base,
            len(entry.edits),
            _verdict_text(entry.verdict),
        )
        for entry in entries
    ]
    header = ('time', 'submission', 'operator', 'base', 'edits', 'verdict')
    return table(header, rows)


def _detail(entry: Entry) -> str:
    faults = entry.verdict.faults if isinstance(entry.verdict, Rejected) else ()
    return '\n'.join(
        (
            _overview([entry]),
            *entry.edits,
            *(str(fault) for fault in faults),
        )
    )


def _verdict_text(verdict: Verdict | None) -> str:
    match verdict:
        case Accepted(generation=generation):
            return f'accepted as generation {generation}'
        case Rejected(code=code, generation=generation):
            return f'rejected at generation {generation} [{code}]'
    return 'no longer known'


def _exit_code(entry: Entry) -> int:
    match entry.verdict:
        case Accepted():
            return Exit.done
        case Rejected():
            return Exit.rejected
    return Exit.not_known_yet
