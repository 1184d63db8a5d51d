"""Snapshots of the folded configuration, in parts by service."""

import hashlib
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, replace
from itertools import islice, starmap
from typing import Literal

from pydantic.dataclasses import dataclass as checked_dataclass

from ..protocol.codec import encode
from ..settings import STRICT
from .change import RULES_VERSION
from .model import Document, Service, Upstream
from .verdict import Verdict

# About 15 KiB a part, so that one append stays small.
_PART_OBJECTS = 100


@checked_dataclass(frozen=True, slots=True, config=STRICT)
class Submitted:
    """A submission id with its verdict."""

    submission: str
    verdict: Verdict


@checked_dataclass(frozen=True, slots=True, config=STRICT)
class SnapshotPart:
    """One of ``total`` parts of the state after record ``through``.

    ``digest`` covers the document, ``verdicts_digest`` the kept verdicts.
    """

    through: int
    generation: int
    digest: str
    verdicts_digest: str
    index: int
    total: int
    services: tuple[Service, ...] = ()
    upstreams: tuple[Upstream, ...] = ()
    verdicts: tuple[Submitted, ...] = ()
    rules: int = RULES_VERSION
    type: Literal['snapshot'] = 'snapshot'

    @property
    def identity(self) -> tuple[int, str, str, int]:
        """Return what the parts of one snapshot have in common.

        The writer is not part of it: equal snapshots are interchangeable.
        """
        return self.through, self.digest, self.verdicts_digest, self.total


@dataclass(frozen=True, slots=True)
class SnapshotContent:
    """What a complete snapshot holds."""

    document: Document
    verdicts: Mapping[str, Verdict]


@dataclass(frozen=True, slots=True)
class _Piece:
    """The objects of one part."""

    services: tuple[Service, ...] = ()
    upstreams: tuple[Upstream, ...] = ()
    verdicts: tuple[Submitted, ...] = ()


def document_digest(document: Document) -> str:
    """Return the SHA-256 of a document, whatever its order of keys."""
    digest = hashlib.sha256(str(document.generation).encode())
    for name in sorted(document.services.keys() | document.table.groups):
        service = document.services.get(name)
        if service is not None:
            _add(digest, service)
        for upstream in document.upstreams_of(name):
            _add(digest, upstream)
    return digest.hexdigest()


def verdicts_digest(verdicts: Mapping[str, Verdict]) -> str:
    """Return the SHA-256 of the verdicts, in the order of their records."""
    digest = hashlib.sha256()
    for submission, verdict in verdicts.items():
        _add(digest, Submitted(submission, verdict))
    return digest.hexdigest()


def make_snapshot(
    document: Document,
    verdicts: Mapping[str, Verdict],
    through: int,
) -> tuple[SnapshotPart, ...]:
    """Split the state after record ``through`` into parts."""
    pieces = (*_document_pieces(document), *_verdict_pieces(verdicts))
    head = SnapshotPart(
        through=through,
        generation=document.generation,
        digest=document_digest(document),
        verdicts_digest=verdicts_digest(verdicts),
        index=0,
        total=len(pieces),
    )
    return tuple(
        replace(
            head,
            index=index,
            services=piece.services,
            upstreams=piece.upstreams,
            verdicts=piece.verdicts,
        )
        for index, piece in enumerate(pieces)
    )


def join_parts(parts: Iterable[SnapshotPart]) -> SnapshotContent | None:
    """Join all parts in order; None if they do not match their digests."""
    services: dict[str, Service] = {}
    upstreams: dict[str, Upstream] = {}
    verdicts: dict[str, Verdict] = {}
    for wanted in parts:
        services.update({one.name: one for one in wanted.services})
        upstreams.update({one.key: one for one in wanted.upstreams})
        verdicts.update(
            {one.submission: one.verdict for one in wanted.verdicts}
        )
    document = Document(wanted.generation, services, upstreams)
    if document_digest(document) != wanted.digest:
        return None
    if verdicts_digest(verdicts) != wanted.verdicts_digest:
        return None
    return SnapshotContent(document, verdicts)


def _add(digest: 'hashlib._Hash', message: object) -> None:
    digest.update(encode(message))
    digest.update(b'\n')


def _document_pieces(document: Document) -> Iterator[_Piece]:
    services: list[Service] = []
    upstreams: list[Upstream] = []
    for name in sorted(document.services):
        services.append(document.services[name])
        upstreams.extend(document.upstreams_of(name))
        if len(upstreams) + len(services) >= _PART_OBJECTS:
            yield _Piece(tuple(services), tuple(upstreams))
            services.clear()
            upstreams.clear()
    if services:
        yield _Piece(tuple(services), tuple(upstreams))


def _verdict_pieces(verdicts: Mapping[str, Verdict]) -> Iterator[_Piece]:
    remaining = starmap(Submitted, verdicts.items())
    while chunk := tuple(islice(remaining, _PART_OBJECTS)):
        yield _Piece(verdicts=chunk)
