"""Tables, ratios and bounds of the routing benchmark."""

from __future__ import annotations

from collections.abc import Iterable
from statistics import geometric_mean


def ratio(
    rows: Iterable[dict], load: float, field: str, policy: str, over: str
) -> float:
    """Return the geometric mean over the seeds of the ratio of a figure.

    The figure ``field`` of ``policy`` is divided by that of ``over``.
    """
    figures: dict[tuple, float] = {
        (row['seed'], row['policy']): max(row[field], 1e-9)
        for row in rows
        if row['load'] == load
    }
    return geometric_mean(
        figures[seed, policy] / figures[seed, over]
        for seed, name in figures
        if name == policy
    )


def print_table(rows: list[dict]) -> None:
    names = [name for name in rows[0] if name != 'seed']
    widths = [max(len(name), 9) for name in names]
    print(' '.join(name.rjust(width) for name, width in zip(names, widths)))
    groups: dict[tuple, list[dict]] = {}
    for row in rows:
        key = (row['scenario'], row['policy'], row['load'])
        groups.setdefault(key, []).append(row)
    for group in groups.values():
        cells = [
            f'{sum(row[name] for row in group) / len(group):.4g}'
            if isinstance(group[0][name], (int, float))
            else str(group[0][name])
            for name in names
        ]
        print(' '.join(cell.rjust(width) for cell, width in zip(cells, widths)))


def check(scenario: dict, rows: list[dict], bound_factor: float) -> bool:
    """Print each bound with its figure and return whether all are met."""
    passed = True
    scenario_rows = [row for row in rows if row['scenario'] == scenario['name']]
    for bound in scenario.get('bounds', ()):
        load, limit = bound['load'], bound['at_most'] * bound_factor
        if 'over' in bound:
            label = f'p99 over {bound["over"]}'
            figure = ratio(
                scenario_rows, load, 'p99_ms', 'crocus', bound['over']
            )
        else:
            label = bound['figure']
            figure = max(
                row[label]
                for row in scenario_rows
                if row['policy'] == 'crocus' and row['load'] == load
            )
        is_met = figure <= limit
        passed = passed and is_met
        verdict = 'ok' if is_met else 'MISSED'
        name = f'{scenario["name"]} at {load}'
        print(f'{name}: {label} {figure:.3f}, bound {limit:.3f}: {verdict}')
    return passed


def print_ratios(
    rows: list[dict], loads: list[float], names: list[str]
) -> None:
    for load in loads:
        for over in ('oracle', 'least_inflight'):
            if over in names:
                cells = [
                    f'{name} {ratio(rows, load, "p99_ms", name, over):.3f}'
                    for name in names
                ]
                print(f'p99 over {over} at {load}:', ', '.join(cells))
