"""Shutdown of an instance without a loss of requests."""

import asyncio
from datetime import timedelta

from ..clock import Clock
from ..http_server.port_close import close_port
from ..logs import log
from .caller_connection import CallerConnection
from .gateway import Gateway

#: Share of the shutdown time during which every request is accepted; afterwards
#: only requests whose deadline is before the last response.
_ACCEPT_ALL_SHARE = 0.4
#: Time between the last possible response and the kill by the platform.
_LAST_RESPONSE_MARGIN_SECONDS = 0.5
#: Share of the shutdown time after which new connections are refused.
_STOP_LISTENING_SHARE = 0.7
_CHECK_SECONDS = 0.05
#: Time in which refusals are written.
_REFUSAL_SECONDS = 0.01


async def drain_callers(
    gateway: Gateway,
    server: asyncio.AbstractServer,
    clock: Clock,
    shutdown: timedelta,
) -> None:
    """Close the port of ``server`` and return once callers have all responses.

    The process is killed ``shutdown`` after this call. A request that is still
    waiting for an upstream shortly before is refused: it has not run, and
    without a response its caller could not tell.
    """
    shutdown_seconds = shutdown.total_seconds()
    now = clock.monotonic().total_seconds()
    gateway.ends_at = now + shutdown_seconds - _LAST_RESPONSE_MARGIN_SECONDS
    await asyncio.sleep(shutdown_seconds * _ACCEPT_ALL_SHARE)
    gateway.refuses_late = True
    await asyncio.sleep(
        shutdown_seconds * (_STOP_LISTENING_SHARE - _ACCEPT_ALL_SHARE)
    )
    await _close_port(gateway, server)
    while _has_work(gateway, clock):
        if _is_due(gateway, clock):
            gateway.dispatcher.refuse_waiting()
        await asyncio.sleep(_CHECK_SECONDS)


async def _close_port(gateway: Gateway, server: asyncio.AbstractServer) -> None:
    """Refuse new connections; the ones that callers have made are served."""
    loop = asyncio.get_running_loop()
    accepted = await close_port(server, lambda: CallerConnection(gateway, loop))
    log('port_closed', in_flight=gateway.in_flight, accepted=accepted)


async def refuse_remaining(gateway: Gateway) -> None:
    """Refuse what still waits for an upstream as the process ends.

    On a busy host the drain can be over before it has refused these.
    """
    gateway.dispatcher.refuse_waiting()
    await asyncio.sleep(_REFUSAL_SECONDS)


def _has_work(gateway: Gateway, clock: Clock) -> bool:
    """End idle connections, and return whether callers need this process.

    After the last possible response, only requests that are at work keep it.
    The kernel goes on sending what is outstanding then.
    """
    are_receiving = gateway.end_idle_connections()
    if gateway.has_open_requests():
        return True
    return are_receiving and not _is_due(gateway, clock)


def _is_due(gateway: Gateway, clock: Clock) -> bool:
    return clock.monotonic().total_seconds() >= gateway.ends_at
