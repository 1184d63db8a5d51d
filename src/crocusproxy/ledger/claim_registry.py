"""Claims of one process from request to verdict, without any I/O.

The ledger passes in the times, the outcomes of appends and the records read.
"""

from collections import Counter
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

_CLEAN_UP_INTERVAL = timedelta(seconds=1)


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


class ClaimRegistry:
    """Owns the table and the claims, voids and completions of one process."""

    def __init__(self, settings: LedgerSettings, clock: Clock) -> None:
        self.settings = settings
        self.clock = clock
        self.table = ClaimTable(settings.horizon, settings.clock_bound)
        self.own: dict[str, OwnClaim] = {}
        self.own_keys: Counter[str] = Counter()
        # Entries that are not known to be in the stream, by nonce.
        self.claims: dict[str, Claim] = {}
        self.voids: dict[str, Void] = {}
        self.completions: dict[str, tuple[Completion, datetime]] = {}
        self.mark_due = False
        self.last_read = clock.monotonic()
        self.last_clean_up = clock.monotonic()

    def request(
        self, claim: Claim, deadline: timedelta, *, down: bool = False
    ) -> ClaimResult | None:
        """Start a claim; None means that it waits for its record.

        ``down`` tells that the platform is known not to answer.
        """
        result = self._refusal(claim, deadline)
        if result is None and down:
            result = ClaimUnavailable('platform_unavailable')
        if result is None:
            self.own[claim.nonce] = OwnClaim(claim, deadline)
            self.own_keys[claim.key] += 1
            self.claims[claim.nonce] = claim
        return result

    def next_batch(self, *, retry: bool = False) -> Batch | None:
        """Return what the next append writes; None if there is nothing.

        Entries stay until ``appended`` confirms them or they are given up, so
        a repeated append writes the same nonces again. With ``retry``, only
        claims that an earlier append may have written are included.
        """
        self._clean_up()
        limit = self.settings.batch_limit
        claims = tuple(
            claim
            for nonce, claim in self.claims.items()
            if self.own[nonce].sent or not retry
        )
        batch = Batch(
            claims=claims[:limit],
            voids=tuple(self.voids.values())[:limit],
            completions=tuple(
                completion for completion, _ in self.completions.values()
            )[:limit],
        )
        if batch == Batch() and not self.mark_due:
            return None
        return batch

    def sending(self, batch: Batch) -> tuple[OwnClaim, ...]:
        """Note that the batch is about to be sent.

        Return the claims that no earlier append may have written.
        """
        newly_sent = tuple(
            self.own[claim.nonce]
            for claim in batch.claims
            if not self.own[claim.nonce].sent
        )
        for own in newly_sent:
            own.sent = True
        return newly_sent

    def not_sent(self, newly_sent: tuple[OwnClaim, ...]) -> None:
        """Note that the append of these claims certainly had no effect."""
        for own in newly_sent:
            own.sent = False
            # Given up while the append was running: nothing is left to void.
            self.voids.pop(own.claim.nonce, None)

    def unsent(self) -> tuple[str, ...]:
        """Return the nonces of claims that no append can have written."""
        return tuple(nonce for nonce in self.claims if not self.own[nonce].sent)

    def appended(self, batch: Batch) -> None:
        """Note that the batch is in the stream."""
        for claim in batch.claims:
            self.claims.pop(claim.nonce, None)
        for void in batch.voids:
            self.voids.pop(void.nonce, None)
        for completion in batch.completions:
            self.completions.pop(completion.nonce, None)
        self.mark_due = False

    def holds_none_of(self, batch: Batch) -> bool:
        """Tell whether everything in the batch has been read or given up."""
        return (
            all(claim.nonce not in self.claims for claim in batch.claims)
            and all(void.nonce not in self.voids for void in batch.voids)
            and all(
                completion.nonce not in self.completions
                for completion in batch.completions
            )
        )

    def read(
        self, offset: int, time: datetime, batch: Batch | None
    ) -> tuple[OwnClaim, ...]:
        """Apply a record; return the own claims that it decides."""
        if offset < self.table.next:
            return ()
        self.last_read = self.clock.monotonic()
        self.table.apply(offset, time, batch)
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
        own = self._forget(nonce)
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
        own = self.own.get(nonce)
        if own is None or not isinstance(own.result, Claimed):
            return
        self._forget(nonce)
        completion = Completion(nonce, own.claim.key, status)
        self.completions[nonce] = (completion, own.claim.expiry)

    def may_dispatch(self, nonce: str) -> bool:
        """Tell whether the request of a claim may be sent at this moment."""
        own = self.own.get(nonce)
        if own is None or not isinstance(own.result, Claimed):
            return False
        return (
            self.table.verdicts.get(nonce) is ClaimVerdict.first
            and self.clock.monotonic() < own.deadline
            and self.clock.now() < own.claim.expiry
        )

    def is_in_use(self, key: str) -> bool:
        """Tell whether this process waits for or holds a claim of the key."""
        return key in self.own_keys

    def shows_no_claim(self, key: str, expiry: datetime) -> bool:
        """Tell whether no claim was in the stream up to the last read."""
        if self.is_in_use(key) or self.table.holder(key):
            return False
        return self.table.is_complete_for(expiry)

    def is_quiet(self, interval: timedelta) -> bool:
        """Tell whether no record was read for ``interval``."""
        return self.clock.monotonic() - self.last_read >= interval

    def _refusal(self, claim: Claim, deadline: timedelta) -> ClaimResult | None:
        holder = self.table.holder(claim.key)
        if holder:
            return AlreadyClaimed(holder)
        now = self.clock.now()
        obstacles = {
            'expired': claim.expiry <= now,
            'expiry_too_far': claim.expiry > now + self.settings.horizon,
            'deadline_passed': deadline <= self.clock.monotonic(),
            'overloaded': len(self.claims) >= self.settings.pending_limit,
        }
        reasons = (reason for reason, applies in obstacles.items() if applies)
        reason = next(reasons, None)
        return ClaimUnavailable(reason) if reason else None

    def _is_open(self, nonce: str) -> bool:
        own = self.own.get(nonce)
        return own is not None and own.result is None

    def _decide(self, own: OwnClaim) -> None:
        nonce = own.claim.nonce
        verdict = self.table.verdicts.get(nonce)
        holder = self.table.holder(own.claim.key)
        if verdict is ClaimVerdict.late and holder:
            own.result = AlreadyClaimed(holder)
            self._forget(nonce)
            return
        reason = self._doubt(own, verdict)
        if reason:
            self.give_up(nonce, reason)
            return
        own.result = Claimed(nonce)

    def _doubt(self, own: OwnClaim, verdict: ClaimVerdict | None) -> str:
        if verdict is not ClaimVerdict.first:
            return 'expired'
        if not self.table.is_complete_for(own.claim.expiry):
            return 'records_missing'
        if self.clock.monotonic() >= own.deadline:
            return 'deadline_passed'
        return ''

    def _forget(self, nonce: str) -> OwnClaim | None:
        own = self.own.pop(nonce, None)
        if own:
            self.own_keys[own.claim.key] -= 1
            if not self.own_keys[own.claim.key]:
                self.own_keys.pop(own.claim.key)
        return own

    def _clean_up(self) -> None:
        now = self.clock.monotonic()
        if now - self.last_clean_up < _CLEAN_UP_INTERVAL:
            return
        self.last_clean_up = now
        # By now every reader treats such a key as expired.
        past = self.clock.now() - 2 * self.settings.clock_bound
        for nonce, void in tuple(self.voids.items()):
            if void.expiry <= past:
                self.voids.pop(nonce)
        for nonce, (_, expiry) in tuple(self.completions.items()):
            if expiry <= past:
                self.completions.pop(nonce)
        for nonce, own in tuple(self.own.items()):
            if own.result and own.claim.expiry <= past:
                self._forget(nonce)
