"""Guards against answers that are wrong, missing, late or said twice."""

import asyncio
import socket
import struct

import pytest

from .harness import config, play, server


def raw(request_id, body=b'x', status='200 OK', more='', length=None):
    size = len(body) if length is None else length
    return (
        f'HTTP/1.1 {status}\r\nContent-Length: {size}\r\n'
        f'X-Crocusproxy-Request-Id: {request_id}\r\n{more}\r\n'
    ).encode() + body


SIGNED = 'X-Crocusproxy-Response-Signature: s\r\n'


def test_request_and_response_are_passed_on_unchanged():
    async def scenario(system):
        status, headers, body = await system.ask(
            'r1', '/once/a%20b?q=1', 'POST', b'payload'
        )
        assert (status, body) == (200, b'r1')
        assert headers['x-crocusproxy-response-signature'] == 's'
        head, sent = system.servers[0].heads[0]
        assert head.startswith('POST /once/a%20b?q=1 HTTP/1.1')
        assert sent == b'payload'
        assert 'X-Crocusproxy-Expected-Instance: i-1' in head

    play(scenario, [server()])


def test_deadline_passed_on_is_what_is_left():
    async def scenario(system):
        await system.ask('r1', wait=400)
        head, _ = system.servers[0].heads[0]
        line = next(one for one in head.split('\r\n') if 'Deadline' in one)
        assert 300 <= int(line.split(': ')[1]) <= 400

    play(scenario, [server()])


def test_unknown_route_is_404_and_missing_configuration_503():
    async def scenario(system):
        assert (await system.ask('r1', '/other/'))[0] == 404
        system.gateway.table = None
        status, headers, _ = await system.ask('r2')
        assert status == 503
        assert float(headers['retry-after']) > 0

    play(scenario, [server()])


def test_pipelined_safe_requests_run_together_and_are_answered_in_order():
    """One after the other, the second would wait for the first one's work."""

    async def scenario(system):
        caller = await system.connect()
        loop = asyncio.get_running_loop()
        started = loop.time()
        for number in range(4):
            caller.send(f'r{number}')
        bodies = [(await caller.read())[2] for _ in range(4)]
        assert bodies == [b'r0', b'r1', b'r2', b'r3']
        assert system.servers[0].runs[:2] == ['r0', 'r1']
        assert loop.time() - started < 3 * 0.2
        caller.close()

    play(scenario, [server(work=0.2, slots=4)])


def test_unsafe_request_does_not_start_before_earlier_responses():
    """It would run twice if a response before it closed the connection."""

    async def scenario(system):
        caller = await system.connect()
        caller.send('r0')
        caller.send('r1', '/once/', 'POST', b'x')
        await asyncio.sleep(0.05)
        assert system.servers[0].runs == ['r0']
        assert [(await caller.read())[2] for _ in range(2)] == [b'r0', b'r1']
        caller.close()

    play(scenario, [server(work=0.1, slots=4)])


def test_refused_request_goes_to_another_upstream():
    async def scenario(system):
        system.allow_repeats()
        system.servers[0].slots = 0
        for number in range(20):
            await system.ask(f'w{number}', '/once/', 'POST', b'x')
        assert len(system.servers[1].runs) == 20

    play(scenario, [server('i-1'), server('i-2')])


def test_server_that_has_taken_over_an_address_runs_nothing():
    async def scenario(system):
        system.register(system.servers[0], key='i-old', sequence=2)
        system.catalog.apply_change(
            type('Gone', (), {'key': 'i-1', 'entry': None})()
        )
        status, headers, _ = await system.ask('r1', '/once/', 'POST', b'x')
        assert status == 503
        assert not system.servers[0].runs

    play(scenario, [server()])


