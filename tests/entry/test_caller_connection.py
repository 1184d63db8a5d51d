"""Guards against callers that hold a connection, and misread input."""

import asyncio
import re
from datetime import timedelta
from unittest.mock import Mock

from crocusproxy.clock import ManualClock
from crocusproxy.entry import caller_connection
from crocusproxy.entry.caller_connection import CallerConnection
from crocusproxy.entry.responses import CallerResponse
from crocusproxy.routes.model import CallerLimits

from .harness import run_scenario

HEAD = b'GET /safe/x HTTP/1.1\r\nHost: a.example\r\n\r\n'


class FakeGateway:
    """Answers each request once ``release`` is set."""

    def __init__(self):
        self.clock = ManualClock()
        self.limits = CallerLimits(header_timeout=timedelta(seconds=3))
        self.is_draining = False
        self.connections = set()
        self.release = asyncio.Event()
        self.handled_count = 0

    async def handle(self, request):
        self.handled_count += 1
        await self.release.wait()
        return CallerResponse(200, body=request.message.path.encode())


class Connection:
    def __init__(self):
        self.gateway = FakeGateway()
        self.protocol = CallerConnection(
            self.gateway, asyncio.get_running_loop()
        )
        self.transport = Mock()
        self.protocol.connection_made(self.transport)

    def advance(self, seconds):
        self.gateway.clock.advance(timedelta(seconds=seconds))
        self.protocol.enforce_timeouts(self.gateway.clock.monotonic())

    @property
    def written(self):
        calls = self.transport.write.call_args_list
        return b''.join(call.args[0] for call in calls)


def test_head_that_arrives_slowly_is_rejected():
    """Each byte restarted the timeout, so a caller could hold a connection."""

    async def scenario():
        connection = Connection()
        for number in range(7):
            connection.protocol.data_received(HEAD[number : number + 1])
            assert not connection.written
            connection.advance(0.5)
        assert b'408' in connection.written.split(b'\r\n')[0]

    asyncio.run(scenario())


def test_next_head_has_the_whole_timeout():
    async def scenario():
        connection = Connection()
        connection.gateway.release.set()
        connection.protocol.data_received(HEAD[:10])
        connection.advance(2)
        connection.protocol.data_received(HEAD[10:])
        await asyncio.sleep(0.01)
        connection.protocol.data_received(HEAD[:10])
        connection.advance(2)
        assert b'408' not in connection.written
        connection.advance(2)
        assert b'408' in connection.written

    asyncio.run(scenario())


def test_input_after_a_rejected_request_is_ignored(monkeypatch):
    """Each further piece was parsed and logged as another failure."""
    events = []
    monkeypatch.setattr(
        caller_connection, 'log', lambda event, **_: events.append(event)
    )

    async def scenario():
        connection = Connection()
        connection.protocol.data_received(HEAD)
        connection.protocol.data_received(b'not a request\r\n\r\n')
        connection.protocol.data_received(HEAD)
        connection.gateway.release.set()
        await asyncio.sleep(0.01)
        statuses = re.findall(rb'HTTP/1.1 (\d+)', connection.written)
        assert statuses == [b'200', b'400']
        assert connection.gateway.handled_count == 1
        assert events == ['request_not_handled']

    asyncio.run(scenario())


def test_rejected_request_gets_its_response_over_a_socket():
    async def scenario(system):
        caller = await system.connect()
        caller.writer.write(b'not a request\r\n\r\n')
        assert (await caller.read())[0] == 400
        caller.close()

    run_scenario(scenario)
