"""The older balancer's share of callers.

Each caller has a fixed point between 0 and 1 per service, and goes to the older
balancer if the point is below the share. A change of the share thus moves only
the callers whose points lie between the old and the new share.
"""

import xxhash

_POINTS = 2**64


def goes_to_older_balancer(service: str, caller: str, share: float) -> bool:
    """Return whether ``caller`` belongs to the older balancer's ``share``."""
    point = xxhash.xxh3_64_intdigest(f'older\0{service}\0{caller}'.encode())
    # The product is exact, and so is comparing an integer with a float.
    return bool(point < share * _POINTS)
