"""The ``config check`` command: checks a configuration before it is sent."""

from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

from ..checks.config import check_config, check_version
from ..checks.differences import (
    Added,
    Changed,
    Difference,
    KeyChange,
    Removed,
    differences_between,
)
from ..checks.findings import Severity
from ..documents import read_document
from ..entry.settings import EntrySettings
from ..errors import Fault, InvalidDocumentError
from ..platform.document_check import (
    LocatedFinding,
    ReadableDocument,
    UnreadableDocument,
    locate,
    read_config,
)
from ..protocol import codec
from .exits import ExitCode
from .output import Result


@dataclass(frozen=True, slots=True)
class CheckReport:
    """What the command prints; without --against, there are no differences."""

    findings: tuple[LocatedFinding, ...]
    differences: tuple[Difference, ...] | None = None


def config_check(file: str, against: str = '', settings: str = '') -> Result:
    """Check a configuration document and, if named, two further files.

    ``against`` is the version in force and ``settings`` the settings file of
    ``crocus-entry``.

    Raises:
        InvalidDocumentError: a file cannot be read, or ``against`` is not a
            configuration.
    """
    report = _check(file, against)
    findings = (*report.findings, *_settings_findings(settings))
    complete = CheckReport(findings, report.differences)
    return Result(
        codec.to_plain(complete),
        '\n'.join(_lines(file, complete)),
        _exit_code(complete),
    )


def _check(file: str, against: str) -> CheckReport:
    older = _read_older(against) if against else None
    match read_config(_read(file)):
        case UnreadableDocument(findings=findings):
            return CheckReport(findings)
        case ReadableDocument(config=config) as document:
            found = check_config(config)
            if older is None:
                return CheckReport(locate(document, found))
            found = (*check_version(older.config, config), *found)
            return CheckReport(
                locate(document, found),
                differences_between(older.config, config),
            )


def _read_older(file: str) -> ReadableDocument:
    match read_config(_read(file)):
        case UnreadableDocument(findings=findings):
            faults = tuple(
                Fault(one.path, one.message, 'another form', one.code)
                for one in findings
            )
            raise InvalidDocumentError(file, faults)
        case ReadableDocument() as document:
            return document


def _read(file: str) -> str:
    # Larger than the settings files that ``documents.read_text`` is for.
    try:
        return Path(file).read_text(encoding='utf-8')
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, 'strerror', None) or 'bytes that are not UTF-8'
        fault = Fault('', 'a readable UTF-8 file', reason, 'file_unreadable')
        raise InvalidDocumentError(file, (fault,)) from error


def _settings_findings(settings: str) -> Iterator[LocatedFinding]:
    if not settings:
        return
    try:
        read_document(EntrySettings, Path(settings))
    except InvalidDocumentError as error:
        for fault in error.faults:
            yield _settings_finding(settings, fault)


def _settings_finding(settings: str, fault: Fault) -> LocatedFinding:
    code = fault.code
    if fault.path == 'hedging' and code == 'value_error':
        code = 'hedging_above_retry_budget'
    message = f'{settings}: expected {fault.expected}'
    return LocatedFinding(code, Severity.error, fault.path, None, message)


def _exit_code(report: CheckReport) -> ExitCode:
    severities = {finding.severity for finding in report.findings}
    if Severity.error in severities:
        return ExitCode.wrong_input
    return ExitCode.rejected if severities else ExitCode.done


def _lines(file: str, report: CheckReport) -> Iterator[str]:
    for finding in report.findings:
        place = file if finding.line is None else f'{file}:{finding.line}'
        yield (
            f'{place}: {finding.severity}: {finding.path or "(document)"}: '
            f'{finding.message} [{finding.code}]'
        )
    for difference in report.differences or ():
        yield _difference_line(difference)
    yield _summary(report)


def _summary(report: CheckReport) -> str:
    severities = [finding.severity for finding in report.findings]
    errors = severities.count(Severity.error)
    warnings = severities.count(Severity.warning)
    summary = f'{errors} error(s), {warnings} warning(s)'
    if report.differences is None:
        return summary
    return f'{summary}, {len(report.differences)} difference(s)'


def _difference_line(difference: Difference) -> str:
    entry = f'{difference.kind} {difference.name}'.rstrip()
    match difference:
        case Added():
            return f'+ {entry}'
        case Removed():
            return f'- {entry}'
        case Changed(fields=fields, keys=keys):
            changes = [
                f'{change.field} {change.before} -> {change.after}'
                for change in fields
            ]
            if keys:
                changes.append(_key_text(keys))
            return f'~ {entry}: {", ".join(changes)}'


def _key_text(keys: KeyChange) -> str:
    digests = (
        *(f'+{digest}' for digest in keys.added),
        *(f'-{digest}' for digest in keys.removed),
    )
    return f'keys {keys.before} -> {keys.after} ({" ".join(digests)})'
