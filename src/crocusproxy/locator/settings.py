"""Settings of ``crocus-locator``."""

from datetime import timedelta

from pydantic.dataclasses import dataclass

from ..durations import Duration
from ..settings import STRICT, InstanceIdentity, Listen


@dataclass(frozen=True, slots=True, config=STRICT)
class LocatorSettings:
    """Contents of the settings file.

    Attributes:
        config: address of the instance's own configuration daemon, IP:port.
        peers: configuration daemons of other instances, asked if it is down.
        nearest: other failure domains, the nearest first.
        validity: how long callers keep an answer.
    """

    instance: InstanceIdentity
    listen: Listen
    config: str
    peers: tuple[str, ...] = ()
    nearest: tuple[str, ...] = ()
    validity: Duration = timedelta(seconds=5)

    def domains(self) -> tuple[str, ...]:
        """Return failure domains by distance, the instance's own first."""
        return (self.instance.failure_domain, *self.nearest)
