"""Claims of one process from request to verdict, without any I/O.

The ledger passes in the times, the outcomes of appends and the records read.
"""

from dataclasses import dataclass
from datetime import datetime, timedelta

from ..clock import Clock
from .claim_table import ClaimTable, ClaimVerdict
from .records import Batch, Claim, Completion, Void
from .results import (
    AlreadyClaimed,
    Claimed,
    ClaimResult,
    ClaimUnavailable,
    LedgerSettings,
)

_CLEANUP_INTERVAL = timedelta(seconds=1)


@dataclass(slots=True)
class OwnClaim:
    """A claim of this process.

    ``deadline`` is on the monotonic clock. ``maybe_written`` is set while an
    append may have written the claim, ``result`` once the claim is decided.
    """

    claim: Claim
    deadline: timedelta
    maybe_written: bool = False
    result: ClaimResult | None = None


class ClaimRegistry:
    """Owns the table and the claims, voids and completions of one process."""

    def __init__(self, settings: LedgerSettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.table = ClaimTable(settings.horizon, settings.clock_bound)
        self.own_claims: dict[str, OwnClaim] = {}
        # Entries by nonce, until a response or a read confirms their append.
        self.unconfirmed_claims: dict[str, Claim] = {}
        self.unconfirmed_voids: dict[str, Void] = {}
        # Completions are stored with the expiry of their claim.
        self.unconfirmed_completions: dict[
            str, tuple[Completion, datetime]
        ] = {}
        # Whether to append a time marker, which is a batch without entries.
        self.marker_due = False
        self.last_read = clock.monotonic()
        self.last_cleanup = clock.monotonic()

    def start_claim(
        self, claim: Claim, deadline: timedelta, *, platform_down: bool = False
    ) -> ClaimResult | None:
        """Start a claim; return its result, or None if it must be appended.

        The result of an appended claim is set once its record has been read.
        ``platform_down`` is set if the platform is known not to respond.
        """
        result = self._rejection(claim, deadline)
        if result is None and platform_down:
            result = ClaimUnavailable('platform_unavailable')
        if result is None:
            self.own_claims[claim.nonce] = OwnClaim(claim, deadline)
            self.unconfirmed_claims[claim.nonce] = claim
        return result

    def next_batch(self, *, retry: bool = False) -> Batch | None:
        """Return the batch of the next append; None if there is none.

        Entries stay until ``remove_entries`` drops them or they are given
        up, so a retried append writes the same nonces again. With ``retry``,
        only claims that an earlier append may have written are included.
        """
        self._remove_expired()
        limit = self.settings.batch_limit
        claims = tuple(
            claim
            for nonce, claim in self.unconfirmed_claims.items()
            if self.own_claims[nonce].maybe_written or not retry
        )
        batch = Batch(
            claims=claims[:limit],
            voids=tuple(self.unconfirmed_voids.values())[:limit],
            completions=tuple(
                completion
                for completion, _ in self.unconfirmed_completions.values()
            )[:limit],
        )
        if batch == Batch() and not self.marker_due:
            return None
        return batch

    def mark_sending(self, batch: Batch) -> tuple[OwnClaim, ...]:
        """Note that the batch is about to be sent.

        Return the claims that no earlier append can have written.
        """
        first_sends = tuple(
            self.own_claims[claim.nonce]
            for claim in batch.claims
            if not self.own_claims[claim.nonce].maybe_written
        )
        for own_claim in first_sends:
            own_claim.maybe_written = True
        return first_sends

    def mark_not_written(self, first_sends: tuple[OwnClaim, ...]) -> None:
        """Note that the append of these claims definitely had no effect."""
        for own_claim in first_sends:
            own_claim.maybe_written = False
            # A claim given up during the append needs no void.
            self.unconfirmed_voids.pop(own_claim.claim.nonce, None)

    def unwritten_nonces(self) -> tuple[str, ...]:
        """Return the nonces of claims that no append can have written."""
        return tuple(
            nonce
            for nonce in self.unconfirmed_claims
            if not self.own_claims[nonce].maybe_written
        )

    def remove_entries(self, batch: Batch) -> None:
        """Stop appending the entries of a batch.

        They are in the stream or were rejected.
        """
        for claim in batch.claims:
            self.unconfirmed_claims.pop(claim.nonce, None)
        for void in batch.voids:
            self.unconfirmed_voids.pop(void.nonce, None)
        for completion in batch.completions:
            self.unconfirmed_completions.pop(completion.nonce, None)
        self.marker_due = False

    def is_settled(self, batch: Batch) -> bool:
        """Return whether every entry of the batch was read or given up."""
        return (
            all(
                claim.nonce not in self.unconfirmed_claims
                for claim in batch.claims
            )
            and all(
                void.nonce not in self.unconfirmed_voids for void in batch.voids
            )
            and all(
                completion.nonce not in self.unconfirmed_completions
                for completion in batch.completions
            )
        )

    def apply_record(
        self, offset: int, time: datetime, batch: Batch | None
    ) -> tuple[OwnClaim, ...]:
        """Apply a record; return this process's claims that it decides."""
        if offset < self.table.next_offset:
            return ()
        self.last_read = self.clock.monotonic()
        self.table.apply(offset, time, batch)
        if batch is None:
            return ()
        self.remove_entries(batch)
        decided = tuple(
            self.own_claims[claim.nonce]
            for claim in batch.claims
            if self._is_undecided(claim.nonce)
        )
        for own_claim in decided:
            self._decide(own_claim)
        return decided

    def give_up(self, nonce: str, reason: str) -> OwnClaim | None:
        """Abandon a claim, whether or not its record was written.

        It never becomes dispatchable, and its key is released as soon as the
        platform accepts the void.
        """
        own_claim = self.own_claims.pop(nonce, None)
        if own_claim is None:
            return None
        own_claim.result = ClaimUnavailable(reason)
        self.unconfirmed_claims.pop(nonce, None)
        if own_claim.maybe_written:
            claim = own_claim.claim
            self.unconfirmed_voids[nonce] = Void(nonce, claim.key, claim.expiry)
        return own_claim

    def complete(self, nonce: str, status: int) -> None:
        """Record that the request of a confirmed claim ran."""
        own_claim = self.own_claims.get(nonce)
        if own_claim is None or not isinstance(own_claim.result, Claimed):
            return
        self.own_claims.pop(nonce)
        completion = Completion(nonce, own_claim.claim.key, status)
        self.unconfirmed_completions[nonce] = (
            completion,
            own_claim.claim.expiry,
        )

    def may_dispatch(self, nonce: str) -> bool:
        """Return whether the request of a claim may be sent now."""
        own_claim = self.own_claims.get(nonce)
        if own_claim is None or not isinstance(own_claim.result, Claimed):
            return False
        return (
            self.table.verdicts.get(nonce) is ClaimVerdict.first
            and self.clock.monotonic() < own_claim.deadline
            and self.clock.now() < own_claim.claim.expiry
        )

    def is_stream_idle(self, interval: timedelta) -> bool:
        """Return whether no record was read for ``interval``."""
        return self.clock.monotonic() - self.last_read >= interval

    def _rejection(
        self, claim: Claim, deadline: timedelta
    ) -> ClaimResult | None:
        holder = self.table.holder(claim.key)
        if holder:
            return AlreadyClaimed(holder)
        now = self.clock.now()
        checks = {
            'expired': claim.expiry <= now,
            'expiry_too_far': claim.expiry > now + self.settings.horizon,
            'deadline_passed': deadline <= self.clock.monotonic(),
            'overloaded': len(self.unconfirmed_claims)
            >= self.settings.pending_limit,
        }
        reasons = (reason for reason, applies in checks.items() if applies)
        reason = next(reasons, None)
        return ClaimUnavailable(reason) if reason else None

    def _is_undecided(self, nonce: str) -> bool:
        own_claim = self.own_claims.get(nonce)
        return own_claim is not None and own_claim.result is None

    def _decide(self, own_claim: OwnClaim) -> None:
        nonce = own_claim.claim.nonce
        verdict = self.table.verdicts.get(nonce)
        holder = self.table.holder(own_claim.claim.key)
        if verdict is ClaimVerdict.late and holder:
            own_claim.result = AlreadyClaimed(holder)
            self.own_claims.pop(nonce)
            return
        reason = self._failure_reason(own_claim, verdict)
        if reason:
            self.give_up(nonce, reason)
            return
        own_claim.result = Claimed(nonce)

    def _failure_reason(
        self, own_claim: OwnClaim, verdict: ClaimVerdict | None
    ) -> str:
        if verdict is not ClaimVerdict.first:
            return 'expired'
        if not self.table.is_complete_for(own_claim.claim.expiry):
            return 'records_missing'
        if self.clock.monotonic() >= own_claim.deadline:
            return 'deadline_passed'
        return ''

    def _remove_expired(self) -> None:
        now = self.clock.monotonic()
        if now - self.last_cleanup < _CLEANUP_INTERVAL:
            return
        self.last_cleanup = now
        # The log service's clock may be behind by one clock bound, and readers
        # keep a claim for another one after its expiry.
        expiry_cutoff = self.clock.now() - 2 * self.settings.clock_bound
        for nonce, void in tuple(self.unconfirmed_voids.items()):
            if void.expiry <= expiry_cutoff:
                self.unconfirmed_voids.pop(nonce)
        for nonce, (_, expiry) in tuple(self.unconfirmed_completions.items()):
            if expiry <= expiry_cutoff:
                self.unconfirmed_completions.pop(nonce)
        for nonce, own_claim in tuple(self.own_claims.items()):
            if own_claim.result and own_claim.claim.expiry <= expiry_cutoff:
                self.own_claims.pop(nonce)
