"""Settings of ``crocus-proxy``."""

from dataclasses import field
from datetime import timedelta

from pydantic.dataclasses import dataclass

from ..durations import Duration
from ..settings import STRICT, InstanceIdentity, Listen, PlatformSettings

#: Without a platform the proxy refuses keyed requests.
NO_PLATFORM = PlatformSettings(address='')


@dataclass(frozen=True, slots=True, config=STRICT)
class ProxyLimits:
    """Limits on the resources that one caller or upstream can use.

    Sizes are in bytes. A response of at most ``buffered_response`` bytes is
    checked completely before it is sent to the caller; a larger one is
    streamed. ``head`` is the length of a request's head with the empty lines
    before it, and ``unserved_input`` bounds the memory of all callers' requests
    together. ``idle_connection`` is how long an idle connection to an upstream
    or a home is kept, ``idle_caller`` how long one of a caller is kept.
    """

    request_body: int = 8 * 1024 * 1024
    unserved_input: int = 32 * 1024 * 1024
    head: int = 64 * 1024
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

    ``feeds`` lists the addresses of configuration daemons, starting with this
    instance's own. ``locate_validity`` is how long a locate response is valid.
    ``drain_limit`` is the timeout of the drain at a shutdown. With
    ``log_answered`` each request is logged, otherwise only those that an
    upstream did not answer completely.
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
