"""Distribution of measured times, against their bound if they have one."""

import json
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path

from .config_loss import LossResult
from .shutdown import EndResult

PROPAGATION_SECONDS = 2.0
DRAIN_SECONDS = 2.0
END = 'end of the process'
#: Shares of the times below the median and the high quantile.
MEDIAN = 0.5
HIGH = 0.99


@dataclass(frozen=True, slots=True)
class Margin:
    """How near the times of one promise come to its bound, in seconds.

    The parts of a time have no bound of their own.
    """

    promise: str
    count: int
    median: float
    high: float
    slowest: float
    bound: float | None

    @property
    def share(self) -> float | None:
        """Return the slowest time as a share of the bound."""
        return None if self.bound is None else self.slowest / self.bound

    @property
    def is_broken(self) -> bool:
        """Return whether a time was beyond the bound."""
        return self.bound is not None and self.slowest > self.bound

    def line(self) -> str:
        """Return a line of the table."""
        line = (
            f'{self.promise:<24}{self.count:>6}{self.median:>8.2f}'
            f'{self.high:>8.2f}{self.slowest:>9.2f}'
        )
        if self.bound is None:
            return line
        return f'{line}{self.bound:>7.1f}{self.share:>7.0%}'


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


def find_margin(
    promise: str, times: Iterable[float], bound: float | None = None
) -> Margin:
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


def find_end_margins(
    results: Sequence[EndResult], shutdown_seconds: float
) -> tuple[Margin, ...]:
    """Return the margin of the ends, and how long their parts took."""
    parts = {
        'SIGTERM to draining': _seconds_between(results, 'sent', 'draining'),
        'port closed to stopped': _seconds_between(
            results, 'port_closed', 'stopped'
        ),
        'limit to stopped': _seconds_between(
            results, 'drain_limit_passed', 'stopped'
        ),
        'stopped to exit': _seconds_between(results, 'stopped', 'exit'),
    }
    ends = [one.exit for one in results]
    return (
        *((find_margin(END, ends, shutdown_seconds),) if ends else ()),
        *(find_margin(name, times) for name, times in parts.items() if times),
    )


def write_json(path: Path, results: Sequence[LossResult]) -> None:
    """Write the margins and each loss."""
    _write(path, find_margins(results), 'losses', results)


def write_end_json(
    path: Path, results: Sequence[EndResult], shutdown_seconds: float
) -> None:
    """Write the margins and each end."""
    margins = find_end_margins(results, shutdown_seconds)
    _write(path, margins, 'ends', results)


def _seconds_between(
    results: Sequence[EndResult], start: str, end: str
) -> list[float]:
    """Return the time between two events of the ends that have both."""
    times = [{'sent': 0.0, **asdict(one)} for one in results]
    return [
        one[end] - one[start]
        for one in times
        if None not in {one[start], one[end]}
    ]


def _write(
    path: Path,
    margins: Sequence[Margin],
    name: str,
    results: Sequence[LossResult] | Sequence[EndResult],
) -> None:
    document = {
        'margins': [
            {**asdict(margin), 'share': margin.share} for margin in margins
        ],
        name: [asdict(one) for one in results],
    }
    path.write_text(json.dumps(document, indent=1))
