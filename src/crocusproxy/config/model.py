"""The configuration document: services and the upstreams behind them."""

from collections.abc import Mapping
from dataclasses import dataclass as plain_dataclass
from dataclasses import field
from datetime import timedelta
from typing import Annotated

from pydantic import PlainSerializer
from pydantic.dataclasses import dataclass

from ..durations import Duration
from ..settings import STRICT
from .table import UpstreamTable


@dataclass(frozen=True, slots=True, config=STRICT)
class Upstream:
    """One server of a service; ``address`` has the form IP:port.

    ``slots`` is the number of requests that it can run at once.
    """

    name: str
    service: str
    address: str
    failure_domain: str
    slots: int

    @property
    def key(self) -> str:
        """Return the key that identifies the upstream in a document."""
        return f'{self.service}/{self.name}'


@dataclass(frozen=True, slots=True, config=STRICT)
class OlderBalancer:
    """The balancer being replaced; it still receives ``share`` of callers."""

    address: str
    share: float


@dataclass(frozen=True, slots=True, config=STRICT)
class Objective:
    """Service level objective for the duration of requests.

    Of the requests in each ``window``, at least ``share`` must end in the time
    ``within``.
    """

    within: Duration = timedelta(milliseconds=250)
    share: float = 0.99
    window: Duration = timedelta(days=28)


@dataclass(frozen=True, slots=True, config=STRICT)
class ProbeBudget:
    """Limits on the probes of one service, summed over all instances.

    ``per_second`` is a number of probes.
    """

    per_second: float = 2
    bytes_per_second: int = 4096


@dataclass(frozen=True, slots=True, config=STRICT)
class Service:
    """How the requests of one service are balanced and limited.

    ``depth`` is the number of requests sent to an upstream beyond its slots,
    ``queue`` the number that may wait at one home, an instance that dispatches
    the requests of the service. ``homes`` is the number of these instances.
    ``retry_share`` limits retries to a share of the requests,
    ``max_eject_share`` ejections to a share of the upstreams.
    """

    name: str
    deadline: Duration = timedelta(seconds=2)
    homes: int = 1
    depth: int = 3
    queue: int = 256
    retry_share: float = 0.02
    max_eject_share: float = 0.5
    probe_budget: ProbeBudget = field(default_factory=ProbeBudget)
    objective: Objective = field(default_factory=Objective)
    older_balancer: OlderBalancer | None = None


Upstreams = Annotated[
    Mapping[str, Upstream],
    PlainSerializer(dict, return_type=dict[str, Upstream]),
]


# Not a pydantic data class: its constructor would validate every upstream
# again for each generation. The codec validates documents from outside.
@plain_dataclass(frozen=True, slots=True)
class Document:
    """One generation of the configuration.

    ``upstreams`` is keyed by ``service/name``.
    """

    generation: int = 0
    services: Mapping[str, Service] = field(default_factory=dict)
    upstreams: Upstreams = field(default_factory=dict)

    def __post_init__(self) -> None:
        """Group the upstreams by service."""
        table = UpstreamTable.from_mapping(self.upstreams)
        object.__setattr__(self, 'upstreams', table)  # noqa: WPS609 - frozen

    @property
    def table(self) -> UpstreamTable:
        """Return the upstreams grouped by service."""
        return UpstreamTable.from_mapping(self.upstreams)

    def upstreams_of(self, service: str) -> tuple[Upstream, ...]:
        """Return the upstreams of one service, ordered by key."""
        group = self.table.group(service)
        return tuple(group[key] for key in sorted(group))
