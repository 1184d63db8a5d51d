"""Counters and histograms of an entry instance."""

from collections.abc import Callable
from typing import Literal

from prometheus_client import (
    REGISTRY,
    CollectorRegistry,
    Counter,
    Gauge,
    Histogram,
)

from ..accounts.directory import (
    Anonymous,
    Authenticated,
    Identity,
    Rejected,
)
from ..placement.hedging import NotSent
from .call_results import CallResult, outcome_of
from .connection_end import ConnectionEnd

#: A hedge is abandoned if the caller disconnects.
HedgeOutcome = Literal['won', 'lost', 'abandoned']
QuotaResult = Literal['admitted', 'over_quota']

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
        self.open_requests = Counter(
            'crocus_entry_open_requests',
            'Requests that were open when their connection ended.',
            ('cause', 'stage'),
            registry=registry,
        )
        self.unread_ends = Counter(
            'crocus_entry_unread_ends',
            'Connections that were ended while the kernel held unread input.',
            ('cause',),
            registry=registry,
        )
        self.unused_ends = Counter(
            'crocus_entry_unused_ends',
            'Unused connections that were ended as callers had too many.',
            registry=registry,
        )
        self.refused_connections = Counter(
            'crocus_entry_refused_connections',
            'Connections that were closed at once as callers had too many.',
            registry=registry,
        )
        self.authentications = Counter(
            'crocus_entry_authentications',
            'Requests by the result of their authentication.',
            ('result',),
            registry=registry,
        )
        self.quota_decisions = Counter(
            'crocus_entry_quota_decisions',
            'Requests of accounts with a quota, by the result.',
            ('result',),
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
        self.hedges = Counter(
            'crocus_entry_hedges',
            'Hedges that were sent, by outcome.',
            ('service', 'outcome'),
            registry=registry,
        )
        self.hedges_not_sent = Counter(
            'crocus_entry_hedges_not_sent',
            'Requests that took long without a hedge, by reason.',
            ('service', 'reason'),
            registry=registry,
        )
        self.superseded_seconds = Counter(
            'crocus_entry_superseded_seconds',
            'Time of attempts that were cancelled for another response.',
            ('service',),
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

    def count_hedge(self, service: str, outcome: HedgeOutcome) -> None:
        """Count a hedge that was sent."""
        self.hedges.labels(service, outcome).inc()

    def count_unsent_hedge(self, service: str, reason: NotSent) -> None:
        """Count a request that took long and has no hedge."""
        self.hedges_not_sent.labels(service, reason).inc()

    def count_superseded(self, service: str, seconds: float) -> None:
        """Count the time of an attempt that was cancelled."""
        self.superseded_seconds.labels(service).inc(seconds)

    def count_refusal(self, code: str) -> None:
        """Count a refusal."""
        self.refusals.labels(code).inc()

    def count_open_requests(self, end: ConnectionEnd) -> None:
        """Count the requests that were open when a connection ended."""
        for request in end.requests:
            self.open_requests.labels(end.cause, request.stage).inc()
        if end.unread_bytes:
            self.unread_ends.labels(end.cause).inc()

    def count_unused_ends(self, connections: int) -> None:
        """Count unused connections that were ended."""
        self.unused_ends.inc(connections)

    def count_refused_connection(self) -> None:
        """Count a connection that was closed at once."""
        self.refused_connections.inc()

    def count_authentication(
        self, identity: Identity | Rejected | None
    ) -> None:
        """Count a request, unless there are no client accounts."""
        match identity:
            case Authenticated():
                self.authentications.labels('accepted').inc()
            case Anonymous():
                self.authentications.labels('anonymous').inc()
            case Rejected():
                self.authentications.labels('rejected').inc()

    def count_quota_decision(self, result: QuotaResult) -> None:
        """Count a request that was admitted or is over its quota."""
        self.quota_decisions.labels(result).inc()

    def add_completion_gauge(self, is_incomplete: Callable[[], float]) -> None:
        """Register the gauge of configurations passed on by older builds."""
        Gauge(
            'crocus_entry_config_incomplete',
            'Whether the configuration lacks fields that older builds drop.',
            registry=self.registry,
        ).set_function(is_incomplete)

    def add_quota_gauge(self, indebted_accounts: Callable[[], float]) -> None:
        """Register the gauge of accounts in debt."""
        Gauge(
            'crocus_entry_indebted_accounts',
            'Client accounts that have taken more tokens than they had.',
            registry=self.registry,
        ).set_function(indebted_accounts)

    def add_input_gauges(
        self, held_bytes: Callable[[], float], drops: Callable[[], float]
    ) -> None:
        """Register the gauges of what callers have sent."""
        Gauge(
            'crocus_entry_input_bytes',
            'Memory of large input of callers that was not served yet.',
            registry=self.registry,
        ).set_function(held_bytes)
        Gauge(
            'crocus_entry_input_drops',
            'Connections whose input was dropped since the start.',
            registry=self.registry,
        ).set_function(drops)

    def add_gauges(
        self,
        *,
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
