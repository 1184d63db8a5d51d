"""The upstreams of one service, and which of them may be used."""

from collections.abc import Callable
from math import inf

from ..clock import Clock
from ..routes.model import RegisteredUpstream
from .concurrency import ServiceConcurrency
from .upstream_index import UpstreamIndex
from .upstream_state import UpstreamState
from .upstream_terms import TermsTable
from .warm_up import HANDOVER_SECONDS

#: Returns whether this instance dispatches to a failure domain's upstreams.
Ownership = Callable[[str], bool]


class UpstreamSet:
    """States of the upstreams, in ``states`` by key and in ``index`` by cost.

    ``failure_domain`` is that of this instance. ``took_over_at`` is when this
    instance last began to dispatch to upstreams of another one, in monotonic
    seconds.
    """

    def __init__(
        self,
        failure_domain: str,
        clock: Clock,
        concurrency: ServiceConcurrency,
        terms_table: TermsTable,
    ) -> None:
        self.failure_domain = failure_domain
        self.clock = clock
        self.concurrency = concurrency
        self.terms_table = terms_table
        self.states: dict[str, UpstreamState] = {}
        self.index = UpstreamIndex(self.states)
        self.owns: Ownership = _owns_all
        self.is_exclusive = True
        self.evacuated: frozenset[str] = frozenset()
        self.took_over_at = -inf

    def now(self) -> float:
        """Return the monotonic time in seconds."""
        return self.clock.monotonic().total_seconds()

    def put(self, entry: RegisteredUpstream) -> None:
        """Add an upstream, or replace its registered entry."""
        state = self.states.get(entry.key)
        if state is not None and _is_same_incarnation(state.entry, entry):
            state.entry = entry
        else:
            if state is not None:
                state.is_removed = True
            state = self._create(entry)
            self.states[entry.key] = state
        state.load_effect = self.concurrency.effect(entry.slots)
        state.is_owned = self.owns(entry.failure_domain)
        state.is_exclusive = self.is_exclusive
        state.is_evacuated = entry.failure_domain in self.evacuated
        warm_up = entry.warm_up.total_seconds()
        state.warm_up_until = self.now() + warm_up if warm_up else -inf

    def remove(self, key: str) -> None:
        """Remove an upstream; its requests in flight continue."""
        state = self.states.pop(key, None)
        if state is not None:
            state.is_removed = True

    def set_ownership(self, owns: Ownership) -> None:
        """Use only the upstreams of the failure domains that ``owns`` names.

        Requests in flight at other upstreams continue.
        """
        self.owns = owns
        for state in self.states.values():
            was_owned = state.is_owned
            state.is_owned = owns(state.entry.failure_domain)
            if state.is_owned and not was_owned:
                self._take_over(state)

    def set_exclusive(self, *, is_exclusive: bool) -> None:
        """Set whether no other instance dispatches to the owned upstreams.

        Otherwise rate-limited and cold upstreams get no requests from this
        instance.
        """
        is_taking_over = is_exclusive and not self.is_exclusive
        self.is_exclusive = is_exclusive
        for state in self.states.values():
            state.is_exclusive = is_exclusive
            if is_taking_over:
                self._take_over(state)

    def apply_evacuated(self, failure_domains: frozenset[str]) -> None:
        """Use no upstreams of these failure domains.

        Requests in flight there continue. The failures of upstreams that
        return to service are forgotten: they may have been restarted.
        """
        self.evacuated = failure_domains
        for state in self.states.values():
            is_evacuated = state.entry.failure_domain in failure_domains
            if state.is_evacuated and not is_evacuated:
                state.forget_failures()
                state.terms.warm_up.assume_cold(self.now())
            state.is_evacuated = is_evacuated

    def end_backoffs(self) -> None:
        """Forget the failures of the upstreams in a row."""
        for state in self.states.values():
            state.end_backoff()

    def limited_count(self) -> int:
        """Return the number of upstreams that state a rate limit."""
        return sum(
            state.rate_limit is not None for state in self.states.values()
        )

    def cold_count(self) -> int:
        """Return the number of cold upstreams with a limited rate."""
        return sum(state.is_cold for state in self.states.values())

    def _create(self, entry: RegisteredUpstream) -> UpstreamState:
        is_remote = entry.failure_domain != self.failure_domain
        state = UpstreamState(
            entry,
            is_remote,
            self.concurrency.effect(entry.slots),
            terms=self.terms_table.terms(entry),
            now=self.now,
        )
        state.terms.warm_up.hand_over(self.took_over_at + HANDOVER_SECONDS)
        self.index.add(state)
        return state

    def _take_over(self, state: UpstreamState) -> None:
        """Begin to dispatch to an upstream of another instance."""
        self.took_over_at = self.now()
        state.terms.warm_up.hand_over(self.took_over_at + HANDOVER_SECONDS)


def _owns_all(failure_domain: str) -> bool:
    """Dispatch to all upstreams, as without domain homes."""
    return True


def _is_same_incarnation(
    one: RegisteredUpstream, other: RegisteredUpstream
) -> bool:
    return (one.started_at, one.address) == (other.started_at, other.address)
