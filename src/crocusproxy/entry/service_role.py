"""Which upstreams of a service an instance dispatches to."""

from functools import partial
from typing import Protocol

from ..placement.placer import ServicePlacer


class ServiceRole(Protocol):
    """Tells, for each service, which upstreams this instance dispatches to."""

    def owns(self, service: str, failure_domain: str) -> bool:
        """Return whether to dispatch to the upstreams of a failure domain."""

    def is_exclusive(self, service: str) -> bool:
        """Return whether no other instance dispatches to these upstreams."""


def apply_role(
    placer: ServicePlacer, role: ServiceRole | None, *, is_exclusive: bool
) -> None:
    """Let a placer use the upstreams of its service that are owned.

    Upstreams with a rate limit are used only with ``is_exclusive``, and if no
    other instance dispatches the service to them.
    """
    if role is None:
        placer.set_exclusive(is_exclusive=is_exclusive)
        return
    placer.set_ownership(partial(role.owns, placer.service))
    placer.set_exclusive(
        is_exclusive=is_exclusive and role.is_exclusive(placer.service)
    )
