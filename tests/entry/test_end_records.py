"""Guards against records that blame this instance for a caller's reset."""

import asyncio
import socket
import struct

from crocusproxy.entry.connection_end import EndCause

from .harness import make_server, run_scenario
from .test_caller_connection import Connection
from .test_outstanding_responses import (
    CONFIG,
    REQUEST_COUNT,
    all_ran,
    answer_with_body,
    connect_slow,
    send_pipelined,
    wait_until,
)

#: SO_LINGER: on, for no time, so that a close sends a reset.
RESET_AT_CLOSE = struct.pack('ii', 1, 0)


def reset(connection):
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)


def test_reset_by_the_caller_during_a_stop_is_not_recorded_as_the_stops():
    """OPERATIONS.md has its requests reported as lost by this instance."""

    async def scenario(system):
        (server,) = system.servers
        answer_with_body(server)
        caller = await connect_slow(system)
        send_pipelined(caller)
        await wait_until(lambda: all_ran(server))
        system.gateway.is_draining = True
        await wait_until(lambda: not system.gateway.in_flight)
        reset(caller.writer.get_extra_info('socket'))
        caller.writer.transport.abort()
        await wait_until(lambda: not system.gateway.connections)
        (cause,) = (
            fields['cause']
            for event, fields in system.log_lines
            if event == 'connection_ended'
        )
        assert cause is EndCause.ERROR

    server = make_server(slots=REQUEST_COUNT, work=0.1)
    run_scenario(scenario, [server], CONFIG)


def test_unacknowledged_end_is_no_unacknowledged_response():
    """The kernel counts the end of the stream as one byte."""

    async def scenario():
        connection = Connection()
        connection.send(0, headers='Connection: close\r\n')
        await connection.finish()
        connection.set_outstanding(1)
        connection.protocol.connection_lost(ConnectionResetError())
        assert not connection.gateway.ends

    asyncio.run(scenario())


def test_reset_that_is_not_noticed_yet_ends_no_stop():
    """On asyncio's loop the half-close raised, which ended the drain."""

    async def scenario(system):
        host, _, port = system.address.rpartition(':')
        caller = socket.create_connection((host, int(port)))
        await wait_until(lambda: system.gateway.connections)
        (connection,) = system.gateway.connections
        reset(caller)
        caller.close()
        system.gateway.end_idle_connections()
        await wait_until(lambda: not system.gateway.connections)

    run_scenario(scenario)
