"""Choice of the domain home that is asked for a slot.

Overflow is used when the load of one failure domain exceeds the capacity of its
upstreams while others have free slots, for example because callers have moved
or upstreams of one failure domain are lost or slow.
"""

from collections.abc import Callable, Sequence
from random import Random

from ..protocol.home_feed import Member

#: A domain home that declined is not asked again for this time, so that a
#: load beyond the capacity of the whole site causes few queries.
DECLINE_BACKOFF_SECONDS = 0.05


def _is_split(service: str) -> bool:
    """Treat no service as shared."""
    return False


class OverflowTargets:
    """The other domain homes, and for which services they declined lately.

    ``others`` returns the domain homes other than this instance. None of them
    has upstreams of a service that ``is_shared``.
    """

    def __init__(
        self,
        others: Callable[[], Sequence[Member]],
        random: Random,
        is_shared: Callable[[str], bool] = _is_split,
    ) -> None:
        self.others = others
        self.random = random
        self.is_shared = is_shared
        self.declined_until: dict[tuple[str, str], float] = {}

    def choose(self, service: str, now: float) -> str:
        """Return the address of a domain home, empty if there is none."""
        if self.is_shared(service):
            return ''
        addresses = [
            member.callers
            for member in self.others()
            if self.declined_until.get((member.callers, service), now) <= now
        ]
        return self.random.choice(addresses) if addresses else ''

    def decline(self, address: str, service: str, now: float) -> None:
        """Record that a domain home declined or can't be reached."""
        self.declined_until[address, service] = now + DECLINE_BACKOFF_SECONDS
