"""Guards against requests that end without a response, or never end."""

import asyncio
from dataclasses import replace

from crocusproxy.entry.home_forwarder import HomeForwarder

from .harness import (
    HOST,
    GatewaySystem,
    make_config,
    make_server,
    run_scenario,
)

BODY = b'payload'
WAIT_SECONDS = 2
LARGE_BODY_BYTES = 100_000
CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'


def post_head(request_id, *headers, length=len(BODY)):
    lines = (
        'POST /once/x HTTP/1.1',
        f'Host: {HOST}',
        f'X-Crocusproxy-Request-Id: {request_id}',
        'X-Crocusproxy-Deadline-Milliseconds: 1000',
        f'Content-Length: {length}',
        *headers,
    )
    return '\r\n'.join((*lines, '', '')).encode()


def test_pipelined_request_that_waits_for_100_continue_is_told_to_go_on():
    """It waited for its caller, and the caller for it, forever."""

    async def scenario(system):
        caller = await system.connect()
        caller.send('r1')
        caller.writer.write(post_head('r2', 'Expect: 100-continue'))
        assert (await caller.read())[2] == b'r1'
        async with asyncio.timeout(WAIT_SECONDS):
            received = await caller.reader.readexactly(len(CONTINUE))
        assert received == CONTINUE
        caller.writer.write(BODY)
        assert (await caller.read())[2] == b'r2'
        caller.close()

    run_scenario(scenario, [make_server(work=0.1)])


def test_refusal_arrives_although_the_caller_sends_its_body_for_seconds():
    async def scenario(system):
        caller = await system.connect()
        caller.writer.write(post_head('r1', length=LARGE_BODY_BYTES))
        for _ in range(20):
            caller.writer.write(b'x' * 1000)
            await caller.writer.drain()
            await asyncio.sleep(0.1)
        status, headers, body = await caller.read()
        assert status == 413
        assert headers['connection'] == 'close'
        assert await caller.reader.read() == b''
        caller.close()

    run_scenario(scenario, [make_server()], make_config(body_bytes=1000))


def test_request_whose_body_stops_arriving_ends_at_its_deadline():
    """It stayed open forever, and kept a stop from its end."""

    async def scenario(system):
        caller = await system.connect()
        caller.writer.write(post_head('r1') + BODY[:1])
        async with asyncio.timeout(WAIT_SECONDS):
            status, headers, body = await caller.read()
        assert status == 503
        assert b'expired' in body
        assert headers['connection'] == 'close'
        assert not system.gateway.in_flight
        caller.close()

    run_scenario(scenario, [make_server()])


def test_request_at_work_gets_its_answer_after_its_route_is_removed():
    async def scenario(system):
        tasks = [
            asyncio.create_task(system.request('r1')),
            asyncio.create_task(system.request('r2', '/once/x', 'POST', BODY)),
        ]
        await asyncio.sleep(0.1)
        system.catalog.apply_config(replace(make_config(2), routes=()))
        bodies = [(await task)[2] for task in tasks]
        assert bodies == [b'r1', b'r2']
        assert (await system.request('r3'))[0] == 404

    run_scenario(scenario, [make_server(work=0.3)])


def test_answer_counts_that_arrives_with_the_end_of_its_connection():
    """The end must not be taken for that of a request without an answer."""

    async def scenario(system):
        (server,) = system.servers

        def answer_and_end(request_id):
            for writer in server.writers:
                writer.write(server.response(request_id, request_id.encode()))
                writer.close()
            return b''

        server.response_script = answer_and_end
        for number in range(3):
            response = await system.request(f'r{number}', '/once/x', 'POST')
            assert response[2] == f'r{number}'.encode()
        assert len(server.runs) == 3

    run_scenario(scenario, [make_server()])


def test_forwarded_answer_counts_that_arrives_with_the_end_of_the_home():
    async def scenario(system):
        home = await GatewaySystem().start([make_server('i-2', work=0.1)])
        home.gateway.is_draining = True
        system.gateway.request_server.forwarder = HomeForwarder(
            system.pool, system.messages, system.clock, lambda _: home.address
        )
        for number in range(3):
            response = await system.request(f'r{number}', '/once/x', 'POST')
            assert response[2] == f'r{number}'.encode()
        assert len(home.servers[0].runs) == 3
        await home.stop()

    run_scenario(scenario, [make_server('i-1')])
