"""Requests, arrivals and disturbances recorded during a run."""

from dataclasses import dataclass, field
from math import inf
from typing import Literal

Outcome = Literal['answered', 'cut', 'left', 'late', 'not_sent']


@dataclass(slots=True)
class SentRequest:
    """A request as its caller observed it; times in seconds of the run.

    ``instance`` is the number of the instance that received the request.
    ``outcome`` is ``cut`` if the connection ended without a complete response,
    ``late`` if no response came before the timeout, and ``left`` if the caller
    abandoned the request.
    """

    request_id: str
    path: str
    idempotent: bool
    instance: int
    sent_at: float
    outcome: Outcome = 'not_sent'
    ended_at: float = 0
    status: int = 0
    body: str = ''
    is_signed: bool = False
    #: The API key that the request contained, if any.
    key: str = ''
    #: Sent while an earlier request on the connection had no response.
    is_behind: bool = False


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request received by an upstream; ``has_run`` if processing began.

    ``upstream`` is the key of the server, ``account`` the name that the request
    contained. ``leaks_key`` if it also contained an API key, and
    ``is_misdirected`` if the server responded with status 421.
    """

    request_id: str
    path: str
    service: str
    arrived_at: float
    has_run: bool
    upstream: str = ''
    account: str = ''
    leaks_key: bool = False
    is_misdirected: bool = False


@dataclass(frozen=True, slots=True)
class InstanceDisturbance:
    """A period in which an instance was killed, stopped or paused."""

    instance: int
    start: float
    end: float
    is_planned: bool


@dataclass(slots=True)
class BriefPause:
    """A period in which an instance was stopped; ``end`` is inf meanwhile."""

    instance: int
    start: float
    end: float = inf


@dataclass(frozen=True, slots=True)
class InstancePause:
    """A pause that an instance logged, in seconds of the run."""

    instance: int
    ended_at: float
    seconds: float
    busy_seconds: float

    def __str__(self) -> str:
        return (
            f'n{self.instance} paused for {self.seconds:.2f} s before second '
            f'{self.ended_at:.2f}, busy for {self.busy_seconds:.2f} s of it'
        )


@dataclass(frozen=True, slots=True)
class UpstreamDisturbance:
    """A period in which an upstream or the link to it was faulty."""

    start: float
    end: float


@dataclass(frozen=True, slots=True)
class ObserverDelay:
    """A period in which the soak's own process did not run its callers.

    It was ready to run and had no processor for ``waited`` seconds of it.
    """

    start: float
    end: float
    waited: float = 0


@dataclass(frozen=True, slots=True)
class UpstreamCut:
    """A period in which an instance could not connect to upstreams."""

    instance: int
    start: float
    end: float


@dataclass(slots=True)
class Statement:
    """Terms that a server stated, from ``set_at`` to ``ended_at``.

    ``figure`` is the limit in requests per second, or the backoff in seconds.
    ``told_at`` is the time of the first response with the terms.
    """

    upstream: str
    terms: Literal['limit', 'leave', 'backoff']
    figure: float
    set_at: float
    told_at: float | None = None
    ended_at: float = inf


@dataclass(frozen=True, slots=True)
class StoreDisturbance:
    """A period in which instances could not rely on the store."""

    start: float
    end: float
    is_restore: bool = False


@dataclass(slots=True)
class KeyPeriod:
    """When configurations with an API key were written; -inf for always."""

    account: str
    added_at: float = -inf
    removed_at: float = inf


@dataclass(frozen=True, slots=True)
class Quota:
    """Quota of a client account in requests per second and in requests."""

    rate: float
    burst: float


@dataclass(frozen=True, slots=True)
class QuotaChange:
    """A quota that was written at ``at`` in place of an earlier one."""

    account: str
    at: float
    quota: Quota


@dataclass(slots=True)
class Evacuation:
    """A period in which a failure domain was listed as evacuated."""

    failure_domain: str
    start: float
    end: float = inf


@dataclass(slots=True)
class ColdPeriod:
    """A period in which a server tolerated ``rate`` requests per second.

    ``told_at`` is the time at which instances could know of it.
    """

    upstream: str
    rate: float
    start: float
    end: float
    told_at: float | None = None


@dataclass(frozen=True, slots=True)
class ConnectionEnd:
    """A caller's connection that an instance logged as ended.

    ``stages`` has the stage of each request that was open, by request id.
    """

    instance: int
    cause: str
    reason: str
    stages: tuple[tuple[str, str], ...]


@dataclass(slots=True)
class RunRecord:
    """The observations of a run against which the invariants are checked."""

    requests: list[SentRequest] = field(default_factory=list)
    arrivals: list[Arrival] = field(default_factory=list)
    #: Probes that arrived, by the key of the server.
    probe_times: dict[str, list[float]] = field(default_factory=dict)
    statements: list[Statement] = field(default_factory=list)
    instance_disturbances: list[InstanceDisturbance] = field(
        default_factory=list
    )
    brief_pauses: list[BriefPause] = field(default_factory=list)
    #: Pauses that no fault caused, the longest ones first.
    instance_pauses: list[InstancePause] = field(default_factory=list)
    upstream_disturbances: list[UpstreamDisturbance] = field(
        default_factory=list
    )
    upstream_cuts: list[UpstreamCut] = field(default_factory=list)
    observer_delays: list[ObserverDelay] = field(default_factory=list)
    instance_count: int = 2
    store_disturbances: list[StoreDisturbance] = field(default_factory=list)
    #: API keys of all configurations; without any, no request needs one.
    keys: dict[str, KeyPeriod] = field(default_factory=dict)
    #: First quotas by the name of the client account.
    quotas: dict[str, Quota] = field(default_factory=dict)
    #: Later quotas in the order of their times.
    quota_changes: list[QuotaChange] = field(default_factory=list)
    anonymous_paths: set[str] = field(default_factory=set)
    evacuations: list[Evacuation] = field(default_factory=list)
    #: Failure domains by the key of the server.
    failure_domains: dict[str, str] = field(default_factory=dict)
    cold_periods: list[ColdPeriod] = field(default_factory=list)
    #: Services to which any configuration routed a path, by path.
    allowed_services: dict[str, set[str]] = field(default_factory=dict)
    connection_ends: list[ConnectionEnd] = field(default_factory=list)
    #: Unexpected exits, forbidden log lines and failed recovery checks.
    violations: list[str] = field(default_factory=list)

    def is_stopped(self, instance: int) -> bool:
        """Return whether an instance is in a brief pause now."""
        return any(
            pause.instance == instance and pause.end == inf
            for pause in self.brief_pauses
        )

    def stopped_seconds(self, instance: int, start: float, end: float) -> float:
        """Return how long an instance was in brief pauses in a period."""
        return sum(
            max(min(pause.end, end) - max(pause.start, start), 0)
            for pause in self.brief_pauses
            if pause.instance == instance
        )
