"""Messages between entry instances: home, members and the home's state.

The home is the entry instance that reads the store and distributes its content
to the others, its members. They follow its feed. It dispatches the requests of
all callers, or appoints domain homes that dispatch them.
"""

from dataclasses import dataclass
from datetime import timedelta
from typing import Literal

from ..routes.model import RegisteredUpstream, RouteConfig

MemberState = Literal['starting', 'searching', 'attached', 'home', 'leaving']


@dataclass(frozen=True, slots=True)
class Member:
    """One entry instance.

    ``internal`` is the address for other instances, ``callers`` the one for
    callers' requests. The member with the largest ``capacity`` becomes home,
    and of several the first by name. The choice is the same after a restart of
    all instances, so that callers still have the address of the home.
    ``started_at`` in Unix milliseconds distinguishes the starts of an instance.
    A build that does not know shared services does not state ``knows_shared``.
    """

    name: str
    failure_domain: str
    internal: str
    callers: str
    capacity: float
    started_at: int
    knows_shared: bool = False

    @property
    def rank(self) -> tuple[float, str]:
        """Return the sort key of members; the lowest becomes home first."""
        return -self.capacity, self.name


@dataclass(frozen=True, slots=True)
class Departure:
    """The end of one start of an instance, which takes part in nothing more.

    With ``is_final``, the instance itself has said that it leaves. Otherwise it
    was not reached for some time, and any contact with it ends the departure.
    """

    name: str
    started_at: int
    is_final: bool = False


@dataclass(frozen=True, slots=True)
class UpstreamChange:
    """An upstream that was added or replaced; removed if ``entry`` is None."""

    key: str
    entry: RegisteredUpstream | None = None


@dataclass(frozen=True, slots=True)
class DomainHome:
    """The member that dispatches the requests of one failure domain.

    It places them on the upstreams of that failure domain.
    """

    failure_domain: str
    member: Member


@dataclass(frozen=True, slots=True)
class DomainHomes:
    """The domain homes of a site; if there are none, the home dispatches.

    The first of ``homes`` dispatches the services in ``shared`` for all failure
    domains. An older build ignores ``shared`` and splits all services.
    """

    homes: tuple[DomainHome, ...] = ()
    shared: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class MemberView:
    """State of a member, as it sees itself.

    ``home`` is the home that it is attached to, possibly itself; a member in
    state ``searching`` has none, and one in state ``starting`` takes no part
    in elections yet. A home that took over later has a higher
    ``epoch``. ``domain_homes`` is None if they are not known. ``unreached``
    are keys of upstreams that the member can't connect to, if these are so many
    that it may be cut off.
    """

    member: Member
    state: MemberState
    epoch: int = 0
    home: Member | None = None
    domain_homes: DomainHomes | None = None
    unreached: tuple[str, ...] = ()


@dataclass(frozen=True, slots=True)
class ReachQuery:
    """Asks a member to connect to upstreams, given by their keys."""

    upstreams: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class ReachReport:
    """The upstreams of a query that a member could connect to."""

    reached: tuple[str, ...]


@dataclass(frozen=True, slots=True)
class CrashReport:
    """The requests in flight at an upstream when it crashed.

    ``upstream`` is its address. ``fingerprints`` identify the requests, and
    ``ages`` are the times since they were sent, in the same order. With
    ``cleared``, upstreams have answered these requests instead.
    """

    upstream: str
    fingerprints: tuple[str, ...]
    cleared: bool = False
    ages: tuple[timedelta, ...] = ()


@dataclass(frozen=True, slots=True)
class StatedTerms:
    """What an incarnation of an upstream has stated for all instances.

    ``rate_limit`` is in requests per second, None without limit. ``warm_up`` is
    how much longer it is cold, zero if it has not stated that just now.
    """

    key: str
    started_at: int
    rate_limit: float | None = None
    leaving: bool = False
    warm_up: timedelta = timedelta()


@dataclass(frozen=True, slots=True)
class FeedMessage:
    """One message of a home's feed; an empty one is a heartbeat.

    ``path`` names the members that relayed the feed, the home first. With
    ``full``, ``changes`` hold all upstreams. Without ``domain_homes``, the
    latest ones stay in force. ``store_incarnation`` is -1 if not known.
    ``evacuated`` holds all evacuated failure domains; without it, the latest
    set stays in force. ``departed`` holds members to forget. ``lost_home`` is
    the name of the home that the sender has just lost; its feed ends with this.
    """

    epoch: int = 0
    home: Member | None = None
    path: tuple[str, ...] = ()
    leaving: bool = False
    full: bool = False
    config: RouteConfig | None = None
    changes: tuple[UpstreamChange, ...] = ()
    members: tuple[Member, ...] = ()
    domain_homes: DomainHomes | None = None
    store_incarnation: int = -1
    crash_reports: tuple[CrashReport, ...] = ()
    terms: tuple[StatedTerms, ...] = ()
    evacuated: tuple[str, ...] | None = None
    departed: tuple[Departure, ...] = ()
    lost_home: str = ''
