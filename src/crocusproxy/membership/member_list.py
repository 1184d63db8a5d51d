"""The members that an instance knows."""

from collections.abc import Iterable

from ..protocol.home_feed import Member


class MemberList:
    """Members by name; a later start of an instance replaces an earlier one.

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
            if known is None or known.started_at <= member.started_at:
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

    def all(self) -> tuple[Member, ...]:
        """Return every member, this one included."""
        return tuple(self.members.values())
