"""Time after an outage of the store in which removals may be mistaken.

The store removes an upstream after three heartbeats without a report, also if
the store itself could not be reached. Such an upstream registers again when the
store is back. A reader that has lost only its own path to the store must not
delay removals: the upstreams' reports in the records show that the store was
reachable meanwhile.
"""

from datetime import timedelta

from ..clock import Clock
from ..logs import log

#: Upstreams whose entries expired in an outage report again within this time.
RECOVERY_GRACE = timedelta(milliseconds=2200)
#: An outage that is shorter than this many heartbeats removes no live upstream:
#: up to one has passed before it, and heartbeats can be late.
MIN_SILENT_HEARTBEATS = 1.5
#: With at least this share of the expected reports, the store was reachable.
#: Those just before and after the shortest outage in which a live upstream can
#: be removed make about two thirds.
REACHABLE_REPORT_SHARE = 0.75


class RecoveryGrace:
    """Decides whether removals from the store's list are delayed.

    ``heartbeat`` is the usual time between two reports of an upstream.
    ``read_at`` is the time of the latest successful read, None before the first
    one; ``started_at`` is the start of the latest grace period.
    """

    def __init__(self, clock: Clock, heartbeat: timedelta) -> None:
        self.clock = clock
        self.heartbeat = heartbeat
        self.read_at: timedelta | None = None
        self.started_at: timedelta | None = None

    @property
    def is_active(self) -> bool:
        """Return whether a removal may belong to a live upstream."""
        return (
            self.started_at is not None
            and self.clock.monotonic() - self.started_at < RECOVERY_GRACE
        )

    def start(self) -> None:
        """Start a grace period, as after a restore of the store."""
        self.started_at = self.clock.monotonic()

    def record_read(
        self, report_count: int, upstream_count: int, *, follows_failure: bool
    ) -> None:
        """Start a grace period if the store may have been unreachable.

        ``report_count`` is the number of reports since the previous read, and
        ``upstream_count`` that of the upstreams which were known before.
        Nothing is known of the time before the first read, so for that one a
        failure just before is enough.
        """
        now = self.clock.monotonic()
        previous = self.read_at
        self.read_at = now
        if previous is None:
            if follows_failure:
                self.start()
            return
        gap = now - previous
        if gap < MIN_SILENT_HEARTBEATS * self.heartbeat:
            return
        expected_count = upstream_count * (gap / self.heartbeat)
        if report_count >= REACHABLE_REPORT_SHARE * expected_count:
            return
        log(
            'removals_delayed',
            seconds=gap.total_seconds(),
            reports=report_count,
            expected=round(expected_count),
        )
        self.start()
