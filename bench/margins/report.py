"""Distribution of measured times against their bound."""

import json
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path

from .config_loss import LossResult

PROPAGATION_SECONDS = 2.0
DRAIN_SECONDS = 2.0
#: Shares of the times below the median and the high quantile.
MEDIAN = 0.5
HIGH = 0.99


@dataclass(frozen=True, slots=True)
class Margin:
    """How near the times of one promise come to its bound, in seconds."""

    promise: str
    count: int
    median: float
    high: float
    slowest: float
    bound: float

    @property
    def share(self) -> float:
        """Return the slowest time as a share of the bound."""
        return self.slowest / self.bound

    @property
    def is_broken(self) -> bool:
        """Return whether a time was beyond the bound."""
        return self.slowest > self.bound

    def line(self) -> str:
        """Return a line of the table."""
        return (
            f'{self.promise:<24}{self.count:>6}{self.median:>8.2f}'
            f'{self.high:>8.2f}{self.slowest:>9.2f}{self.bound:>7.1f}'
            f'{self.share:>7.0%}'
        )


HEADER = (
    f'{"promise":<24}{"count":>6}{"median":>8}{"p99":>8}{"slowest":>9}'
    f'{"bound":>7}{"share":>7}'
)


def quantile(times: Sequence[float], share: float) -> float:
    """Return the time that ``share`` of the sorted times do not exceed.

    >>> quantile([1, 2, 3, 4], 0.5)
    2
    >>> quantile([1, 2, 3, 4], 0.99)
    4
    """
    position = -int(-len(times) * share // 1)
    return times[max(position, 1) - 1]


def find_margin(promise: str, times: Iterable[float], bound: float) -> Margin:
    """Return the margin of some times, of which there is at least one."""
    ordered = sorted(times)
    return Margin(
        promise,
        len(ordered),
        quantile(ordered, MEDIAN),
        quantile(ordered, HIGH),
        ordered[-1],
        bound,
    )


def find_margins(results: Sequence[LossResult]) -> tuple[Margin, ...]:
    """Return the margins of losses; none without results."""
    if not results:
        return ()
    return (
        find_margin(
            'configuration in force',
            (result.config.seconds for result in results),
            PROPAGATION_SECONDS,
        ),
        find_margin(
            'removed upstream unused',
            (result.removal.seconds for result in results),
            DRAIN_SECONDS,
        ),
    )


def write_json(path: Path, results: Sequence[LossResult]) -> None:
    """Write the margins and each loss."""
    document = {
        'margins': [
            {**asdict(margin), 'share': margin.share}
            for margin in find_margins(results)
        ],
        'losses': [asdict(result) for result in results],
    }
    path.write_text(json.dumps(document, indent=1))
