"""The claim table: which claim holds each key, as a function of the stream.

All times that decide are times of records, set by the log service, so every
reader of the same records reaches the same result whatever its own clock.
"""

import heapq
from dataclasses import replace
from datetime import datetime, timedelta, timezone
from enum import Enum

from .records import RECORD_VERSION, Batch, Claim, Completion, Void
from .results import ClaimState

_LONG_AGO = datetime.min.replace(tzinfo=timezone.utc)


class ClaimVerdict(Enum):
    """What became of a claim when its record was read."""

    first = 'first'
    late = 'late'
    voided = 'voided'


class ClaimTable:
    """Folds the records of stream ``claims`` in offset order.

    ``horizon`` is the longest time from a claim's record to its expiry that
    any writer allows, apart from ``clock_bound``.
    """

    def __init__(self, horizon: timedelta, clock_bound: timedelta) -> None:
        self.horizon = horizon
        self.clock_bound = clock_bound
        self.next = 0
        self.stream_time = _LONG_AGO
        # Records up to this time may be missing; None while none is.
        self.missing_until: datetime | None = None
        # Set until the first record after a gap shows when the gap ended.
        self.gap_open = False
        self.holders: dict[str, ClaimState] = {}
        self.verdicts: dict[str, ClaimVerdict] = {}
        self.expiring: list[tuple[datetime, str, str]] = []

    def skip_to(self, first: int) -> None:
        """Note that the records before ``first`` can no longer be read."""
        if first > self.next:
            self.next = first
            self.gap_open = True

    def apply(self, offset: int, time: datetime, batch: Batch | None) -> None:
        """Apply the record at ``offset``; one that was applied has no effect.

        ``batch`` is None for a record that is no batch at all.
        """
        if offset < self.next:
            return
        self.skip_to(offset)
        self.next = offset + 1
        self._advance(time)
        if batch is None:
            return
        if batch.version > RECORD_VERSION:
            self._miss_until(time)
            return
        for claim in batch.claims:
            self._claim(claim)
        for void in batch.voids:
            self._void(void)
        for completion in batch.completions:
            self._complete(completion)

    def holder(self, key: str) -> ClaimState | None:
        """Return the claim that holds ``key``, as far as the stream is read."""
        return self.holders.get(key)

    def is_complete_for(self, expiry: datetime) -> bool:
        """Tell whether every claim with this expiry read so far is known.

        It is not after a gap that may have held such a claim, and not once
        such claims have been dropped.
        """
        if self.gap_open or self._is_past(expiry):
            return False
        if self.missing_until is None:
            return True
        return expiry > self.missing_until + self.horizon + self.clock_bound

    def _advance(self, time: datetime) -> None:
        self.stream_time = max(self.stream_time, time)
        if self.gap_open:
            self._miss_until(time)
            self.gap_open = False
        while self.expiring and self._is_past(self.expiring[0][0]):
            _, nonce, key = heapq.heappop(self.expiring)
            self.verdicts.pop(nonce, None)
            holder = self.holders.get(key)
            if holder and holder.nonce == nonce:
                self.holders.pop(key)

    def _miss_until(self, time: datetime) -> None:
        self.missing_until = max(self.missing_until or time, time)

    def _is_past(self, expiry: datetime) -> bool:
        return expiry + self.clock_bound <= self.stream_time

    def _claim(self, claim: Claim) -> None:
        # The first record of a nonce decides it; a repeated append has no
        # effect, and a claim that was not first never becomes valid.
        if claim.nonce in self.verdicts or self._is_past(claim.expiry):
            return
        if claim.key in self.holders:
            self._decide(claim, ClaimVerdict.late)
            return
        self._decide(claim, ClaimVerdict.first)
        self.holders[claim.key] = ClaimState(
            claim.nonce, claim.digest, claim.expiry
        )

    def _void(self, void: Void) -> None:
        if self._is_past(void.expiry):
            return
        holder = self.holders.get(void.key)
        if holder and holder.nonce == void.nonce:
            if holder.status is not None:
                return
            self.holders.pop(void.key)
        # Kept even if the claim is unknown: a delayed append may still come.
        self._decide(void, ClaimVerdict.voided)

    def _complete(self, completion: Completion) -> None:
        holder = self.holders.get(completion.key)
        if holder and holder.nonce == completion.nonce:
            self.holders[completion.key] = replace(
                holder, status=completion.status
            )

    def _decide(self, entry: Claim | Void, verdict: ClaimVerdict) -> None:
        if entry.nonce not in self.verdicts:
            heapq.heappush(
                self.expiring, (entry.expiry, entry.nonce, entry.key)
            )
        self.verdicts[entry.nonce] = verdict
