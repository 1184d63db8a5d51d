"""JSON encoding of typed messages."""

from typing import Any, TypeVar

from pydantic import ValidationError

from ..adapters import adapter_for
from ..errors import CrocusError

_Message = TypeVar('_Message')


class MalformedMessageError(CrocusError):
    """A message of another process has an unexpected form."""

    code = 'malformed_message'


def encode(message: Any) -> bytes:
    """Encode a data class as JSON.

    Durations are written as ISO 8601 and times as RFC 3339.
    """
    return adapter_for(type(message)).dump_json(message)


def to_plain(message: Any) -> Any:
    """Convert a data class to JSON-compatible plain objects."""
    return adapter_for(type(message)).dump_python(message, mode='json')


def decode(kind: type[_Message], raw: bytes | str) -> _Message:
    """Decode JSON into a data class.

    Raises:
        MalformedMessageError: the text is not JSON or has an unexpected form.
    """
    try:
        message: _Message = adapter_for(kind).validate_json(raw)
    except ValidationError as error:
        raise MalformedMessageError(_first_fault(error)) from error
    return message


def decode_plain(kind: type[_Message], raw: Any) -> _Message:
    """Convert plain objects into a data class.

    Raises:
        MalformedMessageError: the objects have an unexpected form.
    """
    try:
        message: _Message = adapter_for(kind).validate_python(raw)
    except ValidationError as error:
        raise MalformedMessageError(_first_fault(error)) from error
    return message


def _first_fault(error: ValidationError) -> str:
    detail = error.errors()[0]
    path = '.'.join(str(part) for part in detail['loc'])
    return f'{path or "message"}: {detail["msg"]}'
