"""Requests of a run of the placement benchmark, and the figures of a run."""

from __future__ import annotations

from dataclasses import dataclass, field
from statistics import fmean

WINDOW_SECONDS = 2.0


@dataclass
class RequestRecord:
    """One request, with the credit that it can earn and has earned.

    Times are virtual seconds; a response by ``target_at`` earns ``worth``.
    """

    kind: str
    arrived_at: float
    worth: float
    target_at: float
    earned: float = 0
    is_served: bool = False


@dataclass
class RunCounts:
    """Requests of a run, and the sends and probes made for them.

    ``far_sends`` go to other failure domains.
    """

    sends: int = 0
    far_sends: int = 0
    probes: int = 0
    requests: list[RequestRecord] = field(default_factory=list)


def figures(counts: RunCounts) -> dict[str, float]:
    """Return the shares of the credit, and the sends and probes used."""
    requests = counts.requests
    kinds = {one.kind for one in requests}
    # The last window is incomplete, as the load ends within it.
    windows = range(int(requests[-1].arrived_at / WINDOW_SECONDS))
    by_window = sorted(
        credit(
            [
                one
                for one in requests
                if int(one.arrived_at / WINDOW_SECONDS) == window
            ]
        )
        for window in windows
    )
    return {
        'credit': credit(requests),
        'windows': fmean(by_window[:2]),
        'kind': min(
            credit([one for one in requests if one.kind == kind])
            for kind in kinds
        ),
        'served': sum(one.is_served for one in requests) / len(requests),
        'far': counts.far_sends / max(counts.sends, 1),
        'probes': counts.probes / len(requests),
    }


def credit(requests: list[RequestRecord]) -> float:
    """Return the credit earned, as a share of the credit owed."""
    owed = sum(one.worth for one in requests)
    return sum(one.earned for one in requests) / owed


def worth(row: dict[str, float]) -> float:
    """Return the shares weighted as by the users, without their prices."""
    return (
        0.28 * row['credit']
        + 0.4 * row['windows']
        + 0.2 * row['served']
        + 0.12 * row['kind']
    )


def mean_of(rows: list[dict[str, float]]) -> dict[str, float]:
    return {name: fmean(row[name] for row in rows) for name in rows[0]}
