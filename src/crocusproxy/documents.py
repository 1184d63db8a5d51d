"""Parsing and validation of YAML documents; all faults are reported at once."""

from collections.abc import Hashable
from pathlib import Path
from typing import Any, TypeVar

import yaml
from pydantic import ValidationError

from .adapters import adapter_for
from .errors import Fault, InvalidDocumentError

#: A document of 10,000 upstreams takes about 1 MiB.
MAX_BYTES = 8 * 1024 * 1024
MAX_DEPTH = 16
_MAX_FOUND_CHARACTERS = 60

_Model = TypeVar('_Model')


class _StrictLoader(yaml.SafeLoader):
    """A safe loader that rejects duplicate keys, aliases and deep nesting.

    Aliases are rejected because nested ones expand exponentially.
    """

    def __init__(self, stream: str) -> None:
        super().__init__(stream)
        self.depth = 0

    def compose_node(
        self,
        parent: yaml.Node | None,
        index: int,
    ) -> yaml.Node | None:
        """Compose one node; check aliases and depth before their expansion."""
        if self.check_event(yaml.AliasEvent):
            raise _YamlFaultError('yaml_alias', 'no aliases', 'an alias', self)
        self.depth += 1
        if self.depth > MAX_DEPTH:
            raise _YamlFaultError(
                'yaml_too_deep',
                f'at most {MAX_DEPTH} levels',
                'a deeper level',
                self,
            )
        node = super().compose_node(parent, index)
        self.depth -= 1
        return node

    def construct_mapping(
        self,
        node: yaml.MappingNode,
        deep: bool = False,
    ) -> dict[Hashable, Any]:
        """Construct a mapping; reject duplicate keys."""
        seen: set[Any] = set()
        for key_node, _ in node.value:
            key = self.construct_object(key_node, deep=True)
            if key in seen:
                raise _YamlFaultError(
                    'duplicate_key',
                    'each key once',
                    f'{key!r} again',
                    key_node.start_mark.line + 1,
                )
            seen.add(key)
        return super().construct_mapping(node, deep=deep)


class _YamlFaultError(Exception):
    def __init__(
        self,
        code: str,
        expected: str,
        found: str,
        position: _StrictLoader | int,
    ) -> None:
        super().__init__(code)
        line = position if isinstance(position, int) else position.line + 1
        self.fault = Fault(f'line {line}', expected, found, code)


def parse_yaml(text: str, source: str) -> Any:
    """Parse YAML text into plain objects.

    Raises:
        InvalidDocumentError: the text is too large, too deeply nested, not
            YAML, or contains duplicate keys or aliases.
    """
    size = len(text.encode())
    if size > MAX_BYTES:
        fault = Fault(
            '', f'at most {MAX_BYTES} bytes', f'{size}', 'document_too_large'
        )
        raise InvalidDocumentError(source, (fault,))
    try:
        return yaml.load(text, Loader=_StrictLoader)  # noqa: S506
    except _YamlFaultError as error:
        raise InvalidDocumentError(source, (error.fault,)) from error
    except (yaml.YAMLError, TypeError, ValueError) as error:
        raise InvalidDocumentError(source, (_syntax_fault(error),)) from error


def check_document(model: type[_Model], raw: Any, source: str) -> _Model:
    """Validate plain objects as a frozen data class.

    Raises:
        InvalidDocumentError: with one fault for each invalid value.
    """
    try:
        checked: _Model = adapter_for(model).validate_python(raw)
    except ValidationError as error:
        faults = tuple(_model_fault(detail) for detail in error.errors())
        raise InvalidDocumentError(source, faults) from error
    return checked


def read_document(model: type[_Model], path: Path) -> _Model:
    """Read and validate one YAML file.

    Raises:
        InvalidDocumentError: the file cannot be read or is not valid.
    """
    text = read_text(path)
    return check_document(model, parse_yaml(text, str(path)), str(path))


def read_text(path: Path) -> str:
    """Read a UTF-8 file; text beyond the size limit is cut off.

    Raises:
        InvalidDocumentError: the file cannot be read.
    """
    try:
        return _read_limited(path)
    except (OSError, UnicodeDecodeError) as error:
        reason = getattr(error, 'strerror', None) or 'bytes that are not UTF-8'
        fault = Fault('', 'a readable UTF-8 file', reason, 'file_unreadable')
        raise InvalidDocumentError(str(path), (fault,)) from error


def _read_limited(path: Path) -> str:
    with path.open('rb') as source:
        raw = source.read(MAX_BYTES + 1)
    # The limit may split a character. ``parse_yaml`` then reports the size,
    # not an encoding error.
    return raw.decode(errors='replace' if len(raw) > MAX_BYTES else 'strict')


def _syntax_fault(error: Exception) -> Fault:
    mark = getattr(error, 'problem_mark', None)
    path = f'line {mark.line + 1}' if mark else ''
    found = getattr(error, 'problem', None) or str(error)
    return Fault(path, 'valid YAML', found, 'yaml_syntax')


def _model_fault(detail: Any) -> Fault:
    path = '.'.join(str(part) for part in detail['loc'])
    match detail['type']:
        case 'unexpected_keyword_argument' | 'extra_forbidden':
            return Fault(path, 'no such key', 'an unknown key', 'unknown_key')
        case 'missing' | 'missing_argument':
            return Fault(path, 'a value', 'nothing', 'missing_key')
    expected = _expectation(detail['msg'])
    found = repr(detail['input'])[:_MAX_FOUND_CHARACTERS]
    return Fault(path, expected, found, detail['type'])


def _expectation(message: str) -> str:
    """Convert a pydantic message into a description of the expected value.

    >>> _expectation('Input should be a valid integer, unable to parse')
    'a valid integer'
    """
    for prefix in ('Value error, ', 'Input should be '):
        message = message.removeprefix(prefix)
    return message.partition(', unable to parse')[0]
