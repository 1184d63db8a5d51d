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
    """Return the figures to print, and the guarantee violations."""
    violations = audit(records, counters)
    last_arrival_ms = max(
        one['last_arrival_after_drain_ms'] for one in counters
    )
    figures = {'calls': len(records)}
    for outcome in OUTCOMES:
        figures[outcome.replace('-', '_')] = count(records, outcome)
    figures |= asdict(violations)
    figures['resent'] = sum(one.attempts > 1 for one in records)
    keyed = [one for one in records if one.key]
    idempotent = [one for one in records if not one.key]
    figures['added_ms'] = _added_ms(records)
    figures['added_idempotent_ms'] = _added_ms(idempotent)
    figures['added_keyed_ms'] = _added_ms(keyed)
    figures['probes'] = sum(one['probes'] for one in counters)
    figures['probe_budget'] = int(probe_budget)
    figures['new_work_after_drain_ms'] = round(last_arrival_ms, 1)
    return figures, violations


ADDED_LATENCY_LABELS = {
    'added_ms': 'added latency',
    'added_idempotent_ms': '  idempotent calls',
    'added_keyed_ms': '  keyed calls (with a claim)',
}
LABELS = {
    'calls': 'calls',
    'answered': '  answered',
    'not_run': '  not run',
    'failed': '  failed (idempotent)',
    'unknown': '  unknown (may have run)',
    'resent': 'calls retried after a broken connection',
    'duplicated': 'duplicated',
    'cut_short': 'cut short',
    'foreign': "another request's response",
    'false_not_run': 'reported as not run, but ran',
    'probes': 'probes',
    'probe_budget': 'probes allowed by the budget',
    'new_work_after_drain_ms': 'last new work after drain notice (ms)',
}


def print_table(figures: dict, counters: list[dict]) -> None:
    print()
    for name, label in LABELS.items():
        print(f'{label:<40}{figures[name]:>10}')
    print()
    print(f'{"":<40}{"p50 ms":>10}{"p99 ms":>10}')
    for name, label in ADDED_LATENCY_LABELS.items():
        added = figures[name]
        print(f'{label:<40}{added["p50"]:>10}{added["p99"]:>10}')
    print()
    print(f'{"upstream":<12}{"runs":>8}{"refused":>10}{"probes":>8}')
    for one in counters:
        row = f'{one["runs"]:>8}{one["refused"]:>10}{one["probes"]:>8}'
        print(f'{one["name"]:<12}{row}')
    print()


def _added_ms(records: Sequence[CallRecord]) -> dict[str, float]:
    added = [one.added_ms for one in records if one.added_ms is not None]
    return {
        'p50': round(quantile(added, 0.5), 2),
        'p99': round(quantile(added, 0.99), 2),
    }
