"""Load probes of the upstreams to which this instance dispatches.

A right is a lease that lets one process probe a service at a limited rate.
Load reports in responses cost nothing, so rights are requested only while an
upstream of an active service sends no reports.
"""

from collections.abc import Iterable
from datetime import timedelta

from ..clock import Clock
from ..config.model import Document, Upstream
from ..measurement.budget import plans_of
from ..measurement.load_report import ReportedLoad
from ..measurement.planning import ProbeSettings, plan_probes
from ..measurement.prober import Prober
from ..measurement.renewer import RightsRenewer
from ..measurement.rights import RightsHolder
from ..routing.results import LoadReport
from .core import ProxyCore

#: How long a right is kept after the last plan that needed it.
_RIGHT_RETENTION = timedelta(seconds=10)
_SETTINGS = ProbeSettings()


class ProbeController:
    """Plans the probes of all services and applies their load reports.

    ``probed_at`` maps an upstream key to the monotonic time of its last probe.
    ``needed_at`` maps a service to that of the last plan that contained a probe
    of it.
    """

    def __init__(
        self,
        core: ProxyCore,
        holder: RightsHolder,
        renewer: RightsRenewer,
        clock: Clock,
    ) -> None:
        self.core = core
        self.holder = holder
        self.renewer = renewer
        self.clock = clock
        self.prober = Prober(holder, clock, self.plan, self.report)
        self.probed_at: dict[str, timedelta] = {}
        self.needed_at: dict[str, timedelta] = {}

    async def start(self) -> None:
        """Start the renewal of rights and the probes."""
        await self.renewer.start()
        await self.prober.start()

    async def stop(self) -> None:
        """Stop the probes; the rights expire by themselves."""
        await self.prober.stop()
        await self.renewer.stop()

    def apply_document(self, document: Document) -> None:
        """Apply the probe budgets of a newer configuration."""
        self.holder.configure(plans_of(document), self.holder.target_counts)
        self.renewer.budgets_changed()
        self.probed_at = {
            key: at
            for key, at in self.probed_at.items()
            if key in document.upstreams
        }

    def plan(self) -> Iterable[Upstream]:
        """Return the upstreams to probe and request the rights for them."""
        now = self.clock.monotonic()
        planned_upstreams = [
            upstream
            for service in self.core.dispatcher.schedulers
            for upstream in self._plan_service(service, now)
        ]
        self._request_rights(now)
        return planned_upstreams

    def report(
        self,
        upstream: Upstream,
        load: ReportedLoad,
        at: timedelta,
    ) -> None:
        """Apply the load report of a probe."""
        self.probed_at[upstream.key] = at
        scheduler = self.core.dispatcher.schedulers.get(upstream.service)
        if scheduler is not None:
            scheduler.report(
                upstream,
                LoadReport(load.in_flight, load.slots, load.queued, at),
            )

    def _plan_service(self, name: str, now: timedelta) -> list[Upstream]:
        scheduler = self.core.dispatcher.schedulers[name]
        last_request_at = scheduler.last_request_at
        if (
            last_request_at is None
            or now - last_request_at > _SETTINGS.active_for
        ):
            return []
        if self.core.forwarder.homes(scheduler.service):
            # Only homes choose upstreams, so only they need load reports.
            return []
        known = scheduler.known_loads(self.probed_at)
        planned = plan_probes(known, last_request_at, now, _SETTINGS)
        if planned:
            self.needed_at[name] = now
        upstreams_by_key = {
            upstream.key: upstream for upstream in scheduler.upstreams
        }
        return [upstreams_by_key[key] for key in planned]

    def _request_rights(self, now: timedelta) -> None:
        self.needed_at = {
            name: at
            for name, at in self.needed_at.items()
            if now - at <= _RIGHT_RETENTION
        }
        if self.needed_at.keys() != self.holder.target_counts.keys():
            target_counts = dict.fromkeys(self.needed_at, 1)
            self.holder.configure(self.holder.plans, target_counts)
