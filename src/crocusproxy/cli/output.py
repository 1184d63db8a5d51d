"""Prints results and errors as text or JSON."""

import json
import sys
from collections.abc import Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from ..config.change import Delete, Edit
from ..config.history import edit_line
from ..config.model import Document, Service, Upstream
from ..errors import CrocusError, Fault, InvalidDocumentError
from ..protocol import codec


@dataclass(frozen=True, slots=True)
class Result:
    """Output of a command: ``json_value`` with --json, otherwise ``text``."""

    json_value: Any
    text: str
    exit_code: int = 0


def print_result(result: Result, as_json: bool) -> None:
    """Print a result on standard output."""
    print(json.dumps(result.json_value, indent=2) if as_json else result.text)


def print_error(error: CrocusError, as_json: bool) -> None:
    """Print an error: JSON to standard output, text to standard error."""
    faults = error.faults if isinstance(error, InvalidDocumentError) else ()
    if as_json:
        print(json.dumps(_error_to_json(error, faults), indent=2))
        return
    print(error, file=sys.stderr)
    for fault in faults:
        print(f'  {fault}', file=sys.stderr)


def format_edit(current: Document, edit: Edit) -> str:
    """Describe the effect of an edit on the current document in one line."""
    line = edit_line(edit)
    if isinstance(edit, Delete):
        return line
    objects: Mapping[str, Service | Upstream] = (
        current.services if edit.kind == 'service' else current.upstreams
    )
    current_object = objects.get(edit.key)
    if current_object is None:
        return line
    before, after = codec.to_plain(current_object), codec.to_plain(edit.value)
    fields = ', '.join(
        f'{name} {before[name]} -> {after[name]}'
        for name in after
        if before[name] != after[name]
    )
    return f'~ {edit.kind} {edit.key}: {fields}'


def format_table(
    header: Sequence[str], rows: Sequence[Sequence[object]]
) -> str:
    """Format rows as text in columns aligned under the header.

    >>> print(format_table(('name', 'slots'), [('a', 2)]))
    name  slots
    a     2
    """
    cells = [[str(cell) for cell in row] for row in (header, *rows)]
    widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
    return '\n'.join(
        '  '.join(
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in cells
    )


def _error_to_json(error: CrocusError, faults: Sequence[Fault]) -> Any:
    return {
        'code': error.code,
        'message': error.message,
        'hint': error.hint,
        'faults': [codec.to_plain(fault) for fault in faults],
    }
