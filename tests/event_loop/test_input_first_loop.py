"""Guards against timers that act before earlier input was read."""

import asyncio
import socket
import time

import pytest
import uvloop

from .observed_loop import run

PAUSE_SECONDS = 0.3
TIMEOUT_SECONDS = 0.25


async def read_in_a_pause(timeout=TIMEOUT_SECONDS):
    """Return what arrives in a pause that outlasts the time for it."""
    near, far = socket.socketpair()
    near.setblocking(False)
    try:
        reader, writer = await asyncio.open_connection(sock=near)
        loop = asyncio.get_running_loop()
        loop.call_later(timeout / 2, pause, far)
        try:
            async with asyncio.timeout(timeout):
                return await reader.read(10)
        finally:
            writer.close()
    finally:
        far.close()


def pause(far):
    far.send(b'in time')
    time.sleep(PAUSE_SECONDS)


def test_timeout_that_is_due_in_a_pause_reads_what_arrived_before():
    assert run(read_in_a_pause) == b'in time'


def test_timer_that_is_due_at_the_end_of_a_pause_reads_what_arrived_before():
    timeout = 2 * (PAUSE_SECONDS - 0.01)
    assert run(lambda: read_in_a_pause(timeout)) == b'in time'


def test_uvloop_alone_would_time_out():
    loop = uvloop.new_event_loop()
    try:
        with pytest.raises(TimeoutError):
            loop.run_until_complete(read_in_a_pause())
    finally:
        loop.close()


def test_request_on_a_new_connection_is_read_before_a_timer_closes_the_port():
    async def scenario():
        received = []

        async def serve(reader, writer):
            received.append(await reader.read(10))
            writer.close()

        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        address = server.sockets[0].getsockname()
        loop = asyncio.get_running_loop()
        callers = []

        def call_and_pause():
            caller = socket.create_connection(address)
            caller.send(b'request')
            callers.append(caller)
            time.sleep(PAUSE_SECONDS)

        loop.call_later(0.01, call_and_pause)
        await asyncio.sleep(0.1)
        server.close()
        await asyncio.sleep(0.05)
        callers[0].close()
        return received

    assert run(scenario) == [b'request']


def test_timer_does_not_act_that_input_of_a_pause_cancels():
    acted = []

    async def scenario():
        near, far = socket.socketpair()
        loop = asyncio.get_running_loop()
        timer = loop.call_later(0.1, acted.append, 1)

        def take():
            near.recv(10)
            timer.cancel()

        loop.add_reader(near, take)
        loop.call_later(0.05, pause, far)
        await asyncio.sleep(0.5)
        loop.remove_reader(near)
        near.close()
        far.close()

    run(scenario)
    assert not acted


def test_timers_run_in_time_without_a_pause():
    async def scenario():
        started_at = time.monotonic()
        await asyncio.sleep(0.03)
        return time.monotonic() - started_at

    assert run(scenario) >= 0.029


def test_timers_still_act_when_no_input_arrived_in_a_pause():
    async def scenario():
        loop = asyncio.get_running_loop()
        loop.call_later(0.01, time.sleep, PAUSE_SECONDS)
        with pytest.raises(TimeoutError):
            async with asyncio.timeout(0.1):
                await loop.create_future()

    run(scenario)