@pytest.mark.parametrize(
    'answer',
    [
        lambda one: raw(one),
        lambda one: raw(one, more=f'{SIGNED}Content-Encoding: gzip\r\n'),
        lambda one: raw(one, more=SIGNED, length=50),
        lambda one: b'garbage\r\n\r\n',
        lambda one: b'',
        lambda one: raw(one, status='503 Busy', more=SIGNED),
    ],
    ids=['unsigned', 'encoded', 'short', 'garbage', 'silent', 'bare-503'],
)
def test_unusable_response_is_never_passed_on(answer):
    """An unsafe request may have run: neither success nor a promise."""

    async def scenario(system):
        system.servers[0].behave = answer
        status, _, _ = await system.ask('r1', '/once/', 'POST', b'x', wait=300)
        assert status in {502, 504}
        assert system.servers[0].runs == ['r1']

    play(scenario, [server()])


def test_safe_request_is_repeated_after_a_broken_response():
    async def scenario(system):
        system.allow_repeats()
        system.servers[0].behave = lambda one: b'garbage\r\n\r\n'
        for number in range(10):
            status, _, body = await system.ask(f'r{number}')
            assert (status, body) == (200, f'r{number}'.encode())

    play(scenario, [server('i-1'), server('i-2')])


def test_response_that_is_lost_by_living_upstreams_makes_no_suspect():
    """Their only connection ends, but nothing has crashed."""

    def lose(request_id):
        if request_id != 'r3':
            raise ConnectionError

    async def scenario(system):
        for one in system.servers:
            one.behave = lose
        for request_id in ('r1', 'r2'):
            assert (await system.ask(request_id))[0] == 502
        assert not system.crash_watch.suspects.suspects
        assert (await system.ask('r3'))[0] == 200

    play(scenario, [server('i-1'), server('i-2')])


def test_late_response_of_another_request_is_skipped():
    """The response that follows on the same connection is the right one."""

    async def scenario(system):
        one = system.servers[0]
        assert (await system.ask('r1'))[2] == b'r1'
        one.behave = lambda new: (
            raw('r1', b'old', more=SIGNED) + raw(new, b'new', more=SIGNED)
        )
        assert (await system.ask('r2', '/once/', 'POST', b'x'))[2] == b'new'
        assert one.opened == 1

    play(scenario, [server()])


def test_surplus_response_ends_the_connection_and_reaches_nobody():
    async def scenario(system):
        one = system.servers[0]
        one.behave = lambda new: (
            raw(new, b'a', more=SIGNED) + raw(new, b'b', more=SIGNED)
        )
        assert (await system.ask('r1'))[2] == b'a'
        assert (await system.ask('r2'))[2] == b'a'
        assert one.opened == 2

    play(scenario, [server()])


def test_response_without_length_ends_with_its_connection():
    async def scenario(system):
        one = system.servers[0]

        async def run(request_id, writer):
            writer.write(
                f'HTTP/1.1 200 OK\r\n{SIGNED}'
                f'X-Crocusproxy-Request-Id: {request_id}\r\n\r\n'.encode()
            )
            writer.write(b'whole')
            await writer.drain()
            writer.close()

        one.run = run
        assert (await system.ask('r1'))[2] == b'whole'

    play(scenario, [server()])


def test_reset_response_without_length_is_not_complete():
    async def scenario(system):
        one = system.servers[0]

        async def run(request_id, writer):
            writer.write(
                f'HTTP/1.1 200 OK\r\n{SIGNED}'
                f'X-Crocusproxy-Request-Id: {request_id}\r\n\r\npart'.encode()
            )
            await writer.drain()
            await asyncio.sleep(0.05)
            raw_socket = writer.get_extra_info('socket')
            raw_socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, struct.pack('ii', 1, 0)
            )
            writer.transport.abort()

        one.run = run
        assert (await system.ask('r1', '/once/', 'POST', b'x'))[0] == 502

    play(scenario, [server()])


def test_timeout_of_the_route_is_answered_at_once():
    async def scenario(system):
        loop = asyncio.get_running_loop()
        started = loop.time()
        status, _, _ = await system.ask('r1', wait=5000)
        assert status == 504
        assert loop.time() - started < 0.7

    play(scenario, [server(work=3)], config(timeout=0.2))


