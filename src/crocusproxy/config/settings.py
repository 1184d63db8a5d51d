"""Settings of the configuration daemon."""

from datetime import timedelta

from pydantic.dataclasses import dataclass

from ..durations import Duration
from ..settings import STRICT, InstanceIdentity, Listen


@dataclass(frozen=True, slots=True, config=STRICT)
class PlatformSettings:
    """``retention`` is how long the log service keeps records."""

    address: str
    retention: Duration = timedelta(days=7)


@dataclass(frozen=True, slots=True, config=STRICT)
class ConfigSettings:
    """``peers`` are addresses of other configuration daemons."""

    identity: InstanceIdentity
    listen: Listen
    platform: PlatformSettings
    peers: tuple[str, ...] = ()
