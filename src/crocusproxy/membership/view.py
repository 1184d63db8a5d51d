"""The instance list that all programs share."""

from dataclasses import dataclass
from typing import Literal


@dataclass(frozen=True, slots=True)
class Instance:
    """One instance of the load balancer and the addresses of its programs.

    Addresses have the form ``IP:port``.
    """

    name: str
    failure_domain: str
    state: Literal['live', 'leaving']
    proxy: str
    proxy_admin: str
    locator: str
    config: str
    console: str = ''


@dataclass(frozen=True, slots=True)
class InstanceView:
    """A version of the instance list.

    ``leaving_upstreams`` holds upstream keys of the form ``service/name``.
    """

    version: int = 0
    instances: tuple[Instance, ...] = ()
    leaving_upstreams: frozenset[str] = frozenset()

    def live(self) -> tuple[Instance, ...]:
        """Return the instances that are not leaving."""
        return tuple(
            instance for instance in self.instances if instance.state == 'live'
        )
