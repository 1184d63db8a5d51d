"""Which upstreams this instance can connect to.

An instance that is cut off from the upstreams sees each of them fail. It must
not take that for as many faults of upstreams: other instances may reach them.
"""

from collections.abc import Callable
from dataclasses import dataclass
from math import inf

from ..clock import Clock
from ..logs import log
from ..protocol.home_feed import UpstreamChange
from ..routes.model import RegisteredUpstream

#: Number of upstreams whose failure since the latest new connection that worked
#: is unlikely to be their own.
MIN_UNREACHED = 3
#: With this share of all upstreams unreached, other instances are asked even if
#: connections to the rest work.
PARTIAL_SHARE = 0.25
#: A failure is forgotten if the upstream was not tried again for this time.
FAILURE_MEMORY_SECONDS = 5.0
#: Shortest time between two log lines about the loss of upstreams.
LOG_INTERVAL_SECONDS = 1.0
MAX_LOGGED_KEYS = 8


@dataclass(slots=True)
class _Failures:
    """Monotonic seconds of the first and latest failure since a success."""

    first_at: float
    latest_at: float


class UpstreamReach:
    """Records the connections of this instance to upstreams, by their keys.

    ``connected_at`` is when a new connection last worked, ``heard_at`` when any
    response last arrived, both in monotonic seconds. ``silent_since`` is set
    while several upstreams have failed and none has responded since; one or two
    may have crashed, even if there are no others. ``on_silence`` listeners are
    called when it is set, ``on_end_of_silence`` listeners at the next response.
    ``addresses`` holds the upstreams in service: those of ``evacuated`` failure
    domains may be shut down, which is no loss.
    """

    def __init__(
        self,
        clock: Clock,
        write: Callable[..., None] = log,
        paused_seconds: Callable[[], float] = float,
    ) -> None:
        self.paused_seconds = paused_seconds
        self.paused_before = float()
        self.clock = clock
        self.write = write
        self.entries: dict[str, RegisteredUpstream] = {}
        self.evacuated: frozenset[str] = frozenset()
        self.addresses: dict[str, str] = {}
        self.failures: dict[str, _Failures] = {}
        self.connected_at = -inf
        self.heard_at = -inf
        self.silent_since: float | None = None
        self.is_doubt_logged = False
        self.logged_at = -inf
        self.on_silence: list[Callable[[], None]] = []
        self.on_end_of_silence: list[Callable[[], None]] = []

    def apply_change(self, change: UpstreamChange) -> None:
        """Apply a change of the list of upstreams."""
        if change.entry is None:
            self.entries.pop(change.key, None)
            self._forget(change.key)
        else:
            self.entries[change.key] = change.entry
            self._update_address(change.entry)

    def apply_evacuated(self, failure_domains: frozenset[str]) -> None:
        """Replace the set of evacuated failure domains."""
        self.evacuated = failure_domains
        for entry in self.entries.values():
            self._update_address(entry)
        if not self.failures:
            self._end_silence()

    def is_evacuated_address(self, address: str) -> bool:
        """Return whether an evacuated upstream has this address."""
        return bool(self.evacuated) and any(
            entry.address == address and entry.failure_domain in self.evacuated
            for entry in self.entries.values()
        )

    def responded(self, key: str, *, is_new_connection: bool) -> None:
        """Record that an upstream has responded."""
        now = self._now()
        self.heard_at = now
        self._end_silence()
        if is_new_connection:
            self.connected_at = now
            self.failures.pop(key, None)
        if self.is_doubt_logged and not self.is_doubtful():
            self._log('upstreams_reached_again', now)
            self.is_doubt_logged = False

    def failed(self, key: str) -> None:
        """Record that no response came over a new connection."""
        if key not in self.addresses:
            return
        now = self._now()
        failures = self.failures.setdefault(key, _Failures(now, now))
        failures.latest_at = now
        if (
            self.silent_since is None
            and self._failed_since(self.heard_at) >= MIN_UNREACHED
        ):
            self.silent_since = now
            self.paused_before = self.paused_seconds()
            for listener in self.on_silence:
                listener()
        if not self.is_doubt_logged and self.is_doubtful():
            if now - self.logged_at >= LOG_INTERVAL_SECONDS:
                self.is_doubt_logged = True
                self.logged_at = now
                self._log('upstreams_unreached', now)

    def failed_at(self, address: str) -> None:
        """Record that the upstream at an address accepts no connection."""
        for key, known_address in self.addresses.items():
            if known_address == address:
                self.failed(key)

    def unreached(self) -> tuple[str, ...]:
        """Return the keys of the upstreams that failed lately."""
        oldest = self._now() - FAILURE_MEMORY_SECONDS
        for key, failures in tuple(self.failures.items()):
            if failures.latest_at < oldest:
                self.failures.pop(key)
        return tuple(self.failures)

    def unreached_if_doubtful(self) -> tuple[str, ...]:
        """Return the unreached upstreams if this instance may be cut off."""
        return self.unreached() if self.is_doubtful() else ()

    def silent_seconds(self) -> float:
        """Return for how long upstreams have failed and none has responded.

        It is zero if none was tried lately, as they may be back. Pauses of this
        process are left out: it has heard none in them.
        """
        if self.silent_since is None or not self.unreached():
            return 0
        paused = self.paused_seconds() - self.paused_before
        return self._now() - self.silent_since - paused

    def is_doubtful(self) -> bool:
        """Return whether this instance may be cut off from upstreams.

        Only other instances can tell whether it is, or the upstreams are down.
        Its connections to them may still work while new ones fail.
        """
        unreached_count = len(self.unreached())
        is_partly_lost = unreached_count >= max(
            MIN_UNREACHED, PARTIAL_SHARE * len(self.addresses)
        )
        if is_partly_lost:
            return True
        enough = max(1, min(MIN_UNREACHED, len(self.addresses)))
        return self._failed_since(self.connected_at) >= enough

    def _update_address(self, entry: RegisteredUpstream) -> None:
        if entry.failure_domain in self.evacuated:
            self._forget(entry.key)
        else:
            self.addresses[entry.key] = entry.address

    def _forget(self, key: str) -> None:
        self.addresses.pop(key, None)
        self.failures.pop(key, None)

    def _end_silence(self) -> None:
        if self.silent_since is not None:
            self.silent_since = None
            for listener in self.on_end_of_silence:
                listener()

    def _failed_since(self, moment: float) -> int:
        return sum(
            failures.latest_at > moment for failures in self.failures.values()
        )

    def _log(self, event: str, now: float) -> None:
        first_failures = [one.first_at for one in self.failures.values()]
        self.write(
            event,
            unreached=len(self.failures),
            known=len(self.addresses),
            upstreams=','.join(list(self.failures)[:MAX_LOGGED_KEYS]),
            since_seconds=round(now - min(first_failures, default=now), 2),
            heard_seconds_ago=(
                None if self.heard_at == -inf else round(now - self.heard_at, 2)
            ),
        )

    def _now(self) -> float:
        return self.clock.monotonic().total_seconds()
