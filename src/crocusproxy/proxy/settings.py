"""Settings of ``crocus-proxy``."""

from dataclasses import field
from datetime import timedelta

from pydantic.dataclasses import dataclass

from ..durations import Duration
from ..settings import STRICT, InstanceIdentity, Listen, PlatformSettings

#: Keyed requests are refused by a proxy that has no platform.
NO_PLATFORM = PlatformSettings(address='')


@dataclass(frozen=True, slots=True, config=STRICT)
class ProxyLimits:
    """Bounds on what one caller or upstream can make the proxy hold.

    A response of at most ``buffered_response`` bytes is checked as a whole
    before it is passed on; a larger one is streamed.
    """

    request_body: int = 8 * 1024 * 1024
    header_field: int = 8190
    header_count: int = 100
    buffered_response: int = 1024 * 1024
    queued_per_caller: int = 64
    attempts: int = 3
    connect_timeout: Duration = timedelta(seconds=1)
    # Shorter than the 5 s after which common servers close idle connections.
    idle_connection: Duration = timedelta(seconds=4)
    idle_caller: Duration = timedelta(seconds=75)
    max_timeout: Duration = timedelta(hours=1)


@dataclass(frozen=True, slots=True, config=STRICT)
class ProxySettings:
    """Settings file of ``crocus-proxy``.

    ``feeds`` lists addresses of configuration daemons, the own instance's
    first. ``locate_validity`` is how long a locate response may be used.
    """

    instance: InstanceIdentity
    listen: Listen
    admin: Listen
    feeds: tuple[str, ...]
    platform: PlatformSettings = NO_PLATFORM
    limits: ProxyLimits = field(default_factory=ProxyLimits)
    locate_validity: Duration = timedelta(seconds=5)
    drain_limit: Duration = timedelta(seconds=60)
    log_answered: bool = False
