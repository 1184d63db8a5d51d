"""Names of the headers that a deployment uses, passed in by its adapter."""

from collections.abc import Callable
from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class UpstreamLoad:
    """An upstream's own view of its load.

    ``slowdown`` is the time that work takes there now, relative to the usual;
    None if the upstream doesn't tell.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float | None = None


@dataclass(frozen=True, slots=True)
class HeaderNames:
    """Header names, and the reader of the load header.

    ``signature`` marks a response as the upstream's own. ``not_run`` marks a
    response to a request that was not run. ``expected_upstream`` names the only
    upstream that may run a request; ``upstream`` names the one that answered.
    """

    request_id: str
    deadline: str
    signature: str
    expected_upstream: str
    upstream: str
    not_run: str
    load: str
    parse_load: Callable[[str], UpstreamLoad | None]
