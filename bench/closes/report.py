"""Results of a form: what was lost, and what the instances logged of it."""

import json
from collections import Counter
from collections.abc import Iterable, Sequence
from dataclasses import asdict, dataclass
from pathlib import Path

from .ledger import Ledger

#: The first requests that were lost are named in the result.
_NAMED_LOSSES = 5


@dataclass(frozen=True, slots=True)
class FormResult:
    """What became of the requests of one form; counts by their names."""

    tree: str
    form: str
    seed: int
    passed_on: int
    answered: int
    lost: int
    broken_off: int
    losses: dict[str, int]
    causes: dict[str, int]
    events: dict[str, int]
    statuses: dict[str, int]
    first_losses: tuple[str, ...]
    longest_stall_seconds: float
    folder: str

    def line(self) -> str:
        """Return a line of the table."""
        losses = _join(self.losses) or '-'
        causes = _join(self.causes) or '-'
        return (
            f'{self.tree:<15} {self.form:<13}seed {self.seed:<5}'
            f'{self.lost:>5} lost of {self.passed_on:>6} passed on, '
            f'{self.answered:>6} answered, {self.broken_off} broken off; '
            f'{losses}; '
            f'connection_ended: {causes}; {_join(self.events) or "-"}; '
            f'statuses {_join(self.statuses) or "-"}; '
            f'stall {self.longest_stall_seconds:.2f} s'
        )


def make_result(
    tree: str, form: str, seed: int, ledger: Ledger, logs: Path
) -> FormResult:
    """Sum up a run whose instances have their logs in ``logs``."""
    losses = ledger.losses()
    requests = ledger.requests.values()
    return FormResult(
        tree=tree,
        form=form,
        seed=seed,
        passed_on=ledger.passed_on(),
        answered=sum(request.completed_at is not None for request in requests),
        lost=len(losses),
        broken_off=ledger.broken_off(),
        losses=dict(Counter(str(loss) for _, loss in losses)),
        causes=dict(count_causes(logs.glob('front-*.log'))),
        events=dict(ledger.events),
        statuses=dict(
            Counter(
                str(request.status) for request in requests if request.status
            )
        ),
        first_losses=tuple(request.id for request, _ in losses[:_NAMED_LOSSES]),
        longest_stall_seconds=round(ledger.longest_stall_seconds, 3),
        folder=str(logs),
    )


def count_causes(paths: Iterable[Path]) -> Counter[str]:
    """Count the causes and stages of requests that were open at an end."""
    counts: Counter[str] = Counter()
    for path in paths:
        for line in path.read_text(errors='replace').splitlines():
            if '"connection_ended"' not in line:
                continue
            event = json.loads(line)
            for request in event['requests']:
                counts[f'{event["cause"]}/{request["stage"]}'] += 1
    return counts


def write_json(path: Path, results: Sequence[FormResult]) -> None:
    path.write_text(json.dumps([asdict(one) for one in results], indent=1))


def _join(counts: dict[str, int]) -> str:
    return ', '.join(
        f'{count} {name}' for name, count in sorted(counts.items())
    )
