"""Sticky assignment of a share of callers to the older balancer.

A hash maps each caller to a fixed point between 0 and 1 per service. The caller
goes to the older balancer if its point is below the share. A change of the
share thus moves only the callers with points between the old and the new share.
"""

import xxhash

_POINT_COUNT = 2**64


def goes_to_older_balancer(service: str, caller: str, share: float) -> bool:
    """Return whether ``caller`` belongs to the older balancer's ``share``."""
    point = xxhash.xxh3_64_intdigest(f'older\0{service}\0{caller}'.encode())
    # Scaling by a power of two and comparing int with float are both exact.
    return bool(point < share * _POINT_COUNT)
