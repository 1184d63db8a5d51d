"""Records of the store's topics, their encoding and their positions."""

import json
import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Annotated, Any

from pydantic import (
    AfterValidator,
    Base64Bytes,
    ConfigDict,
    Field,
    alias_generators,
)
from pydantic.dataclasses import dataclass as pydantic_dataclass

from ..errors import CrocusError
from ..protocol.codec import MalformedMessageError, decode_plain

_RECORD_LENGTH = struct.Struct('>I')
#: Starts the response to a read: the offset at which the topic ends, and the
#: first one that is retained, which this client does not use.
_PAGE_HEADER = struct.Struct('>QQ')


class ExpiredPositionError(CrocusError):
    """The records at a position are gone: the topic must be listed again.

    They have been deleted, or the store was restored from a copy.
    """

    code = 'offset_expired'


@dataclass(frozen=True, slots=True)
class StorePosition:
    """An offset of a topic in one incarnation of the store.

    A store that is restored from a copy gives out again the offsets that the
    copy lacks, so an offset of an earlier incarnation names another record or
    none.
    """

    incarnation: int
    offset: int

    def advance(self, incarnation: int, count: int) -> 'StorePosition':
        """Return the position after ``count`` records of a response.

        Raises:
            ExpiredPositionError: the response is of another ``incarnation``.
        """
        if incarnation != self.incarnation:
            raise ExpiredPositionError(
                f'incarnation {incarnation} of the store follows '
                f'{self.incarnation}'
            )
        return StorePosition(incarnation, self.offset + count)


@dataclass(frozen=True, slots=True)
class KeyedRecord:
    """One record of a keyed topic; empty content removes the key.

    ``offset`` is -1 for the records of a read, which do not contain it.
    """

    key: str
    content: bytes
    offset: int = -1


@dataclass(frozen=True, slots=True)
class RecordPage:
    """Records in order of their offsets; the next read starts at ``end``."""

    records: tuple[KeyedRecord, ...]
    end: StorePosition


def _check_text(text: str) -> str:
    """Return a text without parts of surrogate pairs.

    Raises:
        ValueError: the text cannot be encoded.
    """
    text.encode()
    return text


_PASCAL = ConfigDict(alias_generator=alias_generators.to_pascal)


@pydantic_dataclass(frozen=True, slots=True, config=_PASCAL)
class _NewestItem:
    key: Annotated[str, AfterValidator(_check_text)]
    # Base64 on the wire, unlike the raw records of a read.
    value: Base64Bytes
    offset: int


@pydantic_dataclass(frozen=True, slots=True, config=_PASCAL)
class _NewestPage:
    # Lower case on the wire, unlike the other fields. Each item is checked by
    # itself, so that one of another writer does not hide the others.
    items: Annotated[tuple[Any, ...], Field(alias='items')]
    has_more: bool
    end: int


@dataclass(frozen=True, slots=True)
class ListingPage:
    """One page of the newest record of each key.

    ``next_key`` is the key after which the next page starts, empty if this is
    the last one. ``end`` is the offset at which the topic ends. Of
    ``unusable_count`` items the key or the content cannot be read.
    """

    records: tuple[KeyedRecord, ...]
    next_key: str
    end: int
    unusable_count: int = 0


def decode_listing(body: bytes) -> ListingPage:
    """Return a page of the newest records.

    Raises:
        MalformedMessageError: the body does not have the expected form, or no
            key is usable to continue after it.
    """
    page = decode_plain(_NewestPage, _parse(body))
    found = tuple(map(_decode_item, page.items))
    records = tuple(record for record in found if record is not None)
    next_key = ''
    if page.has_more and page.items:
        if not records:
            raise MalformedMessageError('a page without a usable key')
        next_key = records[-1].key
    return ListingPage(records, next_key, page.end, found.count(None))


def _parse(body: bytes) -> Any:
    """Parse JSON whose strings may hold keys that are no valid text."""
    try:
        return json.loads(body.decode(errors='replace'))
    except (ValueError, RecursionError) as error:
        raise MalformedMessageError(f'not JSON: {error}') from error


def _decode_item(plain: Any) -> KeyedRecord | None:
    """Return a record, None if its key or content cannot be read."""
    try:
        item = decode_plain(_NewestItem, plain)
    except MalformedMessageError:
        return None
    return KeyedRecord(item.key, item.value, item.offset)


def decode_records(body: bytes) -> tuple[tuple[KeyedRecord, ...], int]:
    """Return the records of a read, and the offset at which the topic ends.

    Raises:
        MalformedMessageError: the body has no offsets.
    """
    if len(body) < _PAGE_HEADER.size:
        raise MalformedMessageError('a read without offsets')
    end, _ = _PAGE_HEADER.unpack_from(body)
    return tuple(_split_records(body[_PAGE_HEADER.size :])), end


def encode_record(key: str, content: bytes) -> bytes:
    """Return the body that appends one record.

    >>> list(encode_record('ab', b'!'))
    [0, 0, 0, 4, 2, 97, 98, 33]
    """
    key_bytes = key.encode()
    record = bytes((len(key_bytes),)) + key_bytes + content
    return _RECORD_LENGTH.pack(len(record)) + record


def _split_records(content: bytes) -> Iterator[KeyedRecord]:
    """Yield the records of a read; each starts with its key.

    >>> list(_split_records(encode_record('ab', b'!')))
    [KeyedRecord(key='ab', content=b'!', offset=-1)]
    """
    position = 0
    while position + _RECORD_LENGTH.size <= len(content):
        start = position + _RECORD_LENGTH.size
        position = start + int.from_bytes(content[position:start])
        if position > len(content):
            # The rest of the record is missing; the next read starts at it.
            return
        yield _decode_record(content[start:position])


def _decode_record(record: bytes) -> KeyedRecord:
    """Return a record; one whose key is cut off has no key and no content.

    >>> _decode_record(bytes((2,)) + b'ab!')
    KeyedRecord(key='ab', content=b'!', offset=-1)
    >>> _decode_record(bytes((9,)) + b'ab!')
    KeyedRecord(key='', content=b'', offset=-1)
    """
    key_end = 1 + record[0] if record else 1
    if key_end > len(record):
        return KeyedRecord('', b'')
    key = record[1:key_end].decode(errors='replace')
    return KeyedRecord(key, record[key_end:])
