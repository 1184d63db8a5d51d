"""The members that an instance knows."""

from collections.abc import Iterable

from ..protocol.home_feed import Member


class MemberList:
    """Members by name; a later start of an instance replaces an earlier one.

    All instances keep the same one of several records with one start time.
    ``revision`` grows with each change of the list.
    """

    def __init__(self, own: Member) -> None:
        self.own = own
        self.members: dict[str, Member] = {own.name: own}
        self.revision = 0

    def merge(self, members: Iterable[Member]) -> bool:
        """Merge members and return whether any of them changed the list."""
        changed = False
        for member in members:
            known = self.members.get(member.name)
            if member.name == self.own.name or known == member:
                continue
            if known is None or _precedence(known) < _precedence(member):
                self.members[member.name] = member
                changed = True
        self.revision += changed
        return changed

    def others(self) -> tuple[Member, ...]:
        """Return the other members in the order of their election rank."""
        others = [
            member
            for member in self.members.values()
            if member.name != self.own.name
        ]
        return tuple(sorted(others, key=lambda member: member.rank))

    def own_position(self) -> int:
        """Return the number of members whose names precede this one's."""
        return sum(name < self.own.name for name in self.members)

    def all(self) -> tuple[Member, ...]:
        """Return every member, this one included."""
        return tuple(self.members.values())


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
