"""Gauges of the placers, one sample for each service."""

from collections.abc import Iterable, Mapping

from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

from ..placement.placer import ServicePlacer


class PlacementCollector(Collector):
    """Reads the placers, by service, at each scrape."""

    def __init__(self, placers: Mapping[str, ServicePlacer]) -> None:
        self.placers = placers

    def collect(self) -> Iterable[GaugeMetricFamily]:
        """Return the gauges."""
        limits = GaugeMetricFamily(
            'crocus_entry_concurrency_limit',
            'Learnt limit of requests in flight per upstream.',
            labels=('service',),
        )
        for service, placer in tuple(self.placers.items()):
            limits.add_metric((service,), placer.concurrency.limit())
        return (limits,)
