"""State of stream ``config``: a pure function of its records."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from itertools import islice

from .change import Change
from .model import Document
from .records import InvalidChange, Record, UnknownRules
from .snapshot import SnapshotPart, document_digest, join_parts
from .validation import check_change
from .verdict import (
    CONFIG_INVALID,
    GENERATION_CONFLICT,
    Accepted,
    Rejected,
    Verdict,
)

#: Number of submissions whose verdicts the state keeps.
MAX_VERDICTS = 1000
# A snapshot can be verified only if its generation is among these, so this
# bounds the accepted changes between its creation and its last part.
_MAX_RECENT_DOCUMENTS = 64
_MAX_OPEN_SNAPSHOTS = 8

_Parts = Mapping[int, SnapshotPart]
_Identity = tuple[int, str, str, int]


@dataclass(frozen=True, slots=True)
class SnapshotPosition:
    """Position and generation of a complete snapshot with correct digests.

    ``through`` is the offset of the last record that the snapshot covers,
    ``offset`` that of its last part to arrive.
    """

    through: int
    offset: int
    generation: int


@dataclass(frozen=True, slots=True)
class SnapshotProblem:
    """Why a snapshot or a part of one was ignored."""

    offset: int
    generation: int
    code: str


@dataclass(frozen=True, slots=True)
class StreamState:
    """The state after record ``offset``.

    Attributes:
        document: the current generation.
        offset: offset of the last applied record; reading continues after it.
        verdicts: per submission, the oldest first.
        has_baseline: whether the state is based on the start of the stream or
            on a snapshot; changes are skipped as long as it is not.
        first_offset: offset of the first record read since the last reset.
        recent_documents: the last documents by generation, for the
            verification of snapshots.
        open_snapshots: parts of incomplete snapshots by snapshot identity.
        snapshot: the newest complete snapshot with correct digests.
        problem: the last snapshot that was ignored, and why.
        unknown_rules: version of the rules of the first record with unknown
            rules, after which no record is applied; 0 without such a record.
    """

    document: Document = field(default_factory=Document)
    offset: int = -1
    verdicts: Mapping[str, Verdict] = field(default_factory=dict)
    has_baseline: bool = True
    first_offset: int = 0
    recent_documents: Mapping[int, Document] = field(default_factory=dict)
    open_snapshots: Mapping[_Identity, _Parts] = field(default_factory=dict)
    snapshot: SnapshotPosition | None = None
    problem: SnapshotProblem | None = None
    unknown_rules: int = 0


def initial_state(first: int) -> StreamState:
    """Return the state of a reader that starts at the offset ``first``.

    If earlier records have expired, the reader needs a snapshot.
    """
    return StreamState(
        offset=first - 1, first_offset=first, has_baseline=not first
    )


def apply_record(
    state: StreamState, offset: int, record: Record
) -> StreamState:
    """Return the state after one more record.

    Adopting a snapshot moves the offset back to the last record that it
    covers: the reader continues with the record after ``state.offset``.
    """
    if state.unknown_rules:
        return state
    if isinstance(record, UnknownRules):
        return replace(state, unknown_rules=record.rules)
    state = replace(state, offset=offset)
    match record:
        case SnapshotPart():
            return _apply_part(state, record)
        case Change() | InvalidChange() if state.has_baseline:
            return _apply_change(state, record)
    return state


def _apply_change(
    state: StreamState,
    record: Change | InvalidChange,
) -> StreamState:
    if record.submission in state.verdicts:
        # A repeated submission keeps its first verdict.
        return state
    verdict, document = _decide(state.document, record)
    state = _with_verdict(state, record.submission, verdict)
    return _with_document(state, document)


def _decide(
    document: Document,
    record: Change | InvalidChange,
) -> tuple[Verdict, Document]:
    generation = document.generation
    if record.base != generation:
        return Rejected(GENERATION_CONFLICT, generation), document
    if isinstance(record, InvalidChange):
        faults = record.faults
        return Rejected(CONFIG_INVALID, generation, faults), document
    next_document, faults = check_change(document, record)
    if faults:
        return Rejected(CONFIG_INVALID, generation, faults), document
    return Accepted(next_document.generation), next_document


def _with_verdict(
    state: StreamState,
    submission: str,
    verdict: Verdict,
) -> StreamState:
    verdicts = {**state.verdicts, submission: verdict}
    if len(verdicts) > MAX_VERDICTS:
        verdicts.pop(next(iter(verdicts)))
    return replace(state, verdicts=verdicts)


def _with_document(state: StreamState, document: Document) -> StreamState:
    if document is state.document:
        return state
    recent_documents = {**state.recent_documents, document.generation: document}
    if len(recent_documents) > _MAX_RECENT_DOCUMENTS:
        recent_documents.pop(next(iter(recent_documents)))
    return replace(state, document=document, recent_documents=recent_documents)


def _apply_part(state: StreamState, part: SnapshotPart) -> StreamState:
    if not 0 <= part.index < part.total or part.through >= state.offset:
        return _with_snapshot_problem(state, part, 'snapshot_malformed')
    parts = {**state.open_snapshots.get(part.identity, {}), part.index: part}
    incomplete_snapshots = dict(state.open_snapshots)
    incomplete_snapshots.pop(part.identity, None)
    if len(parts) < part.total:
        incomplete_snapshots[part.identity] = parts
        excess = max(0, len(incomplete_snapshots) - _MAX_OPEN_SNAPSHOTS)
        newest_snapshots = dict(
            islice(incomplete_snapshots.items(), excess, None)
        )
        return replace(state, open_snapshots=newest_snapshots)
    state = replace(state, open_snapshots=incomplete_snapshots)
    return _apply_snapshot(state, [parts[index] for index in sorted(parts)])


def _apply_snapshot(
    state: StreamState, parts: list[SnapshotPart]
) -> StreamState:
    last = parts[-1]
    content = join_parts(parts)
    if content is None:
        return _with_snapshot_problem(state, last, 'snapshot_digest_wrong')
    if state.has_baseline:
        return _verify_snapshot(state, last)
    if last.through + 1 < state.first_offset:
        # Records between the snapshot and the first one read have expired.
        return state
    adopted = StreamState(
        offset=last.through,
        verdicts=content.verdicts,
        first_offset=state.first_offset,
        snapshot=_snapshot_position(state, last),
        problem=state.problem,
    )
    return _with_document(adopted, content.document)


def _verify_snapshot(state: StreamState, last: SnapshotPart) -> StreamState:
    """Compare a snapshot with the document of the same generation."""
    if last.generation > state.document.generation:
        return _with_snapshot_problem(state, last, 'snapshot_from_the_future')
    own_document = state.recent_documents.get(last.generation)
    if own_document is None:
        # A snapshot that cannot be verified does not count as the newest.
        return state
    if document_digest(own_document) != last.digest:
        return _with_snapshot_problem(state, last, 'snapshot_differs')
    return replace(state, snapshot=_snapshot_position(state, last))


def _snapshot_position(
    state: StreamState, part: SnapshotPart
) -> SnapshotPosition:
    return SnapshotPosition(part.through, state.offset, part.generation)


def _with_snapshot_problem(
    state: StreamState,
    part: SnapshotPart,
    code: str,
) -> StreamState:
    problem = SnapshotProblem(state.offset, part.generation, code)
    return replace(state, problem=problem)
