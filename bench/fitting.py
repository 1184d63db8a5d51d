"""Measurement of costs at several sizes and straight lines through them."""

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
    """``cost = fixed + slope * size``; ``error`` is the largest residual.

    ``error`` is a share of the largest measured cost.
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
    """Fit a line through the cost at each of ``sizes``."""
    points = tuple((number, cost(number)) for number in sizes)
    at, costs = np.array(points, dtype=float).T
    slope, fixed = np.polyfit(at, costs, 1)
    residuals = np.abs(costs - (fixed + slope * at))
    error = float(residuals.max() / costs.max())
    return Slope(name, size, unit, points, float(fixed), float(slope), error)


def cpu_us(work: Callable[[], object], calls: int) -> float:
    """Return the median processor time of one call in microseconds."""
    gc.collect()
    gc.disable()
    found = []
    for _ in range(_REPEATS):
        start = time.process_time_ns()
        for _ in range(calls):
            work()
        found.append((time.process_time_ns() - start) / calls / 1000)
    gc.enable()
    return float(np.median(found))


def memory_bytes(make: Callable[[], object]) -> int:
    """Return the memory that the result of ``make`` takes."""
    gc.collect()
    tracemalloc.start()
    kept = make()
    gc.collect()
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del kept
    return size


def write_json(slopes: Iterable[Slope], path: str) -> None:
    """Write the slopes for ``bench.capacity_model``; no path, no file."""
    if path:
        plain = [asdict(slope) for slope in slopes]
        Path(path).write_text(json.dumps(plain, indent=1))


def print_table(slopes: Iterable[Slope]) -> None:
    """Print the slopes as a Markdown table."""
    print('| cost | per | size: cost | fixed | slope | largest residual |')
    print('| --- ' * 6 + '|')
    for slope in slopes:
        points = ', '.join(f'{at:g}: {cost:.4g}' for at, cost in slope.points)
        print(
            f'| {slope.name} ({slope.unit}) | {slope.size} | {points} '
            f'| {slope.fixed:.4g} | {slope.slope:.4g} | {slope.error:.1%} |'
        )
