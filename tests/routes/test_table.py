"""Guards against requests that are routed to a wrong service."""

from collections import Counter
from datetime import timedelta

from hypothesis import given
from hypothesis import strategies as st

from crocusproxy.routes.model import Route, RouteConfig, WeightedService
from crocusproxy.routes.table import RouteTable, TrafficSplit


def route(name, host, prefix, weighted_services=(WeightedService('s', 1),)):
    return Route(
        name,
        host,
        prefix,
        idempotent=True,
        timeout=timedelta(seconds=1),
        target_latency=timedelta(milliseconds=100),
        attempts=2,
        priority=1,
        parts=weighted_services,
    )


def table(*routes):
    return RouteTable(RouteConfig(1, routes, ()))


def test_longest_prefix_of_the_host_matches():
    short = route('short', 'a.example', '/x/')
    long = route('long', 'a.example', '/x/y/')
    routes = table(short, long)
    assert routes.find('a.example', '/x/y/z?q=/x/') == long
    assert routes.find('a.example', '/x/yz') == short
    assert routes.find('A.example:8080', '/x/') == short


def test_prefix_matches_whole_segments_and_not_the_query():
    routes = table(route('one', 'a.example', '/x/'))
    assert routes.find('a.example', '/xy') is None
    assert routes.find('a.example', '/x') is None
    assert routes.find('a.example', '/q?p=/x/') is None
    assert routes.find('b.example', '/x/') is None


@given(st.lists(st.integers(0, 20), min_size=1, max_size=5).filter(sum))
def test_split_is_exact_in_each_cycle(weights):
    """A random choice would deviate over a window of 200 requests."""
    weighted_services = tuple(
        WeightedService(f's{index}', weight)
        for index, weight in enumerate(weights)
    )
    split = TrafficSplit(weighted_services)
    counts = Counter(split.next_service() for _ in range(2 * sum(weights)))
    assert all(
        counts[weighted.service] == 2 * weighted.weight
        for weighted in weighted_services
    )


def test_split_without_weights_gives_equal_shares():
    """All requests went to the first service."""
    split = TrafficSplit((WeightedService('a', 0), WeightedService('b', 0)))
    assert Counter(split.next_service() for _ in range(10)) == {'a': 5, 'b': 5}
