"""The components of a proxy, wired together without ports or feeds."""

from random import Random

from ..clock import Clock
from ..config.model import Document, Service, Upstream
from ..ledger.ledger import Ledger
from ..logs import log
from ..membership.view import InstanceView
from ..protocol.drains import DrainNotice
from ..routing.balancer import Balancer
from .claims import claim_horizon
from .crashes import CrashWatch
from .dispatch import Dispatcher
from .drains import DrainBroadcaster
from .forward import Forwarder
from .frontend import Frontend
from .inbound import InboundReader
from .metrics import ProxyMetrics
from .pool import ConnectionPool
from .service import ServiceScheduler
from .settings import ProxySettings


class ProxyCore:
    """Serves requests by the latest configuration and instance view."""

    def __init__(
        self,
        settings: ProxySettings,
        clock: Clock,
        random: Random,
        metrics: ProxyMetrics,
        ledger: Ledger | None = None,
    ) -> None:
        limits = settings.limits
        self.settings = settings
        self.clock = clock
        self.random = random
        self.metrics = metrics
        self.document = Document()
        self.view = InstanceView()
        self.pool = ConnectionPool(
            limits.connect_timeout, limits.idle_connection
        )
        self.crash_watch = CrashWatch(clock)
        self.pool.on_crash = self.crash_watch.report_crash
        self.reader = InboundReader(
            limits, claim_horizon(settings.platform.retention), random
        )
        self.forwarder = Forwarder(self.pool, clock, limits, settings.instance)
        self.dispatcher = Dispatcher(
            self.pool, clock, limits, self.crash_watch, metrics, ledger
        )
        self.drain_broadcaster = DrainBroadcaster(
            self.dispatcher.schedulers, clock
        )
        self.frontend = Frontend(
            self.reader,
            self.forwarder,
            self.dispatcher,
            metrics,
            clock,
            log_answered=settings.log_answered,
        )

    def apply_document(self, document: Document) -> None:
        """Apply a newer configuration."""
        schedulers = self.dispatcher.schedulers
        for name, service in document.services.items():
            if self._is_unchanged(name, document):
                continue
            upstreams = document.upstreams_of(name)
            if name not in schedulers:
                schedulers[name] = self._new_scheduler(service, upstreams)
            schedulers[name].update(service, upstreams)
        for removed_name in schedulers.keys() - document.services.keys():
            schedulers.pop(removed_name)
        self.crash_watch.document = document
        self.reader.services = document.services
        self.document = document
        log('configuration_applied', generation=document.generation)

    def apply_view(self, view: InstanceView) -> None:
        """Apply a newer instance view."""
        changed = view.leaving_upstreams ^ self.view.leaving_upstreams
        self.view = view
        self.forwarder.update(view)
        self.drain_broadcaster.update(
            view.instances, self.settings.instance.name
        )
        services = {key.partition('/')[0] for key in changed}
        for service in sorted(services):
            scheduler = self.dispatcher.schedulers.get(service)
            if scheduler is not None:
                scheduler.drain(view.leaving_upstreams)

    def _is_unchanged(self, name: str, document: Document) -> bool:
        """Return whether a service and its upstreams are already applied.

        Identity suffices: a document made by edits shares the unchanged
        objects with its predecessor.
        """
        applied = self.document
        return document.services[name] is applied.services.get(
            name
        ) and document.table.group(name) is applied.table.group(name)

    def _new_scheduler(
        self, service: Service, upstreams: tuple[Upstream, ...]
    ) -> ServiceScheduler:
        balancer = Balancer(
            service,
            upstreams,
            self.settings.instance.failure_domain,
            self.clock,
            self.random,
        )
        # The balancer sends suspects, which are requests that were in flight
        # during a crash, to different upstreams, so that the next crash
        # identifies the request that causes it.
        balancer.suspects = self.crash_watch.tracker
        per_caller = self.settings.limits.queued_per_caller
        scheduler = ServiceScheduler(service, balancer, self.clock, per_caller)
        scheduler.leaving_upstreams = self.view.leaving_upstreams
        scheduler.on_drain = self._on_drain
        return scheduler

    def _on_drain(self, upstream: Upstream) -> None:
        self.drain_broadcaster.on_notice(
            DrainNotice(upstream.service, upstream.address)
        )
