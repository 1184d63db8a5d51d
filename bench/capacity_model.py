"""Computes the tables of docs/CAPACITY.md from measured slopes.

Run ``python -m bench.capacity_model FILE...`` with the JSON files that
``bench.capacity``, ``bench.capacity_calls`` and ``bench.capacity_control`` have
written. Nothing is measured here.
"""

import json
from collections.abc import Iterator
from dataclasses import dataclass
from pathlib import Path

import fire

# The design size, from docs/design.md.
UPSTREAMS = 10_000
SERVICES = 670
CALLS_PER_SECOND = 2.2e6
CHANGES_PER_SECOND = 31_000 / 86_400
RESTARTS_PER_SECOND = (2_000 + 35) / 86_400
CORE_PERCENT = 1.8
MEMORY_BYTES = 256e6
BYTES_PER_SECOND = 5_000

#: Share of a core that calls may use, so that the wait for the loop stays low.
UTILIZATION = 0.5
# An instance that is replaced is listed, marked as leaving and unlisted.
VIEW_CHANGES_PER_RESTART = 3
CONNECTIONS = 200
FAN_OUT = 8
PROGRAMS_PER_INSTANCE = 3
POLLED_BYTES = 404
POLLS_PER_SECOND = 2


class Slopes:
    """Slopes by name and size."""

    def __init__(self, files: tuple[str, ...]) -> None:
        found = [one for file in files for one in json.loads(_read(file))]
        self.by_name = {(one['name'], one['size']): one for one in found}

    def at(self, name: str, size: str, number: float) -> float:
        """Return the cost at a size, on the fitted line."""
        one = self.by_name[name, size]
        return one['fixed'] + one['slope'] * number

    def per(self, name: str, size: str) -> float:
        """Return the cost of one unit of size."""
        return self.by_name[name, size]['slope']


@dataclass(frozen=True)
class Row:
    """One limit of the design with the figure computed for it."""

    what: str
    limit: str
    figure: str
    holds: bool

    def __str__(self) -> str:
        verdict = 'carried' if self.holds else 'not carried'
        return f'| {self.what} | {self.limit} | {self.figure} | {verdict} |'


def _read(file: str) -> str:
    return Path(file).read_text()


def instances(slopes: Slopes) -> float:
    """Return the number of proxies, one core each, that the calls need."""
    call_us = slopes.per('calls of 1 KiB', 'call')
    return CALLS_PER_SECOND * call_us / 1e6 / UTILIZATION


def rows(slopes: Slopes) -> Iterator[Row]:
    """Compute each limit for each role."""
    count = instances(slopes)
    yield from _processor(slopes, count)
    yield from _memory(slopes, count)
    yield from _traffic(slopes, count)


def _processor(slopes: Slopes, count: float) -> Iterator[Row]:
    view_changes = RESTARTS_PER_SECOND * VIEW_CHANGES_PER_RESTART
    view_us = slopes.at('an instance from the feed applied', 'instance', count)
    homes_us = slopes.at(
        'homes of 670 services after a joined instance', 'instance', count
    )
    routes_us = slopes.at(
        'a change applied to the routes of a proxy', 'upstream', UPSTREAMS
    )
    fold_us = slopes.at('a change read and folded', 'upstream', UPSTREAMS)
    encode_us = slopes.at(
        'a change encoded for the feed', 'upstream', UPSTREAMS
    )
    extra = {
        'crocus-proxy': (routes_us, view_us + homes_us),
        'crocus-locator': (0, view_us + homes_us),
        'crocus-config': (fold_us + encode_us, 2 * view_us),
    }
    for program, (change_us, view_change_us) in extra.items():
        measured = slopes.at(
            f'{program}, processor time', 'change a second', CHANGES_PER_SECOND
        )
        sized = CHANGES_PER_SECOND * change_us + view_changes * view_change_us
        percent = measured + sized / 1e4
        yield Row(
            f'{program}: control, share of a core',
            f'{CORE_PERCENT} %',
            f'{percent:.2f} %',
            percent <= CORE_PERCENT,
        )


def _memory(slopes: Slopes, count: float) -> Iterator[Row]:
    shared = slopes.at('document in memory', 'upstream', UPSTREAMS)
    shared += slopes.at('view in memory', 'instance', count)
    base = slopes.at('resident memory', 'connection of a caller', CONNECTIONS)
    routes = slopes.at('routes of a proxy in memory', 'upstream', UPSTREAMS)
    proxy = base + shared + routes
    claim = slopes.per('claims in memory', 'claim')
    yield Row(
        f'crocus-proxy: memory without claims, {CONNECTIONS} callers',
        '256 MB',
        f'{proxy / 1e6:.0f} MB',
        proxy <= MEMORY_BYTES,
    )
    kept = (MEMORY_BYTES - proxy) / claim
    yield Row(
        'crocus-proxy: claims that fit into the rest, kept for 1 h',
        'no limit given',
        f'{kept / 1e3:.0f} thousand, {kept / 3600:.0f} a second',
        holds=True,
    )


def _traffic(slopes: Slopes, count: float) -> Iterator[Row]:
    for program in ('crocus-proxy', 'crocus-locator'):
        moved = slopes.at(
            f'{program}, bytes read and written',
            'change a second',
            CHANGES_PER_SECOND,
        )
        yield Row(
            f'{program}: control traffic, bytes a second',
            '5 KB',
            f'{moved / 1e3:.1f} KB',
            moved <= BYTES_PER_SECOND,
        )
    name = 'crocus-config, bytes read and written'
    own = slopes.at(name, 'change a second', CHANGES_PER_SECOND)
    child = POLLS_PER_SECOND * POLLED_BYTES
    for role, children in (('leaf', 0), (f'parent of {FAN_OUT}', FAN_OUT)):
        moved = own + children * child
        yield Row(
            f'crocus-config, {role}: control traffic, bytes a second',
            '5 KB',
            f'{moved / 1e3:.1f} KB',
            moved <= BYTES_PER_SECOND,
        )
    listed = slopes.at('whole view in the feed', 'instance', count)
    changes = RESTARTS_PER_SECOND * VIEW_CHANGES_PER_RESTART
    moved = listed * changes
    yield Row(
        'crocus-config, platform reader: instance list read whole',
        '5 KB',
        f'{moved / 1e3:.1f} KB',
        moved <= BYTES_PER_SECOND,
    )
    claim = slopes.per('record of claims', 'claim')
    yield Row(
        'crocus-proxy: claims of the whole site within the traffic limit',
        '5 KB',
        f'{BYTES_PER_SECOND / claim:.0f} claims a second',
        holds=False,
    )


def main(*files: str) -> None:
    """Print the tables."""
    slopes = Slopes(files)
    count = instances(slopes)
    call_us = slopes.per('calls of 1 KiB', 'call')
    print(f'processor time of a call: {call_us:.0f} us')
    print(f'proxies at {UTILIZATION:.0%} of a core: {count:.0f}')
    print(f'calls a second and service: {CALLS_PER_SECOND / SERVICES:.0f}')
    homes = count / SERVICES
    print(f'homes of a service of average rate: {homes:.1f}')
    print('| what | limit | computed | verdict |')
    print('| --- ' * 4 + '|')
    for row in rows(slopes):
        print(row)


if __name__ == '__main__':
    fire.Fire(main)
