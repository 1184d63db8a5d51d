"""State of one request in this instance."""

from dataclasses import dataclass

from ..routes.model import ClientAccount, RegisteredUpstream, Route
from .caller_request import CallerRequest
from .upstream_call import OutgoingRequest


@dataclass(slots=True)
class RequestContext:
    """A routed request, its deadlines and the calls so far.

    Times are monotonic seconds. The response is due at ``deadline``; after
    ``target_at`` it misses the target latency of the route. ``config_version``
    is the version of the configuration that routed the request. ``tried_keys``
    are the keys of the upstreams tried so far, and ``send_count`` is the number
    of attempts that sent the request. ``may_have_run`` is set after an attempt
    that sent it, unless the upstream reported that the request did not run.
    ``responder`` is the upstream whose response is returned. ``account``
    is the client account of the request's key, None if it has none;
    ``holds_token`` is set once the request has taken a token of its quota.
    ``is_answered`` is set once an attempt has a usable response; others in
    flight are cancelled. ``is_forwarded`` is set if another instance has
    forwarded the request.
    """

    request: CallerRequest
    outgoing_request: OutgoingRequest
    route: Route
    service: str
    config_version: int
    received_at: float
    deadline: float
    target_at: float
    tried_keys: frozenset[str] = frozenset()
    may_have_run: bool = False
    send_count: int = 0
    responder: RegisteredUpstream | None = None
    account: ClientAccount | None = None
    holds_token: bool = False
    is_answered: bool = False
    is_forwarded: bool = False

    @property
    def request_id(self) -> str:
        """Return the request id that the caller has set."""
        return self.outgoing_request.request_id

    @property
    def account_name(self) -> str:
        """Return the name of the client account, empty without one."""
        return '' if self.account is None else self.account.name

    @property
    def priority(self) -> int:
        """Return the priority of the account, or else that of the route."""
        if self.account is None or self.account.priority is None:
            return self.route.priority
        return self.account.priority
