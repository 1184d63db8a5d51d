"""Limit on failed sign-ins by client address and operator."""

from collections import OrderedDict, deque
from datetime import timedelta
from ipaddress import IPv6Address, ip_address
from typing import NamedTuple

#: Failed sign-ins of one origin within the window after which it is refused.
MAX_FAILED_SIGN_INS = 10
FAILURE_WINDOW = timedelta(minutes=1)
#: Beyond this number, the origin that has not failed for longest is dropped, to
#: bound the memory.
MAX_ORIGINS = 10_000
#: A client usually has all addresses of a network of this size.
_IPV6_NETWORK_BITS = 64
_IPV6_BITS = 128


class SignInOrigin(NamedTuple):
    """Where a sign-in comes from and the operator that it names.

    ``operator`` is empty if the sign-in names none, or an unknown one: unknown
    names must not give a client more attempts.
    """

    client: str
    operator: str


class FailedSignIns:
    """Counts the failures of each origin in the window.

    A client locks out only sign-ins from its own address. Behind a shared
    proxy, operators who enter their names are counted separately, but a client
    there can still lock out a name that it knows. Times are monotonic; origins
    are in the order of their latest failure.
    """

    def __init__(self) -> None:
        self.failures: OrderedDict[SignInOrigin, deque[timedelta]] = (
            OrderedDict()
        )

    def is_limited(self, origin: SignInOrigin, now: timedelta) -> bool:
        """Return whether sign-ins of an origin are refused now."""
        times = self.failures.get(origin, deque())
        is_full = len(times) == MAX_FAILED_SIGN_INS
        return is_full and times[0] > now - FAILURE_WINDOW

    def record(self, origin: SignInOrigin, now: timedelta) -> None:
        """Record a failed sign-in."""
        times = self.failures.setdefault(
            origin, deque(maxlen=MAX_FAILED_SIGN_INS)
        )
        times.append(now)
        self.failures.move_to_end(origin)
        if len(self.failures) > MAX_ORIGINS:
            self.failures.popitem(last=False)


def client_of(address: str) -> str:
    """Return the client that has an address.

    >>> client_of('192.0.2.1'), client_of('2001:db8::1'), client_of('')
    ('192.0.2.1', '2001:db8::', '')

    A listener for both families has IPv4 clients with mapped addresses:

    >>> client_of('::ffff:192.0.2.1')
    '192.0.2.1'
    """
    try:
        parsed = ip_address(address)
    except ValueError:
        return address
    if not isinstance(parsed, IPv6Address):
        return address
    if parsed.ipv4_mapped is not None:
        return str(parsed.ipv4_mapped)
    host_bits = _IPV6_BITS - _IPV6_NETWORK_BITS
    return str(IPv6Address(int(parsed) >> host_bits << host_bits))
