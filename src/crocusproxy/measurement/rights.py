"""Rights to probe: which ones this process holds, without any I/O.

Of all processes, at most one holds a right at any time. A record takes or
renews a right only if its writer, on reading it back, finds that nobody else
can have taken the right since the record it relies on. A writer takes a right
only after it read nothing about it for a full term and a guard interval.
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

    ``guard`` bounds how far two monotonic clocks drift apart in a term.
    A lower budget is in force at latest a term after it was announced.
    """

    term: Duration = timedelta(seconds=6)
    guard: Duration = timedelta(milliseconds=500)
    renew_every: Duration = timedelta(seconds=2)


@dataclass(frozen=True, slots=True)
class Proposal:
    """An append that was not read yet, begun at ``started``."""

    started: timedelta


@dataclass(slots=True)
class HeldRight:
    """A right of this process; both times are on its monotonic clock."""

    expires_at: timedelta
    next_probe_at: timedelta


@dataclass(slots=True)
class RightsHolder:
    """Holds rights for the process ``name``, which is unique per start.

    ``wanted`` is the number of rights to hold per service.
    """

    name: str
    settings: RightsSettings
    random: Random
    plans: Mapping[str, RightsPlan] = field(default_factory=dict)
    wanted: Mapping[str, int] = field(default_factory=dict)
    held_rights: dict[Right, HeldRight] = field(default_factory=dict)
    # Rights that were taken and that nobody else can have taken since.
    chain: set[Right] = field(default_factory=set)
    pending: dict[str, Proposal] = field(default_factory=dict)
    proposals: int = 0
    table: RightTable = field(init=False)

    def __post_init__(self) -> None:
        """Start with a table that knows nothing."""
        self.table = RightTable(self.settings.term, self.settings.guard)

    def configure(
        self, plans: Mapping[str, RightsPlan], wanted: Mapping[str, int]
    ) -> None:
        """Apply the budgets of a generation and the rights wanted in it."""
        self.plans = plans
        self.wanted = wanted

    def may_probe(self, service: str, now: timedelta) -> bool:
        """Spend one probe of a right, if one is due; call before each send.

        ``now`` is the monotonic time at this moment.
        """
        due = self._due_right(service, now)
        if due is None:
            return False
        due.next_probe_at = now + self._spacing(service)
        return True

    def could_probe(self, service: str, now: timedelta) -> bool:
        """Tell whether ``may_probe`` would allow a probe, without one."""
        return self._due_right(service, now) is not None

    def charge(self, service: str, probes: int) -> None:
        """Postpone the next probe, as a response cost more than one."""
        held = [
            held
            for right, held in self.held_rights.items()
            if right.service == service
        ]
        if held and probes:
            latest = max(held, key=lambda right: right.next_probe_at)
            latest.next_probe_at += probes * self._spacing(service)

    def propose(self, now: timedelta) -> Renewal | None:
        """Return what to append; ``now`` is read before the append.

        None if nothing is held or wanted, or the stream was not read yet.
        """
        if not self.table.started:
            return None
        self._drop_old(now)
        services: dict[str, ServiceRights] = {}
        for service, plan in self.plans.items():
            rights = self._choose(service, plan, now)
            if rights or self._must_announce(service, now):
                services[service] = self._part(service, rights)
        if not services:
            return None
        self.proposals += 1
        nonce = f'{self.name}/{self.proposals}'
        self.pending[nonce] = Proposal(now)
        return Renewal(
            self.name, nonce, self.settings.term, self.table.since, services
        )

    def begin_page(self, first: int, now: timedelta) -> None:
        """Note the oldest offset kept; after a gap nothing is held."""
        if self.table.begin_page(first, now):
            self._lose_all()

    def read(
        self, offset: int, renewal: Renewal | None, now: timedelta
    ) -> None:
        """Apply the record at ``offset``; ``now`` is when it was read.

        ``renewal`` is None for a record that is no renewal at all.
        """
        if offset < self.table.next:
            return
        self.begin_page(offset, now)
        self.table.next = offset + 1
        if renewal is None:
            return
        if renewal.version > RECORD_VERSION:
            self.table.since = self.table.next
            self.table.forget(now)
            self._lose_all()
            return
        proposal = self.pending.pop(renewal.nonce, None)
        if proposal:
            self._settle(renewal, proposal, now)
        else:
            self.chain.difference_update(
                right
                for right in rights_of(renewal)
                if self.table.may_take(renewal, right)
            )
        self.table.apply(offset, renewal, now)

    def _settle(
        self, renewal: Renewal, proposal: Proposal, now: timedelta
    ) -> None:
        settings = self.settings
        expires_at = proposal.started + settings.term - settings.guard
        for right in rights_of(renewal):
            part = renewal.services[right.service]
            expected = part.expected.get(right.number)
            if self.table.is_withdrawn(right, part.generation):
                self.chain.discard(right)
            elif right in self.chain:
                held = self.held_rights[right]
                held.expires_at = max(held.expires_at, expires_at)
            elif expected == self.table.last_offset(right):
                self.chain.add(right)
                # Keeps the distance from the previous holder's last probe.
                first_probe_at = now + self._spacing(right.service)
                self.held_rights[right] = HeldRight(expires_at, first_probe_at)

    def _due_right(self, service: str, now: timedelta) -> HeldRight | None:
        plan = self._plan(service)
        for number in range(plan.count):
            right = Right(service, number)
            held = self.held_rights.get(right)
            if held is None or not held.next_probe_at <= now < held.expires_at:
                continue
            if not self.table.is_withdrawn(right, plan.generation):
                return held
        return None

    def _choose(
        self, service: str, plan: RightsPlan, now: timedelta
    ) -> tuple[Right, ...]:
        rights = [Right(service, number) for number in range(plan.count)]
        usable = [
            right
            for right in rights
            if not self.table.is_withdrawn(right, plan.generation)
        ]
        kept = [right for right in usable if right in self.chain]
        free = [
            right
            for right in usable
            if right not in self.chain and self.table.is_free(right, now)
        ]
        # Instances that start together seldom try for the same right.
        self.random.shuffle(free)
        return tuple((kept + free)[: self.wanted.get(service, 0)])

    def _part(
        self, service: str, rights: tuple[Right, ...] = ()
    ) -> ServiceRights:
        # Every record carries the newest generation that its writer knows,
        # so later readers learn of it although older records expire.
        plan = self._plan(service)
        newest = self.table.newer(service, plan.generation) or plan
        return ServiceRights(
            newest.generation,
            newest.count,
            newest.spacing,
            tuple(right.number for right in rights),
            {
                right.number: self.table.last_offset(right)
                for right in rights
                if right not in self.chain
            },
        )

    def _must_announce(self, service: str, now: timedelta) -> bool:
        # Also answers a writer that started after the last announcement had
        # expired from the stream, and has an older configuration.
        latest = self.table.latest.get(service)
        newest = self._part(service)
        if latest is None or newest.generation <= latest.generation:
            return False
        if newest.count >= latest.count and newest.spacing <= latest.spacing:
            return False
        return any(
            not self.table.is_free(Right(service, number), now)
            for number in range(latest.count)
        )

    def _spacing(self, service: str) -> timedelta:
        return max(self._plan(service).spacing, self._part(service).spacing)

    def _plan(self, service: str) -> RightsPlan:
        return self.plans.get(service, _NO_PLAN)

    def _drop_old(self, now: timedelta) -> None:
        for right, held in tuple(self.held_rights.items()):
            if held.expires_at <= now and right not in self.chain:
                self.held_rights.pop(right)
        oldest = now - 2 * self.settings.term
        for nonce, proposal in tuple(self.pending.items()):
            if proposal.started < oldest:
                self.pending.pop(nonce)

    def _lose_all(self) -> None:
        self.held_rights.clear()
        self.chain.clear()
        self.pending.clear()
