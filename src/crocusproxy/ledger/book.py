"""Claims of one process from request to verdict, without any I/O.

The ledger passes in the times, the outcomes of appends and the records read.
"""

from dataclasses import dataclass
from datetime import datetime, timedelta

from ..clock import Clock
from .fold import ClaimsFold, Verdict
from .records import Batch, Claim, Completion, Void
from .results import (
    AlreadyClaimed,
    Claimed,
    ClaimResult,
    ClaimUnavailable,
    LedgerSettings,
)


@dataclass(slots=True)
class OwnClaim:
    """A claim of this process.

    ``deadline`` is on the monotonic clock. ``sent`` is set once an append may
    have written it; ``result`` once it is decided.
    """

    claim: Claim
    deadline: timedelta
    sent: bool = False
    result: ClaimResult | None = None


class ClaimBook:
    """Owns the fold and the claims, voids and completions of one process."""

    def __init__(self, settings: LedgerSettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.fold = ClaimsFold(settings.horizon, settings.clock_bound)
        self.own: dict[str, OwnClaim] = {}
        # Entries that are not known to be in the stream, by nonce.
        self.claims: dict[str, Claim] = {}
        self.voids: dict[str, Void] = {}
        self.completions: dict[str, tuple[Completion, datetime]] = {}

    def request(self, claim: Claim, deadline: timedelta) -> ClaimResult | None:
        """Start a claim; None means that it waits for its record."""
        result = self._refusal(claim)
        if result is None:
            self.own[claim.nonce] = OwnClaim(claim, deadline)
            self.claims[claim.nonce] = claim
        return result

    def next_batch(self) -> Batch | None:
        """Return what the next append writes; None if there is nothing.

        Entries stay until ``appended`` confirms them or they are settled, so
        a repeated append writes the same nonces again.
        """
        self._drop_expired()
        limit = self.settings.batch_limit
        batch = Batch(
            claims=tuple(self.claims.values())[:limit],
            voids=tuple(self.voids.values())[:limit],
            completions=tuple(
                completion for completion, _ in self.completions.values()
            )[:limit],
        )
        if batch == Batch():
            return None
        return batch

    def sending(self, batch: Batch) -> None:
        """Note that an append of the batch is about to be sent."""
        for claim in batch.claims:
            own = self.own.get(claim.nonce)
            if own:
                own.sent = True

    def appended(self, batch: Batch) -> None:
        """Note that the batch is in the stream."""
        for claim in batch.claims:
            self.claims.pop(claim.nonce, None)
        for void in batch.voids:
            self.voids.pop(void.nonce, None)
        for completion in batch.completions:
            self.completions.pop(completion.nonce, None)

    def read(
        self, offset: int, time: datetime, batch: Batch | None
    ) -> tuple[OwnClaim, ...]:
        """Apply a record; return the own claims that it decides."""
        if offset < self.fold.next:
            return ()
        self.fold.apply(offset, time, batch)
        if batch is None:
            return ()
        self.appended(batch)
        decided = tuple(
            self.own[claim.nonce]
            for claim in batch.claims
            if self._is_open(claim.nonce)
        )
        for own in decided:
            self._decide(own)
        return decided

    def give_up(self, nonce: str, reason: str) -> OwnClaim | None:
        """Abandon a claim, whatever became of its record.

        It never becomes dispatchable, and its key is released as soon as the
        platform accepts the void.
        """
        own = self.own.pop(nonce, None)
        if own is None:
            return None
        own.result = ClaimUnavailable(reason)
        self.claims.pop(nonce, None)
        if own.sent:
            claim = own.claim
            self.voids[nonce] = Void(nonce, claim.key, claim.expiry)
        return own

    def complete(self, nonce: str, status: int) -> None:
        """Record that the request of a confirmed claim ran."""
        own = self.own.pop(nonce, None)
        if own:
            completion = Completion(nonce, own.claim.key, status)
            self.completions[nonce] = (completion, own.claim.expiry)

    def may_dispatch(self, nonce: str) -> bool:
        """Tell whether the request of a claim may be sent at this moment."""
        own = self.own.get(nonce)
        if own is None or not isinstance(own.result, Claimed):
            return False
        return (
            self.fold.verdicts.get(nonce) is Verdict.first
            and self.clock.monotonic() < own.deadline
            and self.clock.now() < own.claim.expiry
        )

    def _refusal(self, claim: Claim) -> ClaimResult | None:
        now = self.clock.now()
        if claim.expiry <= now:
            return ClaimUnavailable('expired')
        if claim.expiry > now + self.settings.horizon:
            return ClaimUnavailable('expiry_too_far')
        holder = self.fold.holder(claim.key)
        if holder:
            return AlreadyClaimed(holder)
        if len(self.claims) >= self.settings.pending_limit:
            return ClaimUnavailable('overloaded')
        return None

    def _is_open(self, nonce: str) -> bool:
        own = self.own.get(nonce)
        return own is not None and own.result is None

    def _decide(self, own: OwnClaim) -> None:
        nonce = own.claim.nonce
        verdict = self.fold.verdicts.get(nonce)
        holder = self.fold.holder(own.claim.key)
        if verdict is Verdict.late and holder:
            own.result = AlreadyClaimed(holder)
            self.own.pop(nonce)
            return
        reason = self._doubt(own, verdict)
        if reason:
            self.give_up(nonce, reason)
            return
        own.result = Claimed(nonce)

    def _doubt(self, own: OwnClaim, verdict: Verdict | None) -> str:
        if verdict is not Verdict.first:
            return 'expired'
        if not self.fold.is_complete_for(own.claim.expiry):
            return 'records_missing'
        if self.clock.monotonic() >= own.deadline:
            return 'deadline_passed'
        return ''

    def _drop_expired(self) -> None:
        now = self.clock.now() - 2 * self.settings.clock_bound
        for nonce, void in tuple(self.voids.items()):
            if void.expiry <= now:
                self.voids.pop(nonce)
        for nonce, (_, expiry) in tuple(self.completions.items()):
            if expiry <= now:
                self.completions.pop(nonce)
