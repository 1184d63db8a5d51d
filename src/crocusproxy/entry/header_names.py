"""Header names of a deployment, defined by its platform adapter."""

from collections.abc import Callable
from dataclasses import dataclass
from datetime import timedelta


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """Load that an upstream reports: requests running and waiting, and slots.

    ``slowdown`` is the current service time relative to the usual one, None if
    not reported.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names and the parser of the load header.

    ``signature`` marks a response as the upstream's own. ``not_run`` marks a
    response to a request that was not run. ``expected_upstream`` contains the
    key of the only upstream that may run a request, ``upstream`` that of the
    upstream that responded. ``rate_limit`` contains the requests per second
    that an upstream takes from all instances together. ``leaving`` marks the
    responses of an upstream that is about to end. ``authorization`` contains
    the API key of a caller, and ``account`` tells upstreams the name of the
    client account that holds it. ``warm_up`` is how long an upstream stays
    cold.
    """

    request_id: str
    deadline: str
    signature: str
    expected_upstream: str
    upstream: str
    not_run: str
    load: str
    rate_limit: str
    leaving: str
    authorization: str
    account: str
    warm_up: str
    parse_load: Callable[[str], UpstreamLoad | None]
    parse_rate_limit: Callable[[str], float | None]
    parse_warm_up: Callable[[str], timedelta | None]
