"""Counters and histograms of an entry instance."""

from collections.abc import Callable

from prometheus_client import (
    REGISTRY,
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
)

from .call_results import CallResult, outcome_of

_BUCKET_SECONDS = (0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5)


class EntryMetrics:
    """Metrics of one process; tests pass a separate ``registry``."""

    def __init__(self, registry: CollectorRegistry = REGISTRY) -> None:
        self.calls = Counter(
            'crocus_entry_calls',
            'Calls of upstreams by outcome.',
            ('service', 'outcome'),
            registry=registry,
        )
        self.call_seconds = Histogram(
            'crocus_entry_call_seconds',
            'Time from sending a request until its call ended.',
            ('service',),
            buckets=_BUCKET_SECONDS,
            registry=registry,
        )
        self.refusals = Counter(
            'crocus_entry_refusals',
            'Answers of the system in place of an upstream, by code.',
            ('code',),
            registry=registry,
        )
        self.probes = Counter(
            'crocus_entry_probes',
            'Upstreams that were asked for their load.',
            registry=registry,
        )
        self.limited_sends = Counter(
            'crocus_entry_limited_sends',
            'Requests and probes sent to upstreams that state a rate limit.',
            ('kind',),
            registry=registry,
        )
        self.registry = registry

    def count_call(
        self, service: str, result: CallResult, seconds: float
    ) -> None:
        """Count a call of an upstream and observe its duration."""
        self.calls.labels(service, outcome_of(result)).inc()
        self.call_seconds.labels(service).observe(seconds)

    def count_limited_send(self, kind: str) -> None:
        """Count a request or a probe sent to a rate-limited upstream."""
        self.limited_sends.labels(kind).inc()

    def count_refusal(self, code: str) -> None:
        """Count a refusal."""
        self.refusals.labels(code).inc()

    def add_gauges(
        self,
        in_flight: Callable[[], float],
        queued: Callable[[], float],
        config_version: Callable[[], float],
        epoch: Callable[[], float],
        limited_upstreams: Callable[[], float],
        unreached_upstreams: Callable[[], float],
        evacuated_domains: Callable[[], float],
        cold_upstreams: Callable[[], float],
    ) -> None:
        """Register gauges that call these functions at each scrape."""
        registry = self.registry
        Gauge(
            'crocus_entry_in_flight',
            'Requests being served.',
            registry=registry,
        ).set_function(in_flight)
        Gauge(
            'crocus_entry_queued',
            'Requests waiting for an upstream.',
            registry=registry,
        ).set_function(queued)
        Gauge(
            'crocus_entry_config_version',
            'Version of the configuration in force.',
            registry=registry,
        ).set_function(config_version)
        Gauge(
            'crocus_entry_home_epoch',
            'How often the home has changed.',
            registry=registry,
        ).set_function(epoch)
        Gauge(
            'crocus_entry_limited_upstreams',
            'Upstreams that state a rate limit.',
            registry=registry,
        ).set_function(limited_upstreams)
        Gauge(
            'crocus_entry_unreached_upstreams',
            'Upstreams that this instance could not connect to lately.',
            registry=registry,
        ).set_function(unreached_upstreams)
        Gauge(
            'crocus_entry_evacuated_domains',
            'Evacuated failure domains.',
            registry=registry,
        ).set_function(evacuated_domains)
        Gauge(
            'crocus_entry_cold_upstreams',
            'Cold upstreams with a limited rate.',
            registry=registry,
        ).set_function(cold_upstreams)
