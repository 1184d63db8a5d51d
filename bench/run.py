"""Runs the benchmarks and checks their bounds.

Each benchmark module defines ``run(short: bool) -> bool``, which prints a table
and returns whether the bounds hold.
"""

import sys
from importlib import import_module
from pathlib import Path

import fire

_SHORT_BENCHMARKS = ('policy', 'ledger')
_BENCHMARKS = ('policy', 'call_cost', 'ledger', 'accounts', 'upstream_choice')


def main(short: bool = False) -> None:
    """Run all benchmarks, or with ``short`` the part that CI runs."""
    names = _SHORT_BENCHMARKS if short else _BENCHMARKS
    present = [
        name
        for name in names
        if Path(__file__).with_name(f'{name}.py').exists()
    ]
    passed = [import_module(f'bench.{name}').run(short) for name in present]
    sys.exit(not all(passed))


if __name__ == '__main__':
    fire.Fire(main)
