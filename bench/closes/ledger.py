"""What callers and upstreams saw of each request, and which were lost."""

from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass, field
from enum import StrEnum

GRACE_SECONDS = 6.0
#: A request that waited longer counts although no upstream had it.
LOSS_SLACK_SECONDS = 0.2
#: An upstream at work in the last sixth of the grace excuses a request that was
#: sent no later than this after the SIGTERM.
EARLY_SECONDS = 3.0
LATE_WORK_SECONDS = GRACE_SECONDS * 5 / 6
#: A stop excuses and concerns requests until this long after it.
STOP_SECONDS = GRACE_SECONDS + 1
#: An instance is in touch this long after a fault of its own.
STABLE_SECONDS = 3.0
_DEADLINE_SLACK_SECONDS = 0.05


class Loss(StrEnum):
    """The form of a loss."""

    UNDELIVERED = 'answered, undelivered'
    PIPELINED = 'pipelined behind another'
    CUT = 'cut at work'
    REPLACED = 'replaced at work'
    LATE = 'refused late'
    TRUNCATED = 'cut short'


@dataclass(slots=True)
class Request:
    """A request as its caller and its upstreams saw it; times in seconds."""

    id: str
    target: str
    instance: str
    connection: int
    deadline_seconds: float
    is_behind: bool = False
    sent_at: float = 0.0
    arrived_at: float | None = None
    #: When its upstream had written the whole answer.
    answered_at: float | None = None
    #: When its upstream noticed that its connection was closed.
    dropped_at: float | None = None
    #: When its upstream ended or reset the connection.
    broken_at: float | None = None
    status: int | None = None
    expected_bytes: int | None = None
    body_bytes: int = 0
    is_upstream_answer: bool = False
    completed_at: float | None = None
    #: When the connection ended without a complete answer, and how.
    ended_at: float | None = None
    end: str = ''
    #: Whether the end of the connection had arrived when this was sent.
    crosses_close: bool = False

    @property
    def is_whole(self) -> bool:
        """Return whether the answer has the length that was asked for."""
        return self.expected_bytes in {None, self.body_bytes}


@dataclass(slots=True)
class Ledger:
    """All requests of a run, and the signals and faults of instances."""

    requests: dict[str, Request] = field(default_factory=dict)
    stops: defaultdict[str, list[float]] = field(
        default_factory=lambda: defaultdict(list)
    )
    #: Begin and end of faults of an instance: kills, freezes, link faults.
    faults: defaultdict[str, list[tuple[float, float]]] = field(
        default_factory=lambda: defaultdict(list)
    )
    events: Counter[str] = field(default_factory=Counter)
    #: The longest time for which the process of the callers stood still.
    longest_stall_seconds: float = 0.0

    def add(self, request: Request) -> None:
        self.requests[request.id] = request

    def losses(self) -> list[tuple[Request, Loss]]:
        """Return each lost request with its form."""
        found = []
        for request in self.requests.values():
            if self._is_disturbed(request):
                continue
            loss = find_loss(request, self.stops[request.instance])
            if loss is not None:
                found.append((request, loss))
        return found

    def passed_on(self) -> int:
        """Return how many requests reached an upstream."""
        return sum(
            request.arrived_at is not None for request in self.requests.values()
        )

    def broken_off(self) -> int:
        """Return how many requests at work got an instance's own answer.

        Those whose deadline had passed are left out. They are lost only as
        `find_loss` says.
        """
        return sum(
            request.dropped_at is not None
            and request.status is not None
            and not request.is_upstream_answer
            and request.dropped_at - request.sent_at < request.deadline_seconds
            for request in self.requests.values()
        )

    def _is_disturbed(self, request: Request) -> bool:
        end = request.ended_at or request.completed_at
        return end is not None and any(
            started - STABLE_SECONDS <= end
            and ended + STABLE_SECONDS >= request.sent_at
            for started, ended in self.faults[request.instance]
        )


def find_loss(request: Request, stops: Sequence[float]) -> Loss | None:
    """Return the form in which a request was lost, None if it was not.

    ``stops`` are the times of SIGTERM of the instance that took it.
    """
    if request.broken_at is not None:
        return None
    if request.completed_at is not None:
        is_cut = request.is_upstream_answer and not request.is_whole
        return Loss.TRUNCATED if is_cut else _find_replacement(request, stops)
    if request.ended_at is None or request.ended_at < request.sent_at:
        return None
    waited = request.ended_at - request.sent_at
    if waited >= request.deadline_seconds - _DEADLINE_SLACK_SECONDS:
        return None
    if request.arrived_at is None:
        is_excused = request.is_behind or request.crosses_close
        is_late = waited > LOSS_SLACK_SECONDS and not is_excused
        return Loss.LATE if is_late else None
    if any(_is_excused(request, stop) for stop in stops):
        return None
    if request.answered_at is not None:
        return Loss.UNDELIVERED
    return Loss.PIPELINED if request.is_behind else Loss.CUT


def _find_replacement(request: Request, stops: Sequence[float]) -> Loss | None:
    """Return a loss if a stopping instance answered in an upstream's place."""
    dropped_at = request.dropped_at
    if request.is_upstream_answer or dropped_at is None:
        return None
    if dropped_at - request.sent_at >= request.deadline_seconds:
        return None
    is_stopping = any(
        stop <= dropped_at <= stop + STOP_SECONDS for stop in stops
    )
    if not is_stopping or any(_is_excused(request, stop) for stop in stops):
        return None
    return Loss.REPLACED


def _is_excused(request: Request, stop: float) -> bool:
    """Return whether its upstream was at work until the end of the grace."""
    if not stop - GRACE_SECONDS <= request.sent_at <= stop + EARLY_SECONDS:
        return False
    worked_until = request.answered_at or request.dropped_at or request.ended_at
    return stop + LATE_WORK_SECONDS <= worked_until <= stop + STOP_SECONDS
