"""Reading of warm-ups from the configuration and the list of upstreams."""

from collections.abc import Callable

from ..clock import Clock
from ..logs import log
from ..membership.catalog import Catalog
from ..placement.warm_up import WarmUp, WarmUpTolerance
from ..protocol.home_feed import UpstreamChange
from ..routes.model import RegisteredUpstream, RouteConfig, ServiceSettings


class WarmUpWatch:
    """Keeps the warm-ups in the terms of ``catalog`` up to date.

    ``services`` holds those whose cold upstreams tolerate a limited rate.
    """

    def __init__(
        self,
        catalog: Catalog,
        clock: Clock,
        write: Callable[..., None] = log,
        tolerance: WarmUpTolerance = WarmUpTolerance(),
    ) -> None:
        self.catalog = catalog
        self.clock = clock
        self.write = write
        self.tolerance = tolerance
        self.services: dict[str, ServiceSettings] = {}
        catalog.on_config.append(self.apply_config)
        catalog.on_upstream.append(self.apply_change)

    def apply_config(self, config: RouteConfig) -> None:
        """Apply changed settings to the upstreams of their services."""
        services = {
            service.name: service
            for service in config.services
            if service.warm_up_rate
        }
        changed = {
            name
            for name in services.keys() | self.services.keys()
            if services.get(name) != self.services.get(name)
        }
        self.services = services
        if not changed:
            return
        for entry in self.catalog.upstreams.values():
            if entry.service in changed:
                self._configure(entry)

    def apply_change(self, change: UpstreamChange) -> None:
        """Apply the start of an upstream and the warm-up in its entry."""
        entry = change.entry
        if entry is None:
            return
        warm_up = self._configure(entry)
        now = self._now()
        warm_up.list_first(now, is_serving=self.catalog.is_complete)
        if warm_up.apply_stated(entry.warm_up.total_seconds(), now):
            self.write(
                'upstream_cold',
                upstream=entry.key,
                seconds=round(warm_up.known_until() - now, 2),
                rate=warm_up.rate,
                source='entry',
            )

    def _configure(self, entry: RegisteredUpstream) -> WarmUp:
        warm_up = self.catalog.terms.terms(entry).warm_up
        settings = self.services.get(entry.service)
        if settings is not None:
            seconds = settings.warm_up.total_seconds()
            rate = self.tolerance.limit(settings.warm_up_rate)
            burst = self.tolerance.burst()
            warm_up.configure(rate, seconds, self._now(), burst)
        elif warm_up.rate:
            warm_up.configure(0, 0, self._now())
        return warm_up

    def _now(self) -> float:
        return self.clock.monotonic().total_seconds()
