"""Division of a service's probe budget into rights."""

from collections.abc import Mapping
from dataclasses import dataclass
from datetime import timedelta

from ..config.model import Document, ProbeBudget

#: Bytes that are reserved for one probe, request and response together.
PROBE_BYTES = 2048

_SECOND = timedelta(seconds=1)
# In each window, a right covers one probe that is due and one that was delayed
# between its check and its send.
_PROBES_PER_RIGHT = 2
# Keeps two probes of a right in different windows at the upstreams, even if one
# of them takes up to a quarter of a window longer to arrive.
_SPACING_IN_WINDOWS = 1.25


@dataclass(frozen=True, slots=True)
class RightsPlan:
    """Division of a service's budget in one configuration generation.

    Each of the ``count`` rights permits one probe per ``spacing``. Together
    they cause at most ``2 * count`` probes in any ``window``, which is one
    second unless the budget is below two probes a second.
    """

    generation: int = 0
    count: int = 0
    window: timedelta = _SECOND
    spacing: timedelta = _SECOND * _SPACING_IN_WINDOWS


def divide_budget(budget: ProbeBudget, generation: int) -> RightsPlan:
    """Divide a budget into equal rights.

    Each right permits at most two probes per window, and rights are numbered
    from 0 in every generation, so any mixture of two generations stays within
    the larger budget.

    >>> divide_budget(
    ...     ProbeBudget(per_second=5, bytes_per_second=100_000), 1
    ... ).count
    2
    >>> divide_budget(ProbeBudget(per_second=0.5), 1).window
    datetime.timedelta(seconds=4)
    """
    per_second = min(budget.per_second, budget.bytes_per_second / PROBE_BYTES)
    if per_second <= 0:
        return RightsPlan(generation)
    if per_second < _PROBES_PER_RIGHT:
        window = _SECOND * (_PROBES_PER_RIGHT / per_second)
        spacing = window * _SPACING_IN_WINDOWS
        return RightsPlan(generation, 1, window, spacing)
    return RightsPlan(generation, int(per_second // _PROBES_PER_RIGHT))


def plans_of(document: Document) -> Mapping[str, RightsPlan]:
    """Return the plan of each service of a document."""
    return {
        name: divide_budget(service.probe_budget, document.generation)
        for name, service in document.services.items()
    }
