"""Connects the gauges of an entry instance with its components."""

from collections.abc import Mapping

from ..membership.home_elector import HomeElector
from ..placement.placer import ServicePlacer
from ..placement.upstream_reach import UpstreamReach
from .gateway import Gateway
from .metrics import EntryMetrics
from .placement_metrics import PlacementCollector


def add_gauges(
    metrics: EntryMetrics,
    gateway: Gateway,
    placers: Mapping[str, ServicePlacer],
    elector: HomeElector,
    reach: UpstreamReach,
) -> None:
    """Register the gauges, which read the components at each scrape."""
    catalog = elector.catalog
    metrics.add_gauges(
        in_flight=lambda: gateway.in_flight,
        queued=lambda: sum(len(placer.queue) for placer in placers.values()),
        config_version=lambda: catalog.config.version if catalog.config else 0,
        epoch=lambda: elector.epoch,
        limited_upstreams=lambda: sum(
            placer.limited_count() for placer in placers.values()
        ),
        unreached_upstreams=lambda: len(reach.unreached()),
        evacuated_domains=lambda: len(catalog.evacuated),
        cold_upstreams=lambda: sum(
            placer.cold_count() for placer in placers.values()
        ),
    )
    budget = gateway.input_budget
    metrics.add_input_gauges(
        lambda: budget.held_bytes, lambda: budget.ended_count
    )
    metrics.registry.register(PlacementCollector(placers))
