"""Guards against own pauses that count against probed upstreams."""

import asyncio
import time
from datetime import timedelta
from functools import partial

import pytest

from crocusproxy.entry.probe_exchange import exchange_probe
from crocusproxy.entry.prober import PROBE_TIMEOUT_SECONDS
from crocusproxy.entry.response_budget import ResponseBudget
from crocusproxy.entry.upstream_connection import MatchingConnection
from crocusproxy.platform.headers import HEADER_NAMES
from crocusproxy.proxy.connection import DeadlineError
from crocusproxy.proxy.pool import ConnectionPool
from crocusproxy.routes.model import RegisteredUpstream
from tests.event_loop.observed_loop import run
from tests.event_loop.remote_peer import remote_peer

PAUSE_SECONDS = 0.4
BUDGET_BYTES = 1024 * 1024
RESPONSE = (
    f'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n{HEADER_NAMES.upstream}: i-1\r\n'
    '\r\n'
).encode()


def respond(connection):
    time.sleep(0.06)
    connection.sendall(RESPONSE)


def ignore(connection):
    time.sleep(PROBE_TIMEOUT_SECONDS + 1)


async def probe(address, pause_seconds):
    """Return the status of a health response, and how long it took."""
    loop = asyncio.get_running_loop()
    pool = ConnectionPool(
        timedelta(seconds=1),
        timedelta(seconds=1),
        connection_type=partial(
            MatchingConnection, budget=ResponseBudget(BUDGET_BYTES)
        ),
    )
    connection = await pool.open(address, 1)
    entry = RegisteredUpstream('i-1', 's', address, 'a', 1, False, 1, 1)
    started_at = loop.time()
    exchange = asyncio.create_task(
        exchange_probe(
            connection, entry, '/', HEADER_NAMES, PROBE_TIMEOUT_SECONDS
        )
    )
    # In the run of the loop in which the request is written.
    loop.call_soon(time.sleep, pause_seconds)
    try:
        message = await exchange
    except DeadlineError:
        return None, loop.time() - started_at
    finally:
        pool.release(address, connection)
        pool.close()
    return message.code, loop.time() - started_at


def test_upstream_that_answers_in_time_has_not_failed():
    """A pause must not make it unreachable, or keep requests from it.

    The request is written at once, so the response arrives in the pause and is
    read before the timer acts.
    """
    with remote_peer(respond) as address:
        status, _ = run(lambda: probe(address, PAUSE_SECONDS))
    assert status == 200


@pytest.mark.parametrize('pause_seconds', [0, PAUSE_SECONDS])
def test_silent_upstream_is_noticed(pause_seconds):
    with remote_peer(ignore) as address:
        status, seconds = run(lambda: probe(address, pause_seconds))
    assert status is None
    assert seconds < PROBE_TIMEOUT_SECONDS + 2 * pause_seconds + 0.2
