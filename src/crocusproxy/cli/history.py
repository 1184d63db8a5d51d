"""The command ``history``: changes in the stream, with their verdicts."""

from ..config.history import HistoryEntry, SubmissionLog, verdict_text
from ..config.publisher import NotKnownYetError
from ..config.reader import ConfigStreamReader
from ..config.verdict import Accepted, Rejected
from ..protocol import codec
from .exits import ExitCode
from .output import Result, table
from .system import System


async def history(system: System, limit: int, submission: str) -> Result:
    """Show the last ``limit`` submissions, or only the one that is named.

    Raises:
        NotKnownYetError: the named submission is not in the stream.
    """
    entries = await _read_entries(ConfigStreamReader(system.client()))
    if submission:
        entries = [one for one in entries if one.submission == submission]
        if not entries:
            raise NotKnownYetError(submission)
    shown = entries[max(0, len(entries) - limit) :]
    plain = [codec.to_plain(entry) for entry in shown]
    text = _detail(shown[0]) if submission else _overview(shown)
    return Result(plain, text, _exit_code(shown[0]) if submission else 0)


async def _read_entries(reader: ConfigStreamReader) -> list[HistoryEntry]:
    found = SubmissionLog(reader)
    await reader.catch_up()
    return found.entries()


def _overview(entries: list[HistoryEntry]) -> str:
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
    return table(header, rows)


def _detail(entry: HistoryEntry) -> str:
    faults = entry.verdict.faults if isinstance(entry.verdict, Rejected) else ()
    return '\n'.join(
        (
            _overview([entry]),
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
