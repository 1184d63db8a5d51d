"""Refusals that callers get instead of an upstream's response."""

from datetime import timedelta
from random import Random

from .responses import Refusal

NOT_READY = Refusal(
    503,
    'not_ready',
    'no configuration has been received yet',
    timedelta(milliseconds=100),
)
NO_ROUTE = Refusal(404, 'no_route', 'no route covers this host and path')
KEY_UNKNOWN = Refusal(
    401, 'key_unknown', 'the request has no key of a client account'
)
BODY_TOO_LARGE = Refusal(413, 'body_too_large', 'the body is too large')
INVALID_DEADLINE = Refusal(400, 'deadline_invalid', 'the deadline is no number')
TIMED_OUT = Refusal(504, 'timed_out', 'no response arrived in time')
UPSTREAM_FAILED = Refusal(502, 'upstream_failed', 'no usable response arrived')
MALFORMED_BODY = Refusal(400, 'malformed_request', 'the body is not valid HTTP')
INPUT_OVERLOADED = Refusal(
    503,
    'input_overloaded',
    'callers hold too much of the memory; the request was not run',
    timedelta(milliseconds=100),
)
EXPIRED = Refusal(503, 'expired', 'the time ran out before the request was run')
NOT_ACCEPTED = Refusal(
    503,
    'not_accepted',
    'no upstream accepted the request; it was not run',
    timedelta(milliseconds=100),
)
#: Another instance serves at once.
SHUTDOWN_RETRY_AFTER = timedelta(milliseconds=10)
SHUTTING_DOWN = Refusal(
    503,
    'shutting_down',
    'this instance is about to end; the request was not run',
    SHUTDOWN_RETRY_AFTER,
)
#: Range of ``Retry-After`` of an instance that reaches no upstream.
UNREACHABLE_RETRY_SECONDS = (0.1, 0.4)
#: Sent to a forwarding instance, which then dispatches the request itself.
CONFIG_BEHIND = Refusal(
    425, 'config_behind', 'the sender has a newer configuration'
)
#: Sent to a domain home, which then dispatches the request itself.
NO_SPARE_SLOT = Refusal(
    425, 'no_spare_slot', 'the upstreams of this instance are needed here'
)
#: Sent to a forwarding instance, which then looks for the present dispatcher.
DISPATCHER_REPLACED = Refusal(
    425, 'dispatcher_replaced', 'another instance dispatches these requests now'
)


def over_quota(retry_after: timedelta) -> Refusal:
    """Return the refusal of a request beyond the quota of its account."""
    return Refusal(
        429,
        'over_quota',
        'the client account is over its quota; the request was not run',
        retry_after,
    )


def not_placed(code: str, retry_after: timedelta) -> Refusal:
    """Return the refusal of a request for which no upstream was chosen."""
    return Refusal(503, code, 'the request was not run', retry_after)


def upstreams_unreachable(random: Random) -> Refusal:
    """Return the refusal of an instance that is cut off from all upstreams.

    Callers return one after the other, as a successor takes over or the first
    upstream responds.
    """
    return Refusal(
        503,
        'upstreams_unreachable',
        'this instance reaches no upstream; the request was not run',
        timedelta(seconds=random.uniform(*UNREACHABLE_RETRY_SECONDS)),
    )
