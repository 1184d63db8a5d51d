"""One exchange over a pooled connection to an upstream or to the home."""

from collections.abc import Awaitable, Callable, Iterator
from contextlib import contextmanager
from math import inf
from typing import TypeVar

from ..placement.upstream_reach import UpstreamReach
from ..proxy.connection import BrokenResponseError, DeadlineError
from ..proxy.pool import ConnectionPool, NotOpenedError
from .call_results import NotRun, ResponseLost
from .upstream_connection import MatchingConnection

_Response = TypeVar('_Response')


async def exchange_over(
    pool: ConnectionPool,
    address: str,
    request_id: str,
    timeout: float,
    idle_limit: float | None,
    exchange: Callable[[MatchingConnection], Awaitable[_Response]],
    on_not_opened: Callable[[], None] | None = None,
    limit: float = inf,
) -> _Response | NotRun | ResponseLost:
    """Take or open a connection and return the result of ``exchange``.

    An idle connection is reused if it was idle for less than ``idle_limit``
    seconds and its last request had another ``request_id``; a new one must open
    within ``timeout`` seconds, or ``on_not_opened`` is called. Pauses of this
    process extend that time, to at most ``limit`` seconds. Without a connection
    the request did not run; after a broken exchange it may have.
    """
    try:
        connection = await pool.take_or_open(
            address, request_id, timeout, idle_limit, limit
        )
    except NotOpenedError as error:
        if on_not_opened is not None:
            on_not_opened()
        return NotRun(str(error), reported_by_upstream=False)
    assert isinstance(connection, MatchingConnection)
    try:
        return await exchange(connection)
    except DeadlineError:
        return ResponseLost('no response in time', is_timeout=True)
    except (BrokenResponseError, OSError) as error:
        await pool.wait_for_crash_check(address)
        return ResponseLost(str(error))
    finally:
        pool.release(address, connection)


@contextmanager
def recorded_in(
    reach: UpstreamReach, key: str, connection: MatchingConnection
) -> Iterator[None]:
    """Record whether an exchange with the upstream ``key`` has a response.

    A missed deadline is no evidence: the upstream may be slow.
    """
    is_new_connection = not connection.has_been_used
    try:
        yield
    except DeadlineError:
        raise
    except (BrokenResponseError, OSError):
        if is_new_connection:
            reach.failed(key)
        raise
    reach.responded(key, is_new_connection=is_new_connection)
