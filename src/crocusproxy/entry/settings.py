"""Settings of ``crocus-entry``."""

from dataclasses import field
from datetime import timedelta
from ipaddress import IPv4Address, IPv6Address
from typing import Annotated, Any

from pydantic import (
    AfterValidator,
    BeforeValidator,
    ValidationInfo,
    field_validator,
)
from pydantic.dataclasses import dataclass

from ..durations import Duration
from ..settings import STRICT, InstanceIdentity, Listen


def _split_address(raw: Any) -> Any:
    if not isinstance(raw, str):
        return raw
    host, _, port = raw.rpartition(':')
    if not host or not port.isdigit():
        raise ValueError('host:port, such as 10.0.0.1:8080')
    return {'host': host, 'port': int(port)}


def _check_window(window: timedelta) -> timedelta:
    if window < _MIN_HEDGING_WINDOW:
        raise ValueError('1s or more')
    return window


def _check_positive(duration: timedelta) -> timedelta:
    if not duration:
        raise ValueError('a duration above 0s')
    return duration


_MIN_HEDGING_WINDOW = timedelta(seconds=1)
#: Written as ``host:port``.
Address = Annotated[Listen, BeforeValidator(_split_address)]


@dataclass(frozen=True, slots=True, config=STRICT)
class Bounds:
    """Limits that the deployment has agreed on with its platform.

    In any ``budget_window`` all instances together may retry ``budget_ratio``
    of the requests for a service, plus ``budget_slack``. ``shutdown`` is the
    time from SIGTERM until the process is killed. Each upstream may be probed
    ``probes_per_second`` times a second. ``max_validity`` limits the validity
    of address lists. In any ``quota_window`` all instances together may exceed
    the quota of a client account by the share ``quota_overage`` and by
    ``quota_slack`` requests. In any second, all instances together may send a
    cold upstream ``warm_up_overage`` times the rate that it tolerates, and
    ``warm_up_slack`` requests. Each upstream reports to the store about every
    ``upstream_heartbeat``.
    """

    budget_ratio: float = 0.2
    budget_slack: float = 50
    budget_window: Duration = timedelta(seconds=10)
    shutdown: Duration = timedelta(seconds=6)
    probes_per_second: float = 20
    max_validity: Duration = timedelta(seconds=5)
    quota_window: Duration = timedelta(seconds=5)
    quota_overage: float = 0.1
    quota_slack: float = 20
    warm_up_overage: float = 1
    warm_up_slack: float = 0
    upstream_heartbeat: Annotated[Duration, AfterValidator(_check_positive)] = (
        timedelta(milliseconds=1500)
    )


@dataclass(frozen=True, slots=True, config=STRICT)
class Hedging:
    """Limit of hedges, which are second attempts of requests that take long.

    In a ``window`` at most ``max_extra_share`` of the requests for a service
    may be sent a second time; with 0 none are. Hedges spend the budget of
    retries as well.
    """

    max_extra_share: float = 0
    window: Annotated[Duration, AfterValidator(_check_window)] = timedelta(
        seconds=10
    )


@dataclass(frozen=True, slots=True, config=STRICT)
class Capacity:
    """Capacity of the instance; the largest instances are chosen as home.

    ``cpu_share`` is the usable share of ``cores``.
    """

    cpu_share: float = 1.0
    cores: float = 1.0
    memory_mb: int = 256
    link_mbps: float = 1000.0


@dataclass(frozen=True, slots=True, config=STRICT)
class EntrySettings:
    """Settings file of ``crocus-entry``.

    ``callers`` is the port for requests, ``directory`` serves the address list,
    ``readiness`` the platform's checks, and ``internal`` the other instances.
    ``control`` serves instances that start with this one as a seed: ``seeds``
    lists control addresses of other instances for a start without the store.
    ``validity`` is how long a caller may use the address list. Connections to
    upstreams and other instances come from the IP address ``source``; without
    it, the operating system chooses one. ``hedging`` is off by default.
    """

    instance: InstanceIdentity
    callers: Address
    directory: Address
    readiness: Address
    control: Address
    internal: Address
    metrics: Address
    store: str
    seeds: tuple[str, ...] = ()
    source: IPv4Address | IPv6Address | None = None
    bounds: Bounds = field(default_factory=Bounds)
    capacity: Capacity = field(default_factory=Capacity)
    validity: Duration = timedelta(seconds=5)
    hedging: Hedging = field(default_factory=Hedging)

    @field_validator('hedging')
    @classmethod
    def check_hedging(cls, hedging: Hedging, info: ValidationInfo) -> Hedging:
        """Check that hedges fit into the budget of retries."""
        # Without valid bounds, their own fault is reported.
        ratio = info.data.get('bounds', Bounds()).budget_ratio
        if 0 <= hedging.max_extra_share <= ratio:
            return hedging
        raise ValueError(
            f'a max_extra_share from 0 to bounds.budget_ratio ({ratio})'
        )
