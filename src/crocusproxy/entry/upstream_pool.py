"""The connections of an entry instance to the upstreams."""

from datetime import timedelta
from functools import partial

from ..proxy.pool import ConnectionPool, CrashListener
from .response_budget import budget_of
from .settings import EntrySettings
from .upstream_connection import MatchingConnection

_CONNECT_TIMEOUT = timedelta(seconds=1)
#: Idle connections to upstreams are closed after this time. Upstreams also
#: close them, after a timeout of their own.
_UPSTREAM_IDLE_LIMIT = timedelta(seconds=8)


def create_pool(
    settings: EntrySettings, on_crash: CrashListener
) -> ConnectionPool:
    """Return the pool of connections that match responses to requests."""
    return ConnectionPool(
        _CONNECT_TIMEOUT,
        _UPSTREAM_IDLE_LIMIT,
        on_crash=on_crash,
        connection_type=partial(
            MatchingConnection,
            budget=budget_of(settings.capacity.memory_mb),
        ),
        source=str(settings.source or ''),
    )
