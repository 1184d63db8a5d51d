"""The folded configuration: a pure function of the records of the stream."""

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

#: Number of submissions whose verdict is part of the state.
KEPT_VERDICTS = 1000
# Enough for a snapshot whose parts are mixed with that many changes.
_KEPT_DOCUMENTS = 64
_OPEN_SNAPSHOTS = 8

_Parts = Mapping[int, SnapshotPart]
_Identity = tuple[int, str, str, int]


@dataclass(frozen=True, slots=True)
class SnapshotMark:
    """Where a complete and correct snapshot was found."""

    through: int
    offset: int
    generation: int


@dataclass(frozen=True, slots=True)
class SnapshotProblem:
    """Why a complete snapshot was ignored."""

    offset: int
    generation: int
    code: str


@dataclass(frozen=True, slots=True)
class StreamState:
    """The state after record ``offset``.

    Attributes:
        document: the current generation.
        offset: the last record that was folded; the next to read follows it.
        verdicts: per submission, the oldest first.
        following: false until the state rests on the start of the stream or
            on a snapshot; changes are passed over until then.
        start: the first record that was read.
        recent: the last documents by generation, to check snapshots against.
        open_snapshots: parts of snapshots that are not complete yet.
        snapshot: the newest complete and correct snapshot.
        problem: the last snapshot that was ignored.
        unknown_rules: not zero once a record with newer rules was met; no
            later record is folded.
    """

    document: Document = field(default_factory=Document)
    offset: int = -1
    verdicts: Mapping[str, Verdict] = field(default_factory=dict)
    following: bool = True
    start: int = 0
    recent: Mapping[int, Document] = field(default_factory=dict)
    open_snapshots: Mapping[_Identity, _Parts] = field(default_factory=dict)
    snapshot: SnapshotMark | None = None
    problem: SnapshotProblem | None = None
    unknown_rules: int = 0


def initial_state(first: int) -> StreamState:
    """Return the state of a reader whose oldest record is ``first``.

    If earlier records have expired, the reader needs a snapshot.
    """
    return StreamState(offset=first - 1, start=first, following=not first)


def apply_record(
    state: StreamState, offset: int, record: Record
) -> StreamState:
    """Return the state after one more record.

    A state that adopts a snapshot goes back to the offset that the snapshot
    covers: the reader continues with the record after ``state.offset``.
    """
    if state.unknown_rules:
        return state
    if isinstance(record, UnknownRules):
        return replace(state, unknown_rules=record.rules)
    state = replace(state, offset=offset)
    match record:
        case SnapshotPart():
            return _fold_part(state, record)
        case Change() | InvalidChange() if state.following:
            return _fold_change(state, record)
    return state


def _fold_change(
    state: StreamState,
    record: Change | InvalidChange,
) -> StreamState:
    if record.submission in state.verdicts:
        # A submission that appears twice keeps its first verdict.
        return state
    verdict, document = _judge(state.document, record)
    state = _with_verdict(state, record.submission, verdict)
    return _with_document(state, document)


def _judge(
    document: Document,
    record: Change | InvalidChange,
) -> tuple[Verdict, Document]:
    generation = document.generation
    if record.base != generation:
        return Rejected(GENERATION_CONFLICT, generation), document
    if isinstance(record, InvalidChange):
        faults = record.faults
        return Rejected(CONFIG_INVALID, generation, faults), document
    wanted, faults = check_change(document, record)
    if faults:
        return Rejected(CONFIG_INVALID, generation, faults), document
    return Accepted(wanted.generation), wanted


def _with_verdict(
    state: StreamState,
    submission: str,
    verdict: Verdict,
) -> StreamState:
    verdicts = {**state.verdicts, submission: verdict}
    if len(verdicts) > KEPT_VERDICTS:
        verdicts.pop(next(iter(verdicts)))
    return replace(state, verdicts=verdicts)


def _with_document(state: StreamState, document: Document) -> StreamState:
    if document is state.document:
        return state
    recent = {**state.recent, document.generation: document}
    if len(recent) > _KEPT_DOCUMENTS:
        recent.pop(next(iter(recent)))
    return replace(state, document=document, recent=recent)


def _fold_part(state: StreamState, part: SnapshotPart) -> StreamState:
    if not 0 <= part.index < part.total or part.through >= state.offset:
        return _with_problem(state, part, 'snapshot_malformed')
    parts = {**state.open_snapshots.get(part.identity, {}), part.index: part}
    others = dict(state.open_snapshots)
    others.pop(part.identity, None)
    if len(parts) < part.total:
        others[part.identity] = parts
        excess = max(0, len(others) - _OPEN_SNAPSHOTS)
        kept = dict(islice(others.items(), excess, None))
        return replace(state, open_snapshots=kept)
    state = replace(state, open_snapshots=others)
    return _fold_snapshot(state, [parts[index] for index in sorted(parts)])


def _fold_snapshot(
    state: StreamState, parts: list[SnapshotPart]
) -> StreamState:
    last = parts[-1]
    found = join_parts(parts)
    if found is None:
        return _with_problem(state, last, 'snapshot_digest_wrong')
    if state.following:
        return _compare(state, last)
    if last.through + 1 < state.start:
        # Records between the snapshot and the first one kept have expired.
        return state
    adopted = StreamState(
        offset=last.through,
        verdicts=found.verdicts,
        start=state.start,
        snapshot=_mark(state, last),
        problem=state.problem,
    )
    return _with_document(adopted, found.document)


def _compare(state: StreamState, last: SnapshotPart) -> StreamState:
    """Check a snapshot against the reader's own state."""
    if last.generation > state.document.generation:
        return _with_problem(state, last, 'snapshot_from_the_future')
    own = state.recent.get(last.generation)
    if own is None:
        return state
    if document_digest(own) != last.digest:
        return _with_problem(state, last, 'snapshot_differs')
    return replace(state, snapshot=_mark(state, last))


def _mark(state: StreamState, part: SnapshotPart) -> SnapshotMark:
    return SnapshotMark(part.through, state.offset, part.generation)


def _with_problem(
    state: StreamState,
    part: SnapshotPart,
    code: str,
) -> StreamState:
    problem = SnapshotProblem(state.offset, part.generation, code)
    return replace(state, problem=problem)
