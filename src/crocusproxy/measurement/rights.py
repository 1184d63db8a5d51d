"""Rights to probe that this process holds; performs no I/O.

At most one process holds a right at any time. A process appends a record to
acquire or renew a right, and the record takes effect when its writer reads it
back. An acquisition has no effect if the stream has another record about the
right between it and the last one that its writer had read. A renewal has none
if another process can have acquired the right since the writer acquired it. A
process tries to acquire a right only after it read no record about it for a
full term and a guard interval.
"""

from collections.abc import Mapping
from dataclasses import dataclass, field
from datetime import timedelta
from random import Random

from pydantic.dataclasses import dataclass as checked

from ..durations import Duration
from ..settings import STRICT
from .budget import RightsPlan
from .records import RECORD_VERSION, Renewal, ServiceRights
from .right_table import Right, RightTable, rights_of

_NO_PLAN = RightsPlan()


@checked(frozen=True, slots=True, config=STRICT)
class RightsSettings:
    """Times of the rights; ``term`` must be the same at all instances.

    ``guard`` bounds the drift between two monotonic clocks in a term. A lower
    budget takes effect at the latest one term after its announcement.
    """

    term: Duration = timedelta(seconds=6)
    guard: Duration = timedelta(milliseconds=500)
    renew_every: Duration = timedelta(seconds=2)


@dataclass(frozen=True, slots=True)
class PendingRenewal:
    """An append that was not read yet; ``started_at`` is before the append."""

    started_at: timedelta


@dataclass(slots=True)
class HeldRight:
    """A right of this process; times are on its monotonic clock."""

    expires_at: timedelta
    next_probe_at: timedelta


