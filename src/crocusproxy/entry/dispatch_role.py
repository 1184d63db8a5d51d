"""Which instance dispatches a caller's request, and to which upstreams."""

from collections.abc import Callable

from ..membership.domain_homes import DomainHomeTable
from ..protocol.home_feed import Member


class DispatchRole:
    """The part that this instance has in dispatching.

    Without domain homes, the home dispatches all requests. ``find_home``
    returns the home, if it is known, and ``find_own`` this member.
    """

    def __init__(
        self,
        table: DomainHomeTable,
        find_home: Callable[[], Member | None],
        find_own: Callable[[], Member],
    ) -> None:
        self.table = table
        self.find_home = find_home
        self.find_own = find_own

    def dispatcher_of(self, failure_domain: str) -> Member | None:
        """Return the member that dispatches for callers of a failure domain."""
        return self.table.home_of(failure_domain) or self.find_home()

    def owns(self, service: str, failure_domain: str) -> bool:
        """Return whether to dispatch a service to a failure domain's upstreams.

        An instance that is not the one to dispatch does so only if it can't
        reach that one, and then to all upstreams.
        """
        if self.is_shared(service) or not self.is_domain_home():
            return True
        domain_home = self.table.home_of(failure_domain)
        assert domain_home is not None
        return domain_home.name == self.find_own().name

    def is_domain_home(self) -> bool:
        """Return whether this instance is home of a failure domain."""
        name = self.find_own().name
        return any(
            home.member.name == name for home in self.table.assignment.homes
        )

    def is_shared(self, service: str) -> bool:
        """Return whether one domain home has a service in all domains."""
        return self.table.shared_home(service) is not None

    def dispatches(self, service: str) -> bool:
        """Return whether this instance is the one to dispatch a service."""
        shared_home = self.table.shared_home(service)
        if shared_home is None:
            return self.is_dispatcher()
        return shared_home.name == self.find_own().name

    def is_exclusive(self, service: str) -> bool:
        """Return whether no other home dispatches a service to owned upstreams.

        Domain homes of an older build dispatch shared services as well.
        """
        homes = self.table.assignment.homes
        return self.dispatches(service) and (
            not self.is_shared(service)
            or all(home.member.knows_shared for home in homes)
        )

    def is_dispatcher(self) -> bool:
        """Return whether this instance is a domain home or the only home."""
        if self.table.assignment.homes:
            return self.is_domain_home()
        home = self.find_home()
        return home is not None and home.name == self.find_own().name

    def forwarding_address(self, service: str) -> str:
        """Return where to forward requests; empty to dispatch them here."""
        own = self.find_own()
        dispatcher = self.table.shared_home(service)
        if dispatcher is None:
            if self.is_domain_home():
                return ''
            dispatcher = self.dispatcher_of(own.failure_domain)
        if dispatcher is None or dispatcher.name == own.name:
            return ''
        return dispatcher.callers

    def other_domain_homes(self) -> tuple[Member, ...]:
        """Return the homes to ask for a slot; none unless this is one too."""
        if not self.is_domain_home():
            return ()
        return self.table.others(self.find_own().name)
