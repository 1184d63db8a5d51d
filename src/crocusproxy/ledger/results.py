"""Results of claims, and the settings of the ledger."""

from datetime import datetime, timedelta

from pydantic.dataclasses import dataclass

from ..durations import Duration
from ..settings import STRICT


@dataclass(frozen=True, slots=True)
class ClaimState:
    """State of a claim; ``status`` is None until a completion."""

    nonce: str
    digest: str
    expiry: datetime
    status: int | None = None


@dataclass(frozen=True, slots=True)
class Claimed:
    """The claim is the first for its key; ``nonce`` identifies it."""

    nonce: str


@dataclass(frozen=True, slots=True)
class AlreadyClaimed:
    """An earlier claim holds the key, possibly with another digest."""

    state: ClaimState


@dataclass(frozen=True, slots=True)
class ClaimUnavailable:
    """The claim was not confirmed; it never becomes dispatchable.

    ``reason`` is one of ``platform_unavailable``, ``append_rejected``,
    ``deadline_passed``, ``records_missing``, ``expired``, ``expiry_too_far``,
    ``overloaded`` and ``stopped``.
    """

    reason: str


ClaimResult = Claimed | AlreadyClaimed | ClaimUnavailable


@dataclass(frozen=True, slots=True, config=STRICT)
class LedgerSettings:
    """Limits of the ledger.

    ``retention`` is how long the platform keeps records. ``horizon`` is how
    far in the future an expiry may lie; it must be shorter than the retention.
    ``clock_bound`` is the assumed difference between any instance's clock and
    the log service's clock. ``append_interval`` is the shortest mean time
    between two appends of one instance; a burst of ``append_burst`` appends is
    not delayed. ``claim_limit`` is how long a claim waits if its request has no
    deadline, ``flush_limit`` how long a stop waits for the last append.
    ``batch_limit`` is the largest number of entries of each kind in an append,
    ``pending_limit`` that of unconfirmed claims.
    """

    retention: Duration = timedelta(hours=24)
    horizon: Duration = timedelta(hours=1)
    clock_bound: Duration = timedelta(seconds=5)
    # Six homes, the instances that dispatch requests, then make at most 300
    # appends per second on average.
    append_interval: Duration = timedelta(milliseconds=20)
    append_burst: int = 5
    claim_limit: Duration = timedelta(seconds=2)
    flush_limit: Duration = timedelta(seconds=2)
    batch_limit: int = 500
    pending_limit: int = 10_000

    def __post_init__(self) -> None:
        """Check the limits against each other.

        Raises:
            ValueError: claims would outlive their records.
        """
        if self.horizon + 4 * self.clock_bound > self.retention:
            # The message is reported as the expected value of a ``Fault``.
            raise ValueError('horizon + 4 * clock_bound within the retention')

    @property
    def marker_interval(self) -> timedelta:
        """Return the time without records after which a marker is appended.

        Markers keep the oldest retained record older than the horizon, which
        shows a new reader that no unexpired claim is missing.
        """
        return (self.retention - self.horizon) / 4