@dataclass(slots=True)
class RightsHolder:
    """Holds rights for the process ``name``, which is unique per start.

    ``target_counts`` is the number of rights to hold per service.
    """

    name: str
    settings: RightsSettings
    random: Random
    plans: Mapping[str, RightsPlan] = field(default_factory=dict)
    target_counts: Mapping[str, int] = field(default_factory=dict)
    held_rights: dict[Right, HeldRight] = field(default_factory=dict)
    # Acquired rights that no other process can have acquired since.
    renewable_rights: set[Right] = field(default_factory=set)
    pending_renewals: dict[str, PendingRenewal] = field(default_factory=dict)
    renewal_count: int = 0
    table: RightTable = field(init=False)

    def __post_init__(self) -> None:
        """Start with an empty table."""
        self.table = RightTable(self.settings.term, self.settings.guard)

    def configure(
        self, plans: Mapping[str, RightsPlan], target_counts: Mapping[str, int]
    ) -> None:
        """Apply the budgets of a generation and the numbers of rights."""
        self.plans = plans
        self.target_counts = target_counts

    def spend_probe(self, service: str, now: timedelta) -> bool:
        """Spend one probe of a right; return False if none is due.

        Call it before each send; ``now`` is the current monotonic time.
        """
        due = self._due_right(service, now)
        if due is None:
            return False
        due.next_probe_at = now + self._spacing(service)
        return True

    def can_probe(self, service: str, now: timedelta) -> bool:
        """Return whether a probe is due, without spending it."""
        return self._due_right(service, now) is not None

    def charge(self, service: str, probes: int) -> None:
        """Postpone the next probe by ``probes`` times the spacing.

        A large response costs the budget of several probes.
        """
        candidates = [
            held_right
            for right, held_right in self.held_rights.items()
            if right.service == service
        ]
        if candidates and probes:
            latest = max(candidates, key=lambda right: right.next_probe_at)
            latest.next_probe_at += probes * self._spacing(service)

    def propose(self, now: timedelta) -> Renewal | None:
        """Return the next record to append; ``now`` is before the append.

        Returns None if there is nothing to acquire, renew or announce, or the
        stream was not read yet.
        """
        if not self.table.has_read:
            return None
        self._drop_expired(now)
        services: dict[str, ServiceRights] = {}
        for service, plan in self.plans.items():
            rights = self._choose_rights(service, plan, now)
            if rights or self._must_announce(service, now):
                services[service] = self._service_rights(service, rights)
        if not services:
            return None
        self.renewal_count += 1
        nonce = f'{self.name}/{self.renewal_count}'
        self.pending_renewals[nonce] = PendingRenewal(now)
        return Renewal(
            self.name,
            nonce,
            self.settings.term,
            self.table.read_since,
            services,
        )

    def begin_page(self, first_offset: int, now: timedelta) -> None:
        """Record the oldest retained offset; drop all rights after a gap."""
        if self.table.begin_page(first_offset, now):
            self._drop_all()

    def apply_record(
        self, offset: int, renewal: Renewal | None, now: timedelta
    ) -> None:
        """Apply the record at ``offset``; ``now`` is when it was read.

        ``renewal`` is None for a malformed record.
        """
        if offset < self.table.next_offset:
            return
        self.begin_page(offset, now)
        self.table.next_offset = offset + 1
        if renewal is None:
            return
        if renewal.version > RECORD_VERSION:
            self.table.read_since = self.table.next_offset
            self.table.mark_unknown(now)
            self._drop_all()
            return
        pending = self.pending_renewals.pop(renewal.nonce, None)
        if pending:
            self._apply_own_renewal(renewal, pending, now)
        else:
            self.renewable_rights.difference_update(
                right
                for right in rights_of(renewal)
                if self.table.may_acquire(renewal, right)
            )
        self.table.apply(offset, renewal, now)

    def _apply_own_renewal(
        self, renewal: Renewal, pending: PendingRenewal, now: timedelta
    ) -> None:
        settings = self.settings
        expires_at = pending.started_at + settings.term - settings.guard
        for right in rights_of(renewal):
            service_rights = renewal.services[right.service]
            expected = service_rights.expected.get(right.number)
            if self.table.is_withdrawn(right, service_rights.generation):
                self.renewable_rights.discard(right)
            elif right in self.renewable_rights:
                held_right = self.held_rights[right]
                held_right.expires_at = max(held_right.expires_at, expires_at)
            elif expected == self.table.last_offset(right):
                self.renewable_rights.add(right)
                # Keeps the spacing to the previous holder's last probe.
                first_probe_at = now + self._spacing(right.service)
                self.held_rights[right] = HeldRight(expires_at, first_probe_at)

    def _due_right(self, service: str, now: timedelta) -> HeldRight | None:
        plan = self._plan(service)
        for number in range(plan.count):
            right = Right(service, number)
            held_right = self.held_rights.get(right)
            if (
                held_right is None
                or not held_right.next_probe_at <= now < held_right.expires_at
            ):
                continue
            if not self.table.is_withdrawn(right, plan.generation):
                return held_right
        return None

    def _choose_rights(
        self, service: str, plan: RightsPlan, now: timedelta
    ) -> tuple[Right, ...]:
        rights = [Right(service, number) for number in range(plan.count)]
        usable = [
            right
            for right in rights
            if not self.table.is_withdrawn(right, plan.generation)
        ]
        kept = [right for right in usable if right in self.renewable_rights]
        free = [
            right
            for right in usable
            if right not in self.renewable_rights
            and self.table.is_free(right, now)
        ]
        # Instances that start together rarely try to acquire the same right.
        self.random.shuffle(free)
        return tuple((kept + free)[: self.target_counts.get(service, 0)])

    def _service_rights(
        self, service: str, rights: tuple[Right, ...] = ()
    ) -> ServiceRights:
        # Every record carries the newest generation known to its writer, so
        # that later readers receive it although older records expire.
        plan = self._plan(service)
        newest = self.table.newer_rights(service, plan.generation) or plan
        return ServiceRights(
            newest.generation,
            newest.count,
            newest.spacing,
            tuple(right.number for right in rights),
            {
                right.number: self.table.last_offset(right)
                for right in rights
                if right not in self.renewable_rights
            },
        )

    def _must_announce(self, service: str, now: timedelta) -> bool:
        # Also covers a writer with an older configuration that started after
        # the last announcement had expired from the stream.
        latest = self.table.last_record_rights.get(service)
        newest = self._service_rights(service)
        if latest is None or newest.generation <= latest.generation:
            return False
        if newest.count >= latest.count and newest.spacing <= latest.spacing:
            return False
        return any(
            not self.table.is_free(Right(service, number), now)
            for number in range(latest.count)
        )

    def _spacing(self, service: str) -> timedelta:
        return max(
            self._plan(service).spacing, self._service_rights(service).spacing
        )

    def _plan(self, service: str) -> RightsPlan:
        return self.plans.get(service, _NO_PLAN)

    def _drop_expired(self, now: timedelta) -> None:
        for right, held_right in tuple(self.held_rights.items()):
            if (
                held_right.expires_at <= now
                and right not in self.renewable_rights
            ):
                self.held_rights.pop(right)
        oldest = now - 2 * self.settings.term
        for nonce, pending in tuple(self.pending_renewals.items()):
            if pending.started_at < oldest:
                self.pending_renewals.pop(nonce)

    def _drop_all(self) -> None:
        self.held_rights.clear()
        self.renewable_rights.clear()
        self.pending_renewals.clear()
