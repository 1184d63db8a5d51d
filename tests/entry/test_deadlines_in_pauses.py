"""Guards against deadlines that pass before earlier input was read."""

import asyncio
import socket
import time

from crocusproxy.clock import SystemClock
from crocusproxy.event_loop.input_first_loop import InputFirstLoop
from crocusproxy.event_loop.pause_monitor import PauseMonitor

from .harness import HOST, make_config, make_server, run_scenario

DEADLINE_SECONDS = 0.4
PAUSE_SECONDS = 0.6
SETTLE_SECONDS = 0.12
CONFIG = make_config(timeout=10.0)


def run_observed(scenario, servers=()):
    """Run a scenario on the loop of all programs, which notes its pauses."""

    async def observed(system):
        loop = asyncio.get_running_loop()
        loop.pauses = PauseMonitor(SystemClock(), lambda _, **fields: None)
        loop.pauses.start()
        await asyncio.sleep(SETTLE_SECONDS)
        try:
            await scenario(system)
        finally:
            loop.pauses.stop()

    run_scenario(observed, servers, CONFIG, InputFirstLoop)


async def send_and_pause(connection, message):
    """Send as a pause begins in which the loop waits for input."""
    loop = asyncio.get_running_loop()
    near, far = socket.socketpair()
    ended = asyncio.Event()

    def act():
        loop.remove_reader(near)
        connection.send(message)
        time.sleep(PAUSE_SECONDS)
        ended.set()

    loop.add_reader(near, act)
    far.send(b'x')
    await ended.wait()
    near.close()
    far.close()


def make_request(name, body_bytes=0):
    return (
        f'POST /once/x HTTP/1.1\r\nHost: {HOST}\r\n'
        f'X-Crocusproxy-Request-Id: {name}\r\n'
        f'X-Crocusproxy-Deadline-Milliseconds: {DEADLINE_SECONDS * 1000}\r\n'
        f'Content-Length: {body_bytes}\r\n\r\n'
    ).encode()


def make_response(request):
    head = request.decode().lower()
    name = head.partition('request-id: ')[2].partition('\r\n')[0]
    return (
        'HTTP/1.1 200 OK\r\nX-Crocusproxy-Response-Signature: i-1\r\n'
        f'X-Crocusproxy-Request-Id: {name}\r\nContent-Length: 0\r\n\r\n'
    ).encode()


class RawUpstream:
    """A port whose connections are taken without protocols."""

    key = 'i-1'
    slots = 1

    async def start(self):
        self.socket = socket.create_server(('127.0.0.1', 0))
        self.socket.setblocking(False)
        self.address = f'127.0.0.1:{self.socket.getsockname()[1]}'

    async def take_request(self):
        loop = asyncio.get_running_loop()
        self.connection, _ = await loop.sock_accept(self.socket)
        return await loop.sock_recv(self.connection, 4096)

    def stop(self):
        self.socket.close()
        self.connection.close()


def connect(system):
    host, _, port = system.address.rpartition(':')
    caller = socket.create_connection((host, int(port)))
    caller.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    caller.setblocking(False)
    return caller


async def receive_head(caller):
    loop = asyncio.get_running_loop()
    return (await loop.sock_recv(caller, 4096)).lower()


def test_response_that_arrives_in_time_in_a_pause_is_passed_on():
    """The timer of the deadline acted before the response was read."""
    upstream = RawUpstream()

    async def scenario(system):
        caller = connect(system)
        caller.send(make_request('r1'))
        response = make_response(await upstream.take_request())
        await send_and_pause(upstream.connection, response)
        assert b' 200 ' in await receive_head(caller)
        caller.close()

    run_observed(scenario, [upstream])


def test_body_that_arrives_in_time_in_a_pause_keeps_its_connection():
    """The deadline ended it with the rest of the body unread."""

    async def scenario(system):
        caller = connect(system)
        caller.send(make_request('r1', body_bytes=2) + b'x')
        await asyncio.sleep(DEADLINE_SECONDS / 2)
        await send_and_pause(caller, b'x')
        head = await receive_head(caller)
        assert b' 503 ' in head
        assert b'connection: close' not in head
        caller.close()

    run_observed(scenario, [make_server()])
