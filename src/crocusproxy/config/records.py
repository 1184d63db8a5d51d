"""Reading of the records of stream ``config``.

Reading never fails: every reader gives the same meaning to any record.
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
_MAX_TEXT = 200


@dataclass(frozen=True, slots=True)
class InvalidChange:
    """A change whose edits do not have the expected form."""

    submission: str
    base: int
    faults: tuple[Fault, ...]


@dataclass(frozen=True, slots=True)
class UnknownRules:
    """A record made under rules that this program does not know."""

    rules: int


@dataclass(frozen=True, slots=True)
class Unreadable:
    """A record that is neither a change nor a part of a snapshot."""

    reason: str


Record = Change | SnapshotPart | InvalidChange | UnknownRules | Unreadable


@checked_dataclass(frozen=True, slots=True)
class _Envelope:
    """The part of a change that is needed to answer its submitter."""

    submission: str
    base: int


def read_record(raw: Mapping[str, Any]) -> Record:
    """Give a record its type."""
    rules = raw.get('rules')
    if not isinstance(rules, int) or isinstance(rules, bool):
        return Unreadable('rules is not a whole number')
    if rules > RULES_VERSION:
        return UnknownRules(rules)
    match raw.get('type'):
        case 'change':
            return _with_usable_id(_read_change(raw))
        case 'snapshot':
            return _read_part(raw)
    return Unreadable('type is neither change nor snapshot')


def _with_usable_id(
    record: Change | InvalidChange | Unreadable,
) -> Record:
    # Ids are kept with their verdicts, so their length must be bounded.
    if isinstance(record, Unreadable) or is_name(record.submission):
        return record
    return Unreadable('the submission id is not a name')


def _read_change(
    raw: Mapping[str, Any],
) -> Change | InvalidChange | Unreadable:
    try:
        change: Change = adapter_for(Change).validate_python(raw)
    except ValidationError as error:
        return _invalid_change(raw, _faults(error))
    return change


def _invalid_change(
    raw: Mapping[str, Any],
    faults: tuple[Fault, ...],
) -> InvalidChange | Unreadable:
    try:
        envelope = adapter_for(_Envelope).validate_python(
            {name: raw.get(name) for name in ('submission', 'base')}
        )
    except ValidationError as error:
        return Unreadable(_faults(error)[0].path)
    return InvalidChange(envelope.submission, envelope.base, faults)


def _read_part(raw: Mapping[str, Any]) -> Record:
    try:
        part: SnapshotPart = adapter_for(SnapshotPart).validate_python(raw)
    except ValidationError as error:
        return Unreadable(f'snapshot part: {_faults(error)[0]}')
    return part


def _faults(error: ValidationError) -> tuple[Fault, ...]:
    return tuple(
        Fault(
            '.'.join(str(step) for step in entry['loc'])[:_MAX_TEXT],
            entry['msg'][:_MAX_TEXT],
            repr(entry['input'])[:_MAX_TEXT],
            'malformed_record',
        )
        for entry in error.errors()[:_MAX_FAULTS]
    )
