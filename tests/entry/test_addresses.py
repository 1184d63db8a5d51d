"""Guards against addresses of instances that can't serve a caller."""

from datetime import timedelta

from crocusproxy.entry.addresses import MAX_DIRECTORY_WAIT, find_addresses
from crocusproxy.entry.dispatch_role import DispatchRole
from crocusproxy.entry.start_wait import StartWait
from crocusproxy.membership.catalog import Catalog
from crocusproxy.membership.domain_homes import DomainHomeTable
from crocusproxy.protocol.home_feed import Member
from crocusproxy.routes.model import RouteConfig
from standins.virtual_time import LoopClock, VirtualLoop

OWN = Member('n1', 'a', 'n1:1', 'n1:2', 1.0, 1)
HOME = Member('n2', 'a', 'n2:1', 'n2:2', 1.0, 1)


class Starting:
    """An instance whose home and state can arrive later."""

    def __init__(self):
        self.loop = VirtualLoop()
        self.catalog = Catalog()
        self.home = None
        self.role = DispatchRole(
            DomainHomeTable(), lambda: self.home, lambda: OWN
        )
        self.start_wait = StartWait(self.catalog, LoopClock(self.loop))

    def complete(self, home=None):
        self.home = home
        self.catalog.apply_config(RouteConfig(1, (), ()))
        self.catalog.mark_complete()

    def find(self, after=None):
        """Return the addresses and the seconds until they were known."""

        async def run():
            started = self.loop.time()
            if after is not None:
                self.loop.call_later(0.2, after)
            found = await find_addresses(
                self.role, self.start_wait, 'a', timedelta(seconds=5)
            )
            return found.addresses, self.loop.time() - started

        return self.loop.run_until_complete(run())


def test_known_home_is_returned_at_once():
    instance = Starting()
    instance.home = HOME
    assert instance.find() == ((HOME.callers,), 0)


def test_query_waits_for_the_home_of_a_starting_instance():
    """After a loss of all, callers would keep the address of any instance."""
    instance = Starting()
    addresses, seconds = instance.find(lambda: instance.complete(HOME))
    assert addresses == (HOME.callers,)
    assert seconds < MAX_DIRECTORY_WAIT.total_seconds()


def test_no_address_is_returned_by_an_instance_that_cannot_serve():
    addresses, seconds = Starting().find()
    assert addresses == ()
    assert seconds <= 2 * MAX_DIRECTORY_WAIT.total_seconds()


def test_instance_that_can_serve_without_a_home_returns_itself():
    """Each request would fail while the loss of a home is detected."""
    instance = Starting()
    instance.complete()
    assert instance.find() == ((OWN.callers,), 0)
