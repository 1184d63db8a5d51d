"""Choice of the member whose feed a follower reads.

The home serves a few members of each failure domain; the others follow their
domain home. So the work of the home and the bytes between failure domains do
not grow with the number of instances.
"""

from collections.abc import Iterable
from datetime import timedelta

from ..clock import Clock
from ..protocol.home_feed import DomainHomes, Member
from .domain_homes import DomainHomeTable
from .member_list import MemberList

#: Members of a failure domain that follow the home itself. The next domain home
#: is chosen among them.
DIRECT_FOLLOWERS = 4
#: After this many failures in a row of a domain home, the home is followed.
_MAX_SOURCE_FAILURES = 5
#: The same after this time if it can't be reached. Five time-outs took 4 s, in
#: which the directory went on naming the lost domain home.
_MAX_UNREACHABLE_TIME = timedelta(seconds=1)


def feed_source(
    own: Member,
    home: Member,
    domain_home: Member | None,
    members: Iterable[Member],
) -> Member:
    """Return the member whose feed ``own`` should follow."""
    if domain_home is None or domain_home.name == own.name:
        return home
    return home if is_direct(own, members) else domain_home


def first_source(
    own: Member, home: Member, domain_home: Member | None
) -> Member:
    """Return the member to follow first, before the members are known.

    The home sends its whole state to each new follower, so after a loss of all
    instances the small ones must not all begin with it.
    """
    if domain_home is None or own.capacity >= domain_home.capacity:
        return home
    return domain_home


def is_direct(own: Member, members: Iterable[Member]) -> bool:
    """Return whether a member is a possible successor of its domain home."""
    better_members = [
        member
        for member in members
        if member.failure_domain == own.failure_domain
        and member.rank < own.rank
    ]
    return len(better_members) < DIRECT_FOLLOWERS


class FeedSources:
    """Chooses the members to follow, by the feeds that were lost before.

    ``avoided`` is the name of a domain home whose feed was lost, ``failures``
    the number of feeds in a row that did not begin, and ``failing_since`` the
    time of the first of these attempts. ``reported_loss`` is the name of the
    home that the domain home has lost, as the end of its feed said.
    """

    def __init__(
        self,
        member_list: MemberList,
        domain_homes: DomainHomeTable,
        clock: Clock,
    ) -> None:
        self.member_list = member_list
        self.domain_homes = domain_homes
        self.clock = clock
        self.avoided = ''
        self.failures = 0
        self.failing_since = timedelta()
        self.reported_loss = ''
        domain_homes.on_change.append(self._clear_avoided)

    def first(self, member: Member) -> Member:
        """Return the member to follow first after an election of ``member``."""
        if not self.failures:
            self.failing_since = self.clock.monotonic()
        domain_home = self._usable_domain_home()
        if domain_home is None:
            return member
        return first_source(self.member_list.own, member, domain_home)

    def preferred(self, home: Member) -> Member:
        """Return the member to follow while ``home`` is known."""
        domain_home = self._usable_domain_home()
        if domain_home is None:
            return home
        own = self.member_list.own
        return feed_source(own, home, domain_home, self.member_list.all())

    def after_loss(self, lost: Member, home: Member | None) -> Member | None:
        """Return the home if only a domain home was lost.

        If the domain home has lost the home, that is to be elected anew. A
        stopped home accepts connections, so following it would take until the
        timeout of its feed, in which this member would still name it as home.
        """
        if home is None or lost.name == home.name:
            return None
        self.avoided = lost.name
        is_home_lost = home.name == self.reported_loss
        self.reported_loss = ''
        return None if is_home_lost else home

    def note_failure(self, source: Member, *, is_unreachable: bool) -> None:
        """Avoid a domain home that does not become able to serve a feed."""
        self.failures += 1
        tried_for = self.clock.monotonic() - self.failing_since
        if self.failures >= _MAX_SOURCE_FAILURES or (
            is_unreachable and tried_for >= _MAX_UNREACHABLE_TIME
        ):
            self.failures = 0
            self.avoided = source.name

    def _usable_domain_home(self) -> Member | None:
        own = self.member_list.own
        domain_home = self.domain_homes.home_of(own.failure_domain)
        if domain_home is None or domain_home.name == self.avoided:
            return None
        return domain_home

    def _clear_avoided(self, _: DomainHomes) -> None:
        self.avoided = ''
