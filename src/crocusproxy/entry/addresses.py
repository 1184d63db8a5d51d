"""The address that the directory gives to a caller."""

from datetime import timedelta

from .dispatch_role import DispatchRole
from .listeners import AddressList
from .start_wait import StartWait

#: How long a query waits for an instance that is starting. After a loss of all
#: instances, callers query their directories before any of them has a home.
MAX_DIRECTORY_WAIT = timedelta(milliseconds=500)


async def find_addresses(
    role: DispatchRole,
    start_wait: StartWait,
    failure_domain: str,
    validity: timedelta,
) -> AddressList:
    """Return the address of the home for callers of a failure domain.

    Without a home, it is the address of this instance, or none if it can't
    serve yet: a caller would keep the address for as long as it is valid.
    """
    home = role.dispatcher_of(failure_domain)
    if home is None:
        is_ready = await start_wait.wait_up_to(MAX_DIRECTORY_WAIT)
        home = role.dispatcher_of(failure_domain)
        if home is None and is_ready:
            home = role.find_own()
    addresses = () if home is None else (home.callers,)
    return AddressList(addresses, validity)
