"""Measures costs at several sizes and fits straight lines to them."""

import gc
import json
import time
import tracemalloc
from collections.abc import Callable, Iterable
from dataclasses import asdict, dataclass
from pathlib import Path

import numpy as np

_REPEATS = 7


@dataclass(frozen=True)
class Slope:
    """A fitted line, ``cost = fixed + slope * size``.

    ``error`` is the largest residual, as a share of the largest measured cost.
    """

    name: str
    size: str
    unit: str
    points: tuple[tuple[float, float], ...]
    fixed: float
    slope: float
    error: float


def measure(
    name: str,
    size: str,
    unit: str,
    sizes: Iterable[int],
    cost: Callable[[int], float],
) -> Slope:
    """Measure the cost at each of ``sizes`` and fit a line."""
    points = tuple((number, cost(number)) for number in sizes)
    measured_sizes, costs = np.array(points, dtype=float).T
    slope, fixed = np.polyfit(measured_sizes, costs, 1)
    residuals = np.abs(costs - (fixed + slope * measured_sizes))
    error = float(residuals.max() / costs.max())
    return Slope(name, size, unit, points, float(fixed), float(slope), error)


def cpu_us(work: Callable[[], object], calls: int) -> float:
    """Return the median processor time of one call in microseconds."""
    gc.collect()
    gc.disable()
    samples_us = []
    for _ in range(_REPEATS):
        start = time.process_time_ns()
        for _ in range(calls):
            work()
        samples_us.append((time.process_time_ns() - start) / calls / 1000)
    gc.enable()
    return float(np.median(samples_us))


def memory_bytes(make: Callable[[], object]) -> int:
    """Return the bytes of memory that the result of ``make`` occupies."""
    gc.collect()
    tracemalloc.start()
    created = make()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del created
    return size


def write_json(slopes: Iterable[Slope], path: str) -> None:
    """Write the slopes for ``bench.capacity_model``, if ``path`` is given."""
    if path:
        documents = [asdict(slope) for slope in slopes]
        Path(path).write_text(json.dumps(documents, indent=1))


def print_table(slopes: Iterable[Slope]) -> None:
    """Print the slopes as a Markdown table."""
    print('| cost | per | size: cost | fixed | slope | largest residual |')
    print('| --- ' * 6 + '|')
    for slope in slopes:
        points = ', '.join(
            f'{number:g}: {cost:.4g}' for number, cost in slope.points
        )
        print(
            f'| {slope.name} ({slope.unit}) | {slope.size} | {points} '
            f'| {slope.fixed:.4g} | {slope.slope:.4g} | {slope.error:.1%} |'
        )
