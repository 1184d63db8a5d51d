"""Connects the request server with the instances that it forwards to."""

from random import Random

from ..clock import Clock
from ..membership.catalog import Catalog
from ..proxy.pool import ConnectionPool
from .dispatch_role import DispatchRole
from .home_forwarder import HomeForwarder
from .overflow import OverflowTargets
from .request_server import RequestServer
from .response_observer import ResponseObserver
from .upstream_messages import UpstreamMessages


def connect_forwarding(
    request_server: RequestServer,
    pool: ConnectionPool,
    messages: UpstreamMessages,
    clock: Clock,
    role: DispatchRole,
    observer: ResponseObserver,
    random: Random,
    catalog: Catalog,
) -> None:
    """Let requests be forwarded to the instances that dispatch them."""
    forwarder = HomeForwarder(
        pool,
        messages,
        clock,
        role.forwarding_address,
        observer.observe_relayed,
    )
    catalog.on_config.append(forwarder.apply_config)
    request_server.forwarder = forwarder
    request_server.overflow_targets = OverflowTargets(
        role.other_domain_homes, random, role.is_shared
    )
