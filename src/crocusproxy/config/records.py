"""Parsing of the records of stream ``config``.

Parsing never fails, so that all readers interpret every record alike.
"""

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Any

from pydantic import ValidationError
from pydantic.dataclasses import dataclass as checked_dataclass

from ..adapters import adapter_for
from ..errors import Fault
from .change import RULES_VERSION, Change
from .snapshot import SnapshotPart
from .validation import is_name

_MAX_FAULTS = 20
_MAX_TEXT_CHARACTERS = 200


@dataclass(frozen=True, slots=True)
class InvalidChange:
    """A change with a submission id and a base, but malformed otherwise."""

    submission: str
    base: int
    faults: tuple[Fault, ...]


@dataclass(frozen=True, slots=True)
class UnknownRules:
    """A record with a version of the rules that this program does not know."""

    rules: int


@dataclass(frozen=True, slots=True)
class UnreadableRecord:
    """A record that is neither a change nor a part of a snapshot."""

    reason: str


Record = Change | SnapshotPart | InvalidChange | UnknownRules | UnreadableRecord


@checked_dataclass(frozen=True, slots=True)
class _ChangeHeader:
    """The fields of a change that a verdict requires."""

    submission: str
    base: int


def read_record(raw: Mapping[str, Any]) -> Record:
    """Convert a raw record into its type."""
    rules = raw.get('rules')
    if not isinstance(rules, int) or isinstance(rules, bool):
        return UnreadableRecord('rules is not an integer')
    if rules > RULES_VERSION:
        return UnknownRules(rules)
    match raw.get('type'):
        case 'change':
            return _check_submission_id(_read_change(raw))
        case 'snapshot':
            return _read_part(raw)
    return UnreadableRecord('type is neither change nor snapshot')


def _check_submission_id(
    record: Change | InvalidChange | UnreadableRecord,
) -> Record:
    # Ids are stored with their verdicts, so their length must be bounded.
    if isinstance(record, UnreadableRecord) or is_name(record.submission):
        return record
    return UnreadableRecord('the submission id is not a valid name')


def _read_change(
    raw: Mapping[str, Any],
) -> Change | InvalidChange | UnreadableRecord:
    try:
        change: Change = adapter_for(Change).validate_python(raw)
    except ValidationError as error:
        return _invalid_change(raw, _record_faults(error))
    return change


def _invalid_change(
    raw: Mapping[str, Any],
    faults: tuple[Fault, ...],
) -> InvalidChange | UnreadableRecord:
    try:
        header = adapter_for(_ChangeHeader).validate_python(
            {name: raw.get(name) for name in ('submission', 'base')}
        )
    except ValidationError as error:
        return UnreadableRecord(_record_faults(error)[0].path)
    return InvalidChange(header.submission, header.base, faults)


def _read_part(raw: Mapping[str, Any]) -> Record:
    try:
        part: SnapshotPart = adapter_for(SnapshotPart).validate_python(raw)
    except ValidationError as error:
        return UnreadableRecord(f'snapshot part: {_record_faults(error)[0]}')
    return part


def _record_faults(error: ValidationError) -> tuple[Fault, ...]:
    return tuple(
        Fault(
            '.'.join(str(step) for step in detail['loc'])[
                :_MAX_TEXT_CHARACTERS
            ],
            detail['msg'][:_MAX_TEXT_CHARACTERS],
            repr(detail['input'])[:_MAX_TEXT_CHARACTERS],
            'malformed_record',
        )
        for detail in error.errors()[:_MAX_FAULTS]
    )
