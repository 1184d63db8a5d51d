"""Settings of ``crocus-locator``."""

from datetime import timedelta
from typing import Annotated

from pydantic import Field
from pydantic.dataclasses import dataclass

from ..durations import Duration
from ..settings import STRICT, InstanceIdentity, Listen


@dataclass(frozen=True, slots=True, config=STRICT)
class LocatorSettings:
    """Contents of the settings file.

    Attributes:
        feeds: addresses of configuration daemons, IP:port; the instance's own
            comes first, the others are used if it does not respond.
        nearest: other failure domains, the nearest first.
        locate_validity: how long callers may cache a response.
    """

    instance: InstanceIdentity
    listen: Listen
    feeds: Annotated[tuple[str, ...], Field(min_length=1)]
    nearest: tuple[str, ...] = ()
    locate_validity: Duration = timedelta(seconds=5)

    def domains(self) -> tuple[str, ...]:
        """Return failure domains by distance, the instance's own first."""
        return (self.instance.failure_domain, *self.nearest)