def test_caller_that_leaves_cancels_its_safe_request():
    async def scenario(system):
        caller = await system.connect()
        caller.send('r1')
        await asyncio.sleep(0.1)
        caller.close()
        await asyncio.sleep(0.5)
        assert system.servers[0].closed_while_running == 1
        placer = system.dispatcher.placers['s']
        assert placer.upstreams['i-1'].in_flight == 0

    play(scenario, [server(work=0.3)])


def test_caller_that_leaves_does_not_cut_an_unsafe_request_short():
    async def scenario(system):
        caller = await system.connect()
        caller.send('r1', '/once/', 'POST', b'x')
        await asyncio.sleep(0.1)
        caller.close()
        await asyncio.sleep(0.5)
        assert system.servers[0].closed_while_running == 0

    play(scenario, [server(work=0.3)])


def test_caller_that_leaves_the_queue_reaches_no_upstream():
    """Its place once stayed in the queue, and the request was sent later."""

    async def scenario(system):
        first = await system.connect()
        first.send('r1')
        await asyncio.sleep(0.05)
        second = await system.connect()
        second.send('r2')
        await asyncio.sleep(0.05)
        second.close()
        assert (await first.read())[0] == 200
        await asyncio.sleep(0.3)
        assert system.servers[0].runs == ['r1']
        first.close()

    play(scenario, [server(work=0.2, slots=1)])


def test_leaving_upstream_finishes_what_it_runs():
    async def scenario(system):
        caller = await system.connect()
        caller.send('r1')
        await asyncio.sleep(0.05)
        system.register(system.servers[0], sequence=2, leaving=True)
        assert (await caller.read())[2] == b'r1'
        assert (await system.ask('r2'))[0] == 503
        caller.close()

    play(scenario, [server(work=0.2)])


@pytest.mark.parametrize(
    ('request_bytes', 'status'),
    [
        (b'nonsense\r\n\r\n', 400),
        (b'GET / HTTP/1.1\r\nX: ' + b'y' * 5000 + b'\r\n\r\n', 431),
        (
            b'POST /once/ HTTP/1.1\r\nHost: a.example\r\n'
            b'Content-Length: 5000\r\n\r\n',
            413,
        ),
        (
            b'GET /safe/ HTTP/1.1\r\nHost: a.example\r\n'
            b'X-Crocusproxy-Deadline-Milliseconds: soon\r\n\r\n',
            400,
        ),
    ],
)
def test_bad_input_has_its_own_status(request_bytes, status):
    async def scenario(system):
        caller = await system.connect()
        caller.writer.write(request_bytes)
        assert (await caller.read())[0] == status
        caller.close()

    play(
        scenario,
        [server()],
        config(header_bytes=2000, body_bytes=1000),
    )


def test_request_that_comes_late_in_a_shutdown_is_refused_as_not_run():
    """A long one was cut off when its instance ended (LOST, seed 379884494733).

    Callers may use an address for three times its validity.
    """

    async def scenario(system):
        system.gateway.is_draining = True
        assert (await system.ask('r1'))[0] == 200
        now = system.clock.monotonic().total_seconds()
        system.gateway.ends_at = now + 0.9
        status, headers, body = await system.ask('r2')
        assert status == 503
        assert b'shutting_down' in body
        assert float(headers['retry-after']) > 0
        assert system.servers[0].runs == ['r1']
        # One that must end before the process does is served all the same.
        assert (await system.ask('r3', wait=500))[0] == 200

    play(scenario, [server()])


def test_closing_ends_each_connection_after_its_response():
    async def scenario(system):
        caller = await system.connect()
        caller.send('r1')
        await asyncio.sleep(0.05)
        system.gateway.is_draining = True
        status, headers, _ = await caller.read()
        assert status == 200
        assert headers['connection'] == 'close'
        assert await caller.reader.read() == b''

    play(scenario, [server(work=0.1)])
