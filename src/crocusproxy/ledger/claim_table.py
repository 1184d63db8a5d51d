"""The claim table: the claim that holds each key, as a function of the stream.

All decisions use the times of the records, which the log service sets, so every
reader of the same records gets the same result whatever its own clock.
"""

import heapq
from dataclasses import replace
from datetime import datetime, timedelta, timezone
from enum import Enum

from .records import RECORD_VERSION, Batch, Claim, Completion, Void
from .results import ClaimState

_MIN_TIME = datetime.min.replace(tzinfo=timezone.utc)


class ClaimVerdict(Enum):
    """Outcome of a claim when its record was read.

    ``first`` holds the key; ``late`` was read while another claim held it.
    ``voided`` was given up by its owner.
    """

    first = 'first'
    late = 'late'
    voided = 'voided'


class ClaimTable:
    """Applies the records of stream ``claims`` in offset order.

    A writer appends only claims that expire within ``horizon`` by its own
    clock, which differs from the log service's by at most ``clock_bound``.
    """

    def __init__(self, horizon: timedelta, clock_bound: timedelta) -> None:
        self.horizon = horizon
        self.clock_bound = clock_bound
        self.next_offset = 0
        self.stream_time = _MIN_TIME
        # Records up to this time may be missing; None if all were read.
        self.missing_until: datetime | None = None
        # Set until the first record after a gap shows when the gap ended.
        self.gap_open = False
        self.holders: dict[str, ClaimState] = {}
        self.verdicts: dict[str, ClaimVerdict] = {}
        # Heap of the expiry, nonce and key of each verdict.
        self.expiring: list[tuple[datetime, str, str]] = []

    def skip_to(self, first: int) -> None:
        """Note that records before ``first`` can no longer be read."""
        if first > self.next_offset:
            self.next_offset = first
            self.gap_open = True

    def apply(self, offset: int, time: datetime, batch: Batch | None) -> None:
        """Apply the record at ``offset`` unless it was applied before.

        ``batch`` is None for a malformed record.
        """
        if offset < self.next_offset:
            return
        self.skip_to(offset)
        self.next_offset = offset + 1
        self._advance(time)
        if batch is None:
            return
        if batch.version > RECORD_VERSION:
            self._extend_missing(time)
            return
        for claim in batch.claims:
            self._apply_claim(claim)
        for void in batch.voids:
            self._apply_void(void)
        for completion in batch.completions:
            self._apply_completion(completion)

    def holder(self, key: str) -> ClaimState | None:
        """Return the claim that holds ``key`` after the records read so far."""
        return self.holders.get(key)

    def is_complete_for(self, expiry: datetime) -> bool:
        """Return whether the table has every claim with this expiry so far.

        False after a gap that may have contained such a claim, and once claims
        with this expiry have been removed.
        """
        if self.gap_open or self._is_expired(expiry):
            return False
        if self.missing_until is None:
            return True
        return expiry > self.missing_until + self.horizon + self.clock_bound

    def _advance(self, time: datetime) -> None:
        self.stream_time = max(self.stream_time, time)
        if self.gap_open:
            self._extend_missing(time)
            self.gap_open = False
        while self.expiring and self._is_expired(self.expiring[0][0]):
            _, nonce, key = heapq.heappop(self.expiring)
            self.verdicts.pop(nonce, None)
            holder = self.holders.get(key)
            if holder and holder.nonce == nonce:
                self.holders.pop(key)

    def _extend_missing(self, time: datetime) -> None:
        self.missing_until = max(self.missing_until or time, time)

    def _is_expired(self, expiry: datetime) -> bool:
        return expiry + self.clock_bound <= self.stream_time

    def _apply_claim(self, claim: Claim) -> None:
        # The first record of a nonce decides; a repeated append has no
        # effect, and a claim that was not first never becomes valid.
        if claim.nonce in self.verdicts or self._is_expired(claim.expiry):
            return
        if claim.key in self.holders:
            self._set_verdict(claim, ClaimVerdict.late)
            return
        self._set_verdict(claim, ClaimVerdict.first)
        self.holders[claim.key] = ClaimState(
            claim.nonce, claim.digest, claim.expiry
        )

    def _apply_void(self, void: Void) -> None:
        if self._is_expired(void.expiry):
            return
        holder = self.holders.get(void.key)
        if holder and holder.nonce == void.nonce:
            if holder.status is not None:
                return
            self.holders.pop(void.key)
        # Kept even if the claim is unknown: its append may be delayed.
        self._set_verdict(void, ClaimVerdict.voided)

    def _apply_completion(self, completion: Completion) -> None:
        holder = self.holders.get(completion.key)
        if holder and holder.nonce == completion.nonce:
            self.holders[completion.key] = replace(
                holder, status=completion.status
            )

    def _set_verdict(self, entry: Claim | Void, verdict: ClaimVerdict) -> None:
        if entry.nonce not in self.verdicts:
            heapq.heappush(
                self.expiring, (entry.expiry, entry.nonce, entry.key)
            )
        self.verdicts[entry.nonce] = verdict
