"""Counts requests that are lost when connections close, on any checkout.

    python -m bench.closes --form=stop --tree=../other-checkout
    python -m bench.closes --form=series --seconds=45 --seed=3 --delay_ms=8

The tree must have been built with the command of its deploy file. The exit
code is 1 if a request was lost, 2 for invalid arguments and 3 if a form could
not run.
"""

import asyncio
import sys
import tempfile
from pathlib import Path
from random import Random

import fire

from .forms import FORMS, play_form
from .report import FormResult, write_json
from .review_bed import select_tree

_LOST, _INVALID, _NOT_RUN = 1, 2, 3
_ROOT = Path(__file__).resolve().parents[2]


def run(
    form: str = 'all',
    tree: str = str(_ROOT),
    seed: int = 0,
    seconds: float = 45,
    delay_ms: float = 0,
    faults: bool = False,
    slow_share: float = 0,
    json: str = '',
    folder: str = '',
) -> None:
    """Play forms of closes and print what was lost.

    Args:
        form: names of forms with commas, or ``all``.
        tree: path of a built checkout.
        seed: seed of the random forms.
        seconds: time of planned work in the random forms.
        delay_ms: one-way latency of the callers.
        faults: whether the series also has kills, freezes and link faults.
        slow_share: share of the series' connections that are read slowly.
        json: path of a JSON file for the results.
        folder: where the record and the logs go; by default a new folder.
    """
    # Fire passes a list of several names as a tuple.
    names = form.split(',') if isinstance(form, str) else list(form)
    if names == ['all']:
        names = list(FORMS)
    path = Path(tree).resolve()
    fault = find_fault(names, path, seconds, delay_ms)
    if fault:
        print(f'bench.closes: {fault}', file=sys.stderr)
        sys.exit(_INVALID)
    select_tree(path)
    logs = Path(folder or tempfile.mkdtemp(prefix=f'closes-{seed}-'))
    results: list[FormResult] = []
    for name in names:
        form_logs = logs / name
        form_logs.mkdir(parents=True)
        try:
            result = asyncio.run(
                play_form(
                    name,
                    path.name,
                    form_logs,
                    Random(seed),
                    seed,
                    seconds,
                    delay_ms / 1000,
                    faults=faults,
                    slow_share=slow_share,
                )
            )
        except Exception as error:
            print(f'{path.name} {name}: could not run: {error!r}', flush=True)
            print(f'logs: {form_logs}')
            sys.exit(_NOT_RUN)
        results.append(result)
        print(result.line(), flush=True)
    if json:
        write_json(Path(json), results)
    print(f'logs: {logs}')
    sys.exit(_LOST if any(result.lost for result in results) else 0)


def find_fault(
    names: list[str], tree: Path, seconds: float, delay_ms: float
) -> str:
    """Return what is wrong with the arguments, empty if nothing is."""
    for name in names:
        if name not in FORMS:
            return f'--form: no form {name!r}; choose of {", ".join(FORMS)}'
    for option, number in (('--seconds', seconds), ('--delay_ms', delay_ms)):
        if not isinstance(number, int | float) or number < 0:
            return f'{option}: {number!r} is no positive number'
    if not (tree / 'target/deps/crocusproxy').exists():
        return f'--tree: {tree} is not built; run `sh deploy/build.sh` there'
    return ''


if __name__ == '__main__':
    fire.Fire(run)
