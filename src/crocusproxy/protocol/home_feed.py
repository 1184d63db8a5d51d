"""What entry instances tell each other: who is home, and what it knows."""

from dataclasses import dataclass
from typing import Literal

from ..routes.model import RegisteredUpstream, RouteConfig


@dataclass(frozen=True, slots=True)
class Member:
    """One entry instance.

    ``internal`` and ``callers`` are addresses. Members with more ``capacity``
    become home first, then by name: after all instances were restarted the
    same one is home, and callers still have its address. ``started_at`` in Unix
    milliseconds tells one start of an instance from another.
    """

    name: str
    failure_domain: str
    internal: str
    callers: str
    capacity: float
    started_at: int

    @property
    def rank(self) -> tuple[float, str]:
        """Return the order in which members become home."""
        return -self.capacity, self.name


@dataclass(frozen=True, slots=True)
class MemberView:
    """How a member sees itself in the system.

    ``home`` is the home that it is attached to, itself included. A higher
    ``epoch`` belongs to a home that took over later.
    """

    member: Member
    state: Literal['searching', 'attached', 'home', 'leaving']
    epoch: int = 0
    home: Member | None = None


@dataclass(frozen=True, slots=True)
class UpstreamChange:
    """An entry that was added or replaced; without entry it was removed."""

    key: str
    entry: RegisteredUpstream | None = None


@dataclass(frozen=True, slots=True)
class FeedMessage:
    """One message of a home's feed; an empty one shows that it lives.

    ``path`` names the members that have passed the feed on, the home first.
    With ``full``, ``changes`` hold every upstream.
    """

    epoch: int = 0
    home: Member | None = None
    path: tuple[str, ...] = ()
    leaving: bool = False
    full: bool = False
    config: RouteConfig | None = None
    changes: tuple[UpstreamChange, ...] = ()
    members: tuple[Member, ...] = ()
