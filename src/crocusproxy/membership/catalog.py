"""The configuration and the upstreams that an instance knows."""

from collections.abc import Callable, Iterable
from contextlib import AbstractContextManager, nullcontext
from dataclasses import replace

from ..logs import log
from ..placement.upstream_terms import TermsTable
from ..protocol.home_feed import StatedTerms, UpstreamChange
from ..routes.model import RegisteredUpstream, RouteConfig
from .store_incarnation import StoreIncarnation

#: Receives all evacuated failure domains.
EvacuationListener = Callable[[frozenset[str]], None]
#: Encloses a step that may take long, with its name.
Step = Callable[[str], AbstractContextManager[object]]
#: Number of removed upstreams whose late reports are still recognized.
MAX_REMOVED_UPSTREAMS = 10_000


class Catalog:
    """The newest known configuration and list of upstreams.

    An older configuration never replaces a newer one. A report of an upstream
    that is older than a known one, by the upstream's start time and then by
    sequence number, is ignored, also after the upstream was removed. Listeners
    are called after each change. ``store_incarnation`` is that of the store
    from which the state was read. ``terms`` holds what the upstreams have
    stated. ``evacuated`` holds the failure domains whose upstreams get no new
    requests. ``revision`` grows with each report and change of terms.
    ``complete_config`` receives configurations that older builds passed on.
    ``step`` observes how long changes take.
    """

    def __init__(self) -> None:
        self.config: RouteConfig | None = None
        self.upstreams: dict[str, RegisteredUpstream] = {}
        self.removed_upstreams: dict[str, RegisteredUpstream] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.is_complete = False
        self.step: Step = nullcontext
        self.revision = 0
        self.store_incarnation = StoreIncarnation()
        self.terms = TermsTable()
        self.terms.on_change.append(self._note_terms)
        self.complete_config: Callable[[RouteConfig], None] | None = None
        self.on_evacuation: list[EvacuationListener] = []
        self.on_config: list[Callable[[RouteConfig], None]] = []
        self.on_complete: list[Callable[[], None]] = []
        self.on_upstream: list[Callable[[UpstreamChange], None]] = []

    def receive_config(self, config: RouteConfig) -> None:
        """Apply a configuration that another instance has passed on.

        An older build has dropped fields of it, so that it would end the
        authentication here. It is applied once ``complete_config`` has read it.
        """
        config = config.with_known_schema()
        if not self._is_newer(config):
            return
        if config.is_complete or self.complete_config is None:
            self.apply_config(config)
        else:
            self.complete_config(config)

    def apply_config(self, config: RouteConfig) -> None:
        """Apply a configuration if it is newer than the one in force.

        One of the same version is newer if fewer fields of it were dropped.
        """
        if not self._is_newer(config):
            return
        current = self.config
        self.config = config
        self.revision += 1
        log(
            'route_config_in_force',
            version=config.version,
            previous=current.version if current else None,
            routes=len(config.routes),
        )
        with self.step('configuration'):
            for listener in self.on_config:
                listener(config)

    def apply_evacuated(self, failure_domains: Iterable[str]) -> None:
        """Replace the set of evacuated failure domains."""
        evacuated = frozenset(failure_domains)
        previous = self.evacuated
        if evacuated == previous:
            return
        self.evacuated = evacuated
        self.revision += 1
        known = {entry.failure_domain for entry in self.upstreams.values()}
        log(
            'evacuation_changed',
            evacuated=sorted(evacuated),
            previous=sorted(previous),
            unknown=sorted(evacuated - known) if self.is_complete else [],
        )
        for listener in self.on_evacuation:
            listener(evacuated)

    def apply_list(self, entries: tuple[RegisteredUpstream, ...]) -> None:
        """Apply the full list of upstreams and remove all others."""
        listed_keys = {entry.key for entry in entries}
        with self.step('upstreams'):
            for key in tuple(self.upstreams):
                if key not in listed_keys:
                    self.apply_change(UpstreamChange(key))
            for entry in entries:
                self.apply_change(UpstreamChange(entry.key, entry))
            self.mark_complete()

    def mark_complete(self) -> None:
        """Mark the list of upstreams as complete.

        Followers remove the upstreams that a complete list does not contain.
        """
        if not self.is_complete:
            self.is_complete = True
            self.revision += 1
            for listener in self.on_complete:
                listener()

    def apply_change(
        self, change: UpstreamChange, *, is_notable: bool = False
    ) -> None:
        """Apply one change of the list.

        With ``is_notable``, a home has chosen it among the reports, so that the
        listeners are called whatever has changed.
        """
        current = self.upstreams.get(change.key)
        self.revision += 1
        if change.entry is None:
            if current is None:
                return
            self._remember_removed(self.upstreams.pop(change.key))
        else:
            if not self._is_current(change.entry):
                return
            self.upstreams[change.key] = change.entry
            self.removed_upstreams.pop(change.key, None)
        if (
            is_notable
            and current != change.entry
            or _is_notable(current, change.entry)
            or self._is_notable_warm_up(current, change.entry)
        ):
            _log_change(current, change)
            for listener in self.on_upstream:
                listener(change)

    def was_removed(self, change: UpstreamChange) -> bool:
        """Return whether an upstream was removed after this report of it."""
        removed = self.removed_upstreams.get(change.key)
        entry = change.entry
        if removed is None or entry is None:
            return False
        last_report = (removed.started_at, removed.sequence)
        return (entry.started_at, entry.sequence) <= last_report

    def _is_newer(self, config: RouteConfig) -> bool:
        current = self.config
        return current is None or (config.version, config.schema) > (
            current.version,
            current.schema,
        )

    def _is_notable_warm_up(
        self,
        before: RegisteredUpstream | None,
        after: RegisteredUpstream | None,
    ) -> bool:
        """Return whether an upstream turned cold or is warm again.

        Followers would otherwise miss that it is cold, or still report it as
        cold to new members when it is warm.
        """
        if before is None or after is None or self.config is None:
            return False
        is_colder = after.warm_up > before.warm_up
        is_warm_again = not after.warm_up and bool(before.warm_up)
        return (is_colder or is_warm_again) and any(
            service.warm_up_rate and service.name == after.service
            for service in self.config.services
        )

    def _note_terms(self, stated: StatedTerms, is_own: bool) -> None:
        self.revision += 1

    def _remember_removed(self, entry: RegisteredUpstream) -> None:
        self.removed_upstreams.pop(entry.key, None)
        self.removed_upstreams[entry.key] = entry
        while len(self.removed_upstreams) > MAX_REMOVED_UPSTREAMS:
            self.removed_upstreams.pop(next(iter(self.removed_upstreams)))

    def _is_current(self, entry: RegisteredUpstream) -> bool:
        known = self.upstreams.get(entry.key) or self.removed_upstreams.get(
            entry.key
        )
        if known is None:
            return True
        known_report = (known.started_at, known.sequence)
        return (entry.started_at, entry.sequence) >= known_report


def _is_notable(
    before: RegisteredUpstream | None, after: RegisteredUpstream | None
) -> bool:
    """Return whether more than ``sequence`` and ``warm_up`` differs.

    Both can change with each report; a report without other changes is not
    sent to all instances.
    """
    if before is None or after is None:
        return before is not after
    expected = replace(before, sequence=after.sequence, warm_up=after.warm_up)
    return expected != after


def _log_change(
    before: RegisteredUpstream | None, change: UpstreamChange
) -> None:
    entry = change.entry or before
    assert entry is not None
    state = 'leaving' if entry.leaving else 'ready'
    log(
        'upstream_changed',
        upstream=change.key,
        service=entry.service,
        address=entry.address,
        state=state if change.entry else 'gone',
        sequence=entry.sequence,
        started_at=entry.started_at,
    )
