"""The members that an instance knows."""

from collections.abc import Iterable
from itertools import chain

from ..protocol.home_feed import Departure, Member

#: Departed members whose late records are still recognized. Each new follower
#: is told of them.
MAX_DEPARTED = 3_000


class MemberList:
    """Members by name; a later start of an instance replaces an earlier one.

    All instances keep the same one of several records with one start time.
    ``revision`` grows with each change of the list. ``departed`` holds the
    departures of members that are no longer in it, and ``departed_members``
    their latest records: one of them may be a home that was cut off.
    """

    def __init__(self, own: Member) -> None:
        self.own = own
        self.members: dict[str, Member] = {own.name: own}
        self.departed: dict[str, Departure] = {}
        self.departed_members: dict[str, Member] = {}
        self.revision = 0

    def merge(
        self, members: Iterable[Member], *, is_in_contact: bool = False
    ) -> bool:
        """Merge members and return whether any of them changed the list.

        With ``is_in_contact``, these members have just been heard of, and are
        back if they had departed without saying so themselves.
        """
        revision = self.revision
        for member in members:
            has_departed = self._has_departed(
                member, is_in_contact=is_in_contact
            )
            if not has_departed and self._is_news(member):
                self._add(member)
        return self.revision != revision

    def depart(self, departures: Iterable[Departure]) -> bool:
        """Remove members and return whether any of them was in the list."""
        changed = False
        for departure in departures:
            name = departure.name
            member = self.members.get(name)
            if name == self.own.name or (
                member is not None and member.started_at > departure.started_at
            ):
                continue
            self._remember(departure)
            if member is not None:
                self.departed_members[name] = self.members.pop(name)
                changed = True
        self.revision += changed
        return changed

    def departures(self) -> tuple[Departure, ...]:
        """Return all departures that are still recognized."""
        return tuple(self.departed.values())

    def others_ever(self) -> tuple[Member, ...]:
        """Return the other members and departed ones, by election rank."""
        return self._ranked(
            chain(self.members.values(), self.departed_members.values())
        )

    def others(self) -> tuple[Member, ...]:
        """Return the other members in the order of their election rank."""
        return self._ranked(self.members.values())

    def own_position(self) -> int:
        """Return the number of members whose names precede this one's."""
        return sum(name < self.own.name for name in self.members)

    def all(self) -> tuple[Member, ...]:
        """Return every member, this one included."""
        return tuple(self.members.values())

    def _ranked(self, members: Iterable[Member]) -> tuple[Member, ...]:
        """Return members but this one in the order of their election rank."""
        others = [one for one in members if one.name != self.own.name]
        return tuple(sorted(others, key=lambda member: member.rank))

    def _add(self, member: Member) -> None:
        self.members[member.name] = member
        self.departed.pop(member.name, None)
        self.departed_members.pop(member.name, None)
        self.revision += 1

    def _is_news(self, member: Member) -> bool:
        known = self.members.get(member.name)
        if member.name == self.own.name or known == member:
            return False
        return known is None or _precedence(known) < _precedence(member)

    def _has_departed(self, member: Member, *, is_in_contact: bool) -> bool:
        departure = self.departed.get(member.name)
        if departure is None:
            return False
        if is_in_contact:
            # The clock may have been set back before the next start.
            is_same_start = member.started_at == departure.started_at
            return departure.is_final and is_same_start
        return member.started_at <= departure.started_at

    def _remember(self, departure: Departure) -> None:
        self.departed.pop(departure.name, None)
        self.departed[departure.name] = departure
        while len(self.departed) > MAX_DEPARTED:
            oldest = next(iter(self.departed))
            self.departed.pop(oldest)
            self.departed_members.pop(oldest, None)


def _precedence(member: Member) -> tuple[int, bool, float, tuple[str, ...]]:
    """Return the sort key of the records of a member; the highest one holds.

    Records with one start time differ if an older build has passed one on
    without the fields that it does not know, or if two instances have the same
    name. The order of arrival must not decide, as it differs by instance.
    """
    return (
        member.started_at,
        member.knows_shared,
        member.capacity,
        (member.failure_domain, member.internal, member.callers),
    )
