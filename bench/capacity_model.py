"""Computes the tables of docs/CAPACITY.md from measured slopes.

Run ``python -m bench.capacity_model FILE...`` with the JSON files written by
``bench.capacity``, ``bench.capacity_calls`` and ``bench.capacity_control``.
Nothing is measured here.
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
MAX_CORE_PERCENT = 1.8
MAX_MEMORY_BYTES = 256e6
MAX_TRAFFIC_BYTES_PER_SECOND = 5_000

#: Share of a core that calls may use, so that event loop latency stays low.
MAX_UTILIZATION = 0.5
# A replaced instance is listed, marked as leaving and unlisted.
VIEW_CHANGES_PER_RESTART = 3
CONNECTIONS = 200
FAN_OUT = 8
PROGRAMS_PER_INSTANCE = 3
BYTES_PER_POLL = 404
POLLS_PER_SECOND = 2


class Slopes:
    """Fitted slopes by name and size."""

    def __init__(self, files: tuple[str, ...]) -> None:
        slopes = [slope for file in files for slope in json.loads(_read(file))]
        self.by_name = {
            (slope['name'], slope['size']): slope for slope in slopes
        }

    def cost_at(self, name: str, size: str, number: float) -> float:
        """Return the cost at a size, from the fitted line."""
        line = self.by_name[name, size]
        return line['fixed'] + line['slope'] * number

    def cost_per_unit(self, name: str, size: str) -> float:
        """Return the slope, the cost per unit of size."""
        return self.by_name[name, size]['slope']


@dataclass(frozen=True)
class Row:
    """One limit of the design with the figure computed for it."""

    requirement: str
    limit: str
    figure: str
    is_met: bool

    def __str__(self) -> str:
        verdict = 'carried' if self.is_met else 'not carried'
        return (
            f'| {self.requirement} | {self.limit} | {self.figure} | {verdict} |'
        )


def _read(file: str) -> str:
    return Path(file).read_text()


def instance_count(slopes: Slopes) -> float:
    """Return the number of proxies, one core each, needed for the calls."""
    call_us = slopes.cost_per_unit('calls of 1 KiB', 'call')
    return CALLS_PER_SECOND * call_us / 1e6 / MAX_UTILIZATION


def rows(slopes: Slopes) -> Iterator[Row]:
    """Return the figure for each limit and program."""
    count = instance_count(slopes)
    yield from _processor(slopes, count)
    yield from _memory(slopes, count)
    yield from _traffic(slopes, count)


def _processor(slopes: Slopes, count: float) -> Iterator[Row]:
    view_changes = RESTARTS_PER_SECOND * VIEW_CHANGES_PER_RESTART
    view_us = slopes.cost_at(
        'an instance from the feed applied', 'instance', count
    )
    homes_us = slopes.cost_at(
        'homes of 670 services after a joined instance', 'instance', count
    )
    routes_us = slopes.cost_at(
        'a change applied to the routes of a proxy', 'upstream', UPSTREAMS
    )
    fold_us = slopes.cost_at('a change read and folded', 'upstream', UPSTREAMS)
    encode_us = slopes.cost_at(
        'a change encoded for the feed', 'upstream', UPSTREAMS
    )
    costs_per_change = {
        'crocus-proxy': (routes_us, view_us + homes_us),
        'crocus-locator': (0, view_us + homes_us),
        'crocus-config': (fold_us + encode_us, 2 * view_us),
    }
    for program, (change_us, view_change_us) in costs_per_change.items():
        base_percent = slopes.cost_at(
            f'{program}, processor time', 'change a second', CHANGES_PER_SECOND
        )
        change_us_per_second = (
            CHANGES_PER_SECOND * change_us + view_changes * view_change_us
        )
        percent = base_percent + change_us_per_second / 1e4
        yield Row(
            f'{program}: control, share of a core',
            f'{MAX_CORE_PERCENT} %',
            f'{percent:.2f} %',
            percent <= MAX_CORE_PERCENT,
        )


def _memory(slopes: Slopes, count: float) -> Iterator[Row]:
    shared_bytes = slopes.cost_at('document in memory', 'upstream', UPSTREAMS)
    shared_bytes += slopes.cost_at('view in memory', 'instance', count)
    base_bytes = slopes.cost_at(
        'resident memory', 'connection of a caller', CONNECTIONS
    )
    routes_bytes = slopes.cost_at(
        'routes of a proxy in memory', 'upstream', UPSTREAMS
    )
    proxy_bytes = base_bytes + shared_bytes + routes_bytes
    claim_bytes = slopes.cost_per_unit('claims in memory', 'claim')
    yield Row(
        f'crocus-proxy: memory without claims, {CONNECTIONS} callers',
        '256 MB',
        f'{proxy_bytes / 1e6:.0f} MB',
        proxy_bytes <= MAX_MEMORY_BYTES,
    )
    claim_count = (MAX_MEMORY_BYTES - proxy_bytes) / claim_bytes
    yield Row(
        'crocus-proxy: claims that fit into the rest, kept for 1 h',
        'no limit given',
        f'{claim_count / 1e3:.0f} thousand, {claim_count / 3600:.0f} a second',
        is_met=True,
    )


def _traffic(slopes: Slopes, count: float) -> Iterator[Row]:
    for program in ('crocus-proxy', 'crocus-locator'):
        traffic = slopes.cost_at(
            f'{program}, bytes read and written',
            'change a second',
            CHANGES_PER_SECOND,
        )
        yield Row(
            f'{program}: control traffic, bytes a second',
            '5 KB',
            f'{traffic / 1e3:.1f} KB',
            traffic <= MAX_TRAFFIC_BYTES_PER_SECOND,
        )
    name = 'crocus-config, bytes read and written'
    own_traffic = slopes.cost_at(name, 'change a second', CHANGES_PER_SECOND)
    traffic_per_child = POLLS_PER_SECOND * BYTES_PER_POLL
    for role, children in (('leaf', 0), (f'parent of {FAN_OUT}', FAN_OUT)):
        traffic = own_traffic + children * traffic_per_child
        yield Row(
            f'crocus-config, {role}: control traffic, bytes a second',
            '5 KB',
            f'{traffic / 1e3:.1f} KB',
            traffic <= MAX_TRAFFIC_BYTES_PER_SECOND,
        )
    view_bytes = slopes.cost_at('whole view in the feed', 'instance', count)
    changes = RESTARTS_PER_SECOND * VIEW_CHANGES_PER_RESTART
    traffic = view_bytes * changes
    yield Row(
        'crocus-config, platform reader: instance list read whole',
        '5 KB',
        f'{traffic / 1e3:.1f} KB',
        traffic <= MAX_TRAFFIC_BYTES_PER_SECOND,
    )
    claim_bytes = slopes.cost_per_unit('record of claims', 'claim')
    yield Row(
        'crocus-proxy: claims of the whole site within the traffic limit',
        '5 KB',
        f'{MAX_TRAFFIC_BYTES_PER_SECOND / claim_bytes:.0f} claims a second',
        is_met=False,
    )


def main(*files: str) -> None:
    """Print the tables."""
    slopes = Slopes(files)
    count = instance_count(slopes)
    call_us = slopes.cost_per_unit('calls of 1 KiB', 'call')
    print(f'processor time of a call: {call_us:.0f} us')
    print(f'proxies at {MAX_UTILIZATION:.0%} of a core: {count:.0f}')
    print(f'calls a second and service: {CALLS_PER_SECOND / SERVICES:.0f}')
    homes = count / SERVICES
    print(f'homes of a service of average rate: {homes:.1f}')
    print('| what | limit | computed | verdict |')
    print('| --- ' * 4 + '|')
    for row in rows(slopes):
        print(row)


if __name__ == '__main__':
    fire.Fire(main)
