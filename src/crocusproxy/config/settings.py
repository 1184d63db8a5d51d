"""Settings of the configuration daemon."""

from pydantic.dataclasses import dataclass

from ..settings import STRICT, InstanceIdentity, Listen, PlatformSettings


@dataclass(frozen=True, slots=True, config=STRICT)
class ConfigSettings:
    """Settings; ``peers`` are addresses of other configuration daemons."""

    instance: InstanceIdentity
    listen: Listen
    platform: PlatformSettings
    peers: tuple[str, ...] = ()
