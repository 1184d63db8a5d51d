"""Runs the benchmarks and checks their bounds.

Every benchmark module has ``run(short: bool) -> bool``, which prints its table
and returns whether its bounds hold.
"""

import sys
from importlib import import_module
from pathlib import Path

import fire

_SHORT = ('policy', 'ledger')
_ALL = ('policy', 'call_cost', 'ledger')


def main(short: bool = False) -> None:
    """Run all benchmarks, or those that CI runs."""
    names = _SHORT if short else _ALL
    present = [
        name
        for name in names
        if Path(__file__).with_name(f'{name}.py').exists()
    ]
    passed = [import_module(f'bench.{name}').run(short) for name in present]
    sys.exit(not all(passed))


if __name__ == '__main__':
    fire.Fire(main)
