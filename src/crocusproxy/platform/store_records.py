"""Records of the store's topics, their encoding and their positions."""

import struct
from collections.abc import Iterator
from dataclasses import dataclass
from typing import Annotated

from pydantic import Base64Bytes, ConfigDict, Field, alias_generators
from pydantic.dataclasses import dataclass as pydantic_dataclass

from ..errors import CrocusError
from ..protocol.codec import MalformedMessageError, decode

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


_PASCAL = ConfigDict(alias_generator=alias_generators.to_pascal)


@pydantic_dataclass(frozen=True, slots=True, config=_PASCAL)
class _NewestItem:
    key: str
    # Base64 on the wire, unlike the raw records of a read.
    value: Base64Bytes
    offset: int


@pydantic_dataclass(frozen=True, slots=True, config=_PASCAL)
class _NewestPage:
    # Lower case on the wire, unlike the other fields.
    items: Annotated[tuple[_NewestItem, ...], Field(alias='items')]
    has_more: bool
    end: int


@dataclass(frozen=True, slots=True)
class ListingPage:
    """One page of the newest record of each key.

    ``next_key`` is the key after which the next page starts, empty if this is
    the last one. ``end`` is the offset at which the topic ends.
    """

    records: tuple[KeyedRecord, ...]
    next_key: str
    end: int


def decode_listing(body: bytes) -> ListingPage:
    """Return a page of the newest records.

    Raises:
        MalformedMessageError: the body does not have the expected form.
    """
    page = decode(_NewestPage, body)
    records = tuple(
        KeyedRecord(item.key, item.value, item.offset) for item in page.items
    )
    has_next = page.has_more and bool(records)
    return ListingPage(records, records[-1].key if has_next else '', page.end)


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
        length = int.from_bytes(
            content[position : position + _RECORD_LENGTH.size]
        )
        position += _RECORD_LENGTH.size
        record = content[position : position + length]
        position += length
        key_end = 1 + record[0] if record else 0
        key = record[1:key_end].decode(errors='replace')
        yield KeyedRecord(key, record[key_end:])
