"""Snapshots of the stream's state, split into parts."""

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

# Parts of about 15 KiB keep each append small. A service with its upstreams is
# not split, so a part with a large service exceeds this number.
_OBJECTS_PER_PART = 100


@checked_dataclass(frozen=True, slots=True, config=STRICT)
class SubmissionVerdict:
    """A submission id with its verdict."""

    submission: str
    verdict: Verdict


@checked_dataclass(frozen=True, slots=True, config=STRICT)
class SnapshotPart:
    """One of ``total`` parts of the state after offset ``through``.

    ``digest`` covers the document, ``verdicts_digest`` the stored verdicts.
    """

    through: int
    generation: int
    digest: str
    verdicts_digest: str
    index: int
    total: int
    services: tuple[Service, ...] = ()
    upstreams: tuple[Upstream, ...] = ()
    verdicts: tuple[SubmissionVerdict, ...] = ()
    rules: int = RULES_VERSION
    type: Literal['snapshot'] = 'snapshot'

    @property
    def identity(self) -> tuple[int, str, str, int]:
        """Return the key that the parts of one snapshot share.

        It does not name the writer: equal snapshots are interchangeable.
        """
        return self.through, self.digest, self.verdicts_digest, self.total


@dataclass(frozen=True, slots=True)
class SnapshotContent:
    """The state that a complete snapshot holds."""

    document: Document
    verdicts: Mapping[str, Verdict]


@dataclass(frozen=True, slots=True)
class _PartContent:
    """The objects of one part."""

    services: tuple[Service, ...] = ()
    upstreams: tuple[Upstream, ...] = ()
    verdicts: tuple[SubmissionVerdict, ...] = ()


def document_digest(document: Document) -> str:
    """Return the SHA-256 of a document, independent of the order of keys."""
    digest = hashlib.sha256(str(document.generation).encode())
    for name in sorted(document.services.keys() | document.table.groups):
        service = document.services.get(name)
        if service is not None:
            _update_digest(digest, service)
        for upstream in document.upstreams_of(name):
            _update_digest(digest, upstream)
    return digest.hexdigest()


def verdicts_digest(verdicts: Mapping[str, Verdict]) -> str:
    """Return the SHA-256 of the verdicts, in the order of their records."""
    digest = hashlib.sha256()
    for submission, verdict in verdicts.items():
        _update_digest(digest, SubmissionVerdict(submission, verdict))
    return digest.hexdigest()


def make_snapshot(
    document: Document,
    verdicts: Mapping[str, Verdict],
    through: int,
) -> tuple[SnapshotPart, ...]:
    """Split the state after the record at offset ``through`` into parts."""
    contents = (*_document_contents(document), *_verdict_contents(verdicts))
    template = SnapshotPart(
        through=through,
        generation=document.generation,
        digest=document_digest(document),
        verdicts_digest=verdicts_digest(verdicts),
        index=0,
        total=len(contents),
    )
    return tuple(
        replace(
            template,
            index=index,
            services=content.services,
            upstreams=content.upstreams,
            verdicts=content.verdicts,
        )
        for index, content in enumerate(contents)
    )


def join_parts(parts: Iterable[SnapshotPart]) -> SnapshotContent | None:
    """Join all parts in order; return None if a digest does not match."""
    services: dict[str, Service] = {}
    upstreams: dict[str, Upstream] = {}
    verdicts: dict[str, Verdict] = {}
    for part in parts:
        services.update({one.name: one for one in part.services})
        upstreams.update({one.key: one for one in part.upstreams})
        verdicts.update({one.submission: one.verdict for one in part.verdicts})
    document = Document(part.generation, services, upstreams)
    if document_digest(document) != part.digest:
        return None
    if verdicts_digest(verdicts) != part.verdicts_digest:
        return None
    return SnapshotContent(document, verdicts)


def _update_digest(digest: 'hashlib._Hash', message: object) -> None:
    digest.update(encode(message))
    digest.update(b'\n')


def _document_contents(document: Document) -> Iterator[_PartContent]:
    services: list[Service] = []
    upstreams: list[Upstream] = []
    for name in sorted(document.services):
        services.append(document.services[name])
        upstreams.extend(document.upstreams_of(name))
        if len(upstreams) + len(services) >= _OBJECTS_PER_PART:
            yield _PartContent(tuple(services), tuple(upstreams))
            services.clear()
            upstreams.clear()
    if services:
        yield _PartContent(tuple(services), tuple(upstreams))


def _verdict_contents(
    verdicts: Mapping[str, Verdict],
) -> Iterator[_PartContent]:
    remaining = starmap(SubmissionVerdict, verdicts.items())
    while chunk := tuple(islice(remaining, _OBJECTS_PER_PART)):
        yield _PartContent(verdicts=chunk)
