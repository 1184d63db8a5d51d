"""Metrics of ``crocus-proxy`` for ``/metrics`` and ``/v1/burn``."""

from datetime import datetime, timedelta

from prometheus_client import REGISTRY, CollectorRegistry, Counter, Histogram
from prometheus_client.core import GaugeMetricFamily, Metric

from ..burn.counter import BurnCounter
from ..clock import Clock
from ..config.model import Service
from ..protocol.burn import BurnReport
from ..routing.results import Result

_BUCKETS = (0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5)
_SERVER_ERROR = 500


class ProxyMetrics:
    """Counts finished requests and, in ``in_flight``, requests in progress."""

    def __init__(
        self,
        clock: Clock,
        instance: str,
        registry: CollectorRegistry = REGISTRY,
    ) -> None:
        self.clock = clock
        self.instance = instance
        self.started_at: datetime = clock.now()
        self.in_flight = 0
        self.burn: dict[str, BurnCounter] = {}
        self.requests = Counter(
            'crocus_proxy_requests',
            'Requests by service, outcome and error code.',
            ('service', 'outcome', 'code'),
            registry=registry,
        )
        self.latency = Histogram(
            'crocus_proxy_request_seconds',
            'Time from the request to its final response.',
            ('service',),
            buckets=_BUCKETS,
            registry=registry,
        )
        self.sends = Counter(
            'crocus_proxy_sends',
            'Requests written to upstreams, by service and end.',
            ('service', 'end'),
            registry=registry,
        )
        # Cached, because a lookup by labels costs more than the increment.
        self.counters: dict[tuple[str, str, str], Counter] = {}
        self.send_counters: dict[tuple[str, str], Counter] = {}
        self.histograms: dict[str, Histogram] = {}
        registry.register(self)

    def collect(self) -> list[Metric]:
        """Return the gauges with their values at the time of the scrape."""
        gauge = GaugeMetricFamily(
            'crocus_proxy_in_flight', 'Requests being served.'
        )
        gauge.add_metric((), self.in_flight)
        return [gauge]

    def record_finished(
        self,
        service: Service | None,
        outcome: str,
        code: str,
        latency: timedelta,
        status: int,
    ) -> None:
        """Count a finished request; ``code`` is empty without a refusal."""
        name = '' if service is None else service.name
        self._counter(name, outcome, code).inc()
        if service is None:
            return
        self._histogram(name).observe(latency.total_seconds())
        burn = self.burn.get(name)
        if burn is None:
            burn = BurnCounter(self.clock, service.objective.window)
            self.burn[name] = burn
        in_time = latency <= service.objective.within
        burn.record(not code and status < _SERVER_ERROR and in_time)

    def record_send(self, service: str, result: Result) -> None:
        """Count a request that was written to an upstream."""
        labels = (service, type(result).__name__.lower())
        counter = self.send_counters.get(labels)
        if counter is None:
            counter = self.sends.labels(*labels)
            self.send_counters[labels] = counter
        counter.inc()

    def burn_report(self) -> BurnReport:
        """Return the counts of good and bad requests per service."""
        return BurnReport(
            self.instance,
            self.started_at,
            {name: burn.counts() for name, burn in self.burn.items()},
        )

    def _counter(self, service: str, outcome: str, code: str) -> Counter:
        labels = (service, outcome, code)
        counter = self.counters.get(labels)
        if counter is None:
            counter = self.requests.labels(*labels)
            self.counters[labels] = counter
        return counter

    def _histogram(self, service: str) -> Histogram:
        histogram = self.histograms.get(service)
        if histogram is None:
            histogram = self.latency.labels(service)
            self.histograms[service] = histogram
        return histogram
