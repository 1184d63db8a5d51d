"""Probes of upstreams that this instance dispatches to.

Responses bring load reports for nothing. Rights to probe are therefore wanted
only while some upstream of an active service sends none.
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

#: How long a right is kept after the last moment at which it was of use.
_WANTED_FOR = timedelta(seconds=10)
_SETTINGS = ProbeSettings()


class Probing:
    """Plans probes from the schedulers and passes their reports on."""

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
        self.useful_at: dict[str, timedelta] = {}

    async def start(self) -> None:
        """Start to hold rights and to probe."""
        await self.renewer.start()
        await self.prober.start()

    async def stop(self) -> None:
        """Stop to probe; the rights run out by themselves."""
        await self.prober.stop()
        await self.renewer.stop()

    def apply_document(self, document: Document) -> None:
        """Apply the budgets of a newer configuration."""
        self.holder.configure(plans_of(document), self.holder.wanted)
        self.renewer.budgets_changed()
        self.probed_at = {
            key: at
            for key, at in self.probed_at.items()
            if key in document.upstreams
        }

    def plan(self) -> Iterable[Upstream]:
        """Return the upstreams to probe, the most useful of each service."""
        now = self.clock.monotonic()
        found = [
            upstream
            for service in self.core.dispatcher.schedulers
            for upstream in self._plan_service(service, now)
        ]
        self._want_rights(now)
        return found

    def report(
        self,
        upstream: Upstream,
        load: ReportedLoad,
        at: timedelta,
    ) -> None:
        """Pass on what a probe has found."""
        self.probed_at[upstream.key] = at
        scheduler = self.core.dispatcher.schedulers.get(upstream.service)
        if scheduler is not None:
            scheduler.report(
                upstream,
                LoadReport(load.in_flight, load.slots, load.queued, at),
            )

    def _plan_service(self, name: str, now: timedelta) -> list[Upstream]:
        scheduler = self.core.dispatcher.schedulers[name]
        used = scheduler.last_request_at
        if used is None or now - used > _SETTINGS.active_for:
            return []
        if self.core.forwarder.homes(scheduler.service):
            # Only a home's own choices gain from a probe.
            return []
        known = scheduler.known_loads(self.probed_at)
        planned = plan_probes(known, used, now, _SETTINGS)
        if planned:
            self.useful_at[name] = now
        by_key = {upstream.key: upstream for upstream in scheduler.upstreams}
        return [by_key[key] for key in planned]

    def _want_rights(self, now: timedelta) -> None:
        self.useful_at = {
            name: at
            for name, at in self.useful_at.items()
            if now - at <= _WANTED_FOR
        }
        if self.useful_at.keys() != self.holder.wanted.keys():
            wanted = dict.fromkeys(self.useful_at, 1)
            self.holder.configure(self.holder.plans, wanted)
