"""One request on its way through this instance."""

from dataclasses import dataclass

from ..routes.model import Route
from .caller_connection import CallerRequest
from .upstream_call import OutgoingRequest


@dataclass(slots=True)
class RequestContext:
    """A request, its terms, and what has been tried; monotonic seconds.

    The response is due at ``deadline`` and of full use until ``target_at``.
    ``config_version`` is that of the configuration by which it was routed.
    ``may_have_run`` is set once it was sent and no upstream has said that it
    did not run.
    """

    request: CallerRequest
    outgoing: OutgoingRequest
    route: Route
    service: str
    config_version: int
    received_at: float
    deadline: float
    target_at: float
    tried_keys: frozenset[str] = frozenset()
    may_have_run: bool = False
    send_count: int = 0

    @property
    def request_id(self) -> str:
        """Return the id that the caller has given the request."""
        return self.outgoing.request_id
