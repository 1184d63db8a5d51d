"""Computation of burn rates and the error budget from window counts.

A burn rate of 1 uses up the error budget exactly at the end of the objective's
window; a rate of 14.4 uses up a 28-day budget in about two days.
"""

import math
from collections.abc import Iterable
from dataclasses import dataclass
from datetime import datetime, timedelta

from ..config.model import Objective
from .windows import WindowCounts

#: Spans of the reported burn rates.
SPANS = (timedelta(minutes=5), timedelta(hours=1), timedelta(hours=6))


@dataclass(frozen=True, slots=True)
class BurnRate:
    """Burn rate and request counts over the last ``span``."""

    span: timedelta
    rate: float
    good: int
    bad: int


@dataclass(frozen=True, slots=True)
class BurnFigures:
    """Burn rates per span and the state of the error budget.

    ``budget_left`` is a share of the budget: 1 if unspent, below 0 if
    overspent. ``counted_since`` is the start of the oldest counted window, or
    None without requests; the budget covers only counted requests.
    """

    rates: tuple[BurnRate, ...]
    budget_left: float
    counted_since: datetime | None


def burn_figures(
    counts: Iterable[WindowCounts],
    objective: Objective,
    now: datetime,
) -> BurnFigures:
    """Return the figures of one service from its merged counts."""
    entries = tuple(counts)
    budget_entries = _recent(entries, now, objective.window)
    return BurnFigures(
        rates=tuple(
            _span_rate(entries, objective, now, span) for span in SPANS
        ),
        budget_left=1 - _burn_rate(budget_entries, objective),
        counted_since=min(
            (entry.start for entry in budget_entries), default=None
        ),
    )


def _span_rate(
    entries: tuple[WindowCounts, ...],
    objective: Objective,
    now: datetime,
    span: timedelta,
) -> BurnRate:
    recent = _recent(entries, now, span)
    return BurnRate(
        span=span,
        rate=_burn_rate(recent, objective),
        good=sum(entry.good for entry in recent),
        bad=sum(entry.bad for entry in recent),
    )


def _recent(
    entries: tuple[WindowCounts, ...],
    now: datetime,
    span: timedelta,
) -> tuple[WindowCounts, ...]:
    return tuple(entry for entry in entries if entry.start > now - span)


def _burn_rate(
    entries: tuple[WindowCounts, ...], objective: Objective
) -> float:
    """Return the share of bad requests relative to the allowed share."""
    bad = sum(entry.bad for entry in entries)
    if not bad:
        return 0
    total = sum(entry.total for entry in entries)
    allowed = 1 - objective.share
    return bad / total / allowed if allowed > 0 else math.inf
