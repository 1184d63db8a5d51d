"""Figures of the demo and the table that shows them."""

from collections.abc import Sequence
from dataclasses import asdict

from .audit import Audit, audit, quantile
from .caller import CallRecord

OUTCOMES = ('answered', 'not-run', 'failed', 'unknown')


def count(records: Sequence[CallRecord], outcome: str) -> int:
    return sum(one.outcome == outcome for one in records)


def summary(
    records: list[CallRecord], counters: list[dict], probe_budget: float
) -> tuple[dict, Audit]:
    """Return the figures of the last line, and the breaches found."""
    found = audit(records, counters)
    added = [one.added_ms for one in records if one.added_ms is not None]
    after_drain = max(one['last_arrival_after_drain_ms'] for one in counters)
    figures = {'calls': len(records)}
    for outcome in OUTCOMES:
        figures[outcome.replace('-', '_')] = count(records, outcome)
    figures |= asdict(found)
    figures['resent'] = sum(one.attempts > 1 for one in records)
    figures['added_ms'] = {
        'p50': round(quantile(added, 0.5), 2),
        'p99': round(quantile(added, 0.99), 2),
    }
    figures['probes'] = sum(one['probes'] for one in counters)
    figures['probe_budget'] = int(probe_budget)
    figures['new_work_after_drain_ms'] = round(after_drain, 1)
    return figures, found


LABELS = {
    'calls': 'calls',
    'answered': '  answered',
    'not_run': '  not run',
    'failed': '  failed (idempotent)',
    'unknown': '  unknown (may have run)',
    'resent': 'calls sent again after a break',
    'duplicated': 'duplicated',
    'cut_short': 'cut short',
    'foreign': "another request's response",
    'false_not_run': 'reported as not run, but ran',
    'p50': 'added latency, median (ms)',
    'p99': 'added latency, p99 (ms)',
    'probes': 'probes',
    'probe_budget': 'probes allowed by the budget',
    'new_work_after_drain_ms': 'last new work after drain notice (ms)',
}


def print_table(figures: dict, counters: list[dict]) -> None:
    print()
    flat = figures | figures['added_ms']
    for name, label in LABELS.items():
        print(f'{label:<40}{flat[name]:>10}')
    print()
    print(f'{"upstream":<12}{"runs":>8}{"refused":>10}{"probes":>8}')
    for one in counters:
        row = f'{one["runs"]:>8}{one["refused"]:>10}{one["probes"]:>8}'
        print(f'{one["name"]:<12}{row}')
    print()
