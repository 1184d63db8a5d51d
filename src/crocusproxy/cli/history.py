"""The ``history`` command: submissions in the stream with their verdicts."""

from ..config.history import HistoryEntry, SubmissionLog, verdict_text
from ..config.publisher import NotKnownYetError
from ..config.reader import ConfigStreamReader
from ..config.verdict import Accepted, Rejected
from ..protocol import codec
from .exits import ExitCode
from .output import Result, format_table
from .system import SystemClient


async def history(system: SystemClient, limit: int, submission: str) -> Result:
    """Show the last ``limit`` submissions, or only the given one in any case.

    Raises:
        NotKnownYetError: the given submission is not in the stream.
    """
    entries = await _read_entries(ConfigStreamReader(system.platform_client()))
    if submission:
        entries = [entry for entry in entries if entry.submission == submission]
        if not entries:
            raise NotKnownYetError(submission)
        limit = len(entries)
    shown_entries = entries[max(0, len(entries) - limit) :]
    json_value = [codec.to_plain(entry) for entry in shown_entries]
    text = (
        _format_entry(shown_entries[0])
        if submission
        else _format_entries(shown_entries)
    )
    return Result(
        json_value, text, _exit_code(shown_entries[0]) if submission else 0
    )


async def _read_entries(reader: ConfigStreamReader) -> list[HistoryEntry]:
    submissions = SubmissionLog(reader)
    await reader.catch_up()
    return submissions.entries()


def _format_entries(entries: list[HistoryEntry]) -> str:
    rows = [
        (
            entry.time.isoformat(timespec='seconds'),
            entry.submission,
            entry.operator or '-',
            entry.base,
            len(entry.edits),
            verdict_text(entry.verdict),
        )
        for entry in entries
    ]
    header = ('time', 'submission', 'operator', 'base', 'edits', 'verdict')
    return format_table(header, rows)


def _format_entry(entry: HistoryEntry) -> str:
    faults = entry.verdict.faults if isinstance(entry.verdict, Rejected) else ()
    return '\n'.join(
        (
            _format_entries([entry]),
            *entry.edits,
            *(str(fault) for fault in faults),
        )
    )


def _exit_code(entry: HistoryEntry) -> int:
    match entry.verdict:
        case Accepted():
            return ExitCode.done
        case Rejected():
            return ExitCode.rejected
    return ExitCode.not_known_yet
