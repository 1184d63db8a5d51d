"""Guards against callers whose bursts take an instance from all others."""

import asyncio

from .harness import HOST, make_config, make_server, run_scenario
from .test_outstanding_responses import (
    BODY,
    BOTH_LOOPS,
    answer_with_body,
    connect_slow,
    wait_until,
)

MAX_PIPELINED = 64
BURST = 400
CONFIG = make_config(timeout=15.0)
#: Enough for one run of the loop with a dozen of callers.
MAX_STARTS_IN_ONE_RUN = 32
MAX_HELD_BYTES = 2_000_000
#: RULES.md lets upstreams work for half a second after a caller has left.
GONE_SECONDS = 0.5


def send_burst(caller, count=BURST, **options):
    """Send requests in one segment, as far as the system takes it."""
    for number in range(count):
        caller.send(f'r{number}', deadline_ms=14_000, **options)


async def read_ids(caller, count):
    return [(await caller.read())[2].decode() for _ in range(count)]


def ids(count):
    return [f'r{number}' for number in range(count)]


async def observe(system, value, seconds):
    """Return the largest value in a time, read in each run of the loop."""
    loop = asyncio.get_running_loop()
    end = loop.time() + seconds
    largest = value()
    while loop.time() < end:
        await asyncio.sleep(0)
        largest = max(largest, value())
    return largest


def pipelined(system):
    return max(
        (len(one.pipeline) for one in system.gateway.connections), default=0
    )


def held_bytes(system):
    """Return the responses that this process holds for all callers."""
    return sum(
        one.transport.get_write_buffer_size()
        for one in system.gateway.connections
        if one.transport is not None
    )


@BOTH_LOOPS
def test_burst_has_64_requests_at_work_and_all_are_answered_in_order(
    loop_factory,
):
    """All requests of one read were started, over a thousand."""

    async def scenario(system):
        caller = await system.connect()
        send_burst(caller)
        reading = asyncio.create_task(read_ids(caller, BURST))
        largest = await observe(system, lambda: pipelined(system), 0.5)
        assert await reading == ids(BURST)
        assert largest <= MAX_PIPELINED
        caller.close()

    server = make_server(slots=100, work=0.02)
    run_scenario(scenario, [server], CONFIG, loop_factory)


def test_bursts_of_several_callers_are_started_in_small_parts():
    """The loop started thousands of requests in one run, for seconds."""

    async def scenario(system):
        callers = [await connect_slow(system) for _ in range(12)]
        for caller in callers:
            send_burst(caller, 50)
        starts = []
        handle = system.gateway.handle

        async def count(request):
            starts.append(run_count)
            return await handle(request)

        system.gateway.handle = count
        run_count = 0
        while len(starts) < 12 * 50:
            run_count += 1
            await asyncio.sleep(0)
        most = max(starts.count(run) for run in set(starts))
        assert most <= MAX_STARTS_IN_ONE_RUN
        for caller in callers:
            assert await read_ids(caller, 50) == ids(50)
            caller.close()

    run_scenario(scenario, [make_server(slots=1000)], CONFIG)


@BOTH_LOOPS
def test_caller_that_reads_nothing_is_not_answered_into_memory(loop_factory):
    """Each of its requests ran, and the responses were kept in memory."""

    async def scenario(system):
        (server,) = system.servers
        answer_with_body(server)
        caller = await connect_slow(system)
        send_burst(caller)
        largest = await observe(system, lambda: held_bytes(system), 1)
        assert largest < MAX_HELD_BYTES
        assert len(server.runs) < BURST
        bodies = [(await caller.read())[2] for _ in range(BURST)]
        assert bodies == [BODY] * BURST
        caller.close()

    run_scenario(scenario, [make_server(slots=100)], CONFIG, loop_factory)


def test_posts_behind_one_another_are_not_answered_into_memory():
    """The body of the last request always seems to be needed."""

    async def scenario(system):
        (server,) = system.servers
        answer_with_body(server)
        caller = await connect_slow(system)
        send_burst(caller, path='/once/x', method='POST', body=b'b')
        largest = await observe(system, lambda: held_bytes(system), 1)
        assert largest < MAX_HELD_BYTES
        bodies = [(await caller.read())[2] for _ in range(BURST)]
        assert bodies == [BODY] * BURST
        caller.close()

    run_scenario(scenario, [make_server(slots=100)], CONFIG)


@BOTH_LOOPS
def test_caller_with_unread_requests_that_leaves_is_noticed(loop_factory):
    """Reading is paused then, so that its end doesn't arrive by itself."""

    async def scenario(system):
        (server,) = system.servers
        caller = await system.connect()
        send_burst(caller)
        await wait_until(lambda: server.running >= MAX_PIPELINED)
        caller.close()
        async with asyncio.timeout(GONE_SECONDS):
            await wait_until(lambda: not system.gateway.connections)
            await wait_until(lambda: not system.gateway.in_flight)
        ran = len(server.runs)
        await asyncio.sleep(GONE_SECONDS)
        assert len(server.runs) == ran

    server = make_server(slots=100, work=5)
    run_scenario(scenario, [server], CONFIG, loop_factory)


def test_invalid_bytes_behind_a_burst_are_refused_after_its_responses():
    async def scenario(system):
        caller = await system.connect()
        send_burst(caller, 200)
        caller.writer.write(b'not a request\r\n\r\n')
        assert await read_ids(caller, 200) == ids(200)
        assert (await caller.read())[0] == 400
        caller.close()

    run_scenario(scenario, [make_server(slots=100)], CONFIG)


def test_bodies_in_one_byte_chunks_behind_a_burst_arrive_whole():
    async def scenario(system):
        (server,) = system.servers
        caller = await system.connect()
        send_burst(caller, 200)
        chunks = b'1\r\nx\r\n' * 30_000 + b'0\r\n\r\n'
        caller.writer.write(
            b'POST /once/x HTTP/1.1\r\n'
            + f'Host: {HOST}\r\nX-Crocusproxy-Request-Id: r200\r\n'.encode()
            + b'Transfer-Encoding: chunked\r\n\r\n'
            + chunks
        )
        caller.send('r201', deadline_ms=14_000)
        assert await read_ids(caller, 202) == ids(202)
        sent = [body for head, body in server.heads if 'POST' in head]
        assert sent == [b'x' * 30_000]
        caller.close()

    run_scenario(scenario, [make_server(slots=100)], CONFIG)


def test_body_that_has_many_ends_of_heads_arrives_whole():
    body = b'\r\n\r\n' * 20_000

    async def scenario(system):
        (server,) = system.servers
        caller = await system.connect()
        caller.send('r0', '/once/x', 'POST', body, deadline_ms=14_000)
        assert await read_ids(caller, 1) == ids(1)
        assert server.heads[0][1] == body
        caller.close()

    run_scenario(scenario, [make_server()], CONFIG)


def test_burst_that_is_cut_by_a_stop_has_its_started_requests_answered():
    async def scenario(system):
        (server,) = system.servers
        caller = await system.connect()
        send_burst(caller)
        await wait_until(lambda: server.running >= MAX_PIPELINED)
        (connection,) = system.gateway.connections
        assert len(connection.pipeline) == MAX_PIPELINED
        system.gateway.is_draining = True
        assert await read_ids(caller, MAX_PIPELINED) == ids(MAX_PIPELINED)
        assert not await caller.reader.read()
        assert len(server.runs) == MAX_PIPELINED
        caller.close()

    server = make_server(slots=100, work=1.0)
    run_scenario(scenario, [server], CONFIG)


def test_callers_that_read_nothing_share_a_budget_and_others_are_served():
    """Sixty of them made an instance grow by 287 MB."""

    async def scenario(system):
        (server,) = system.servers
        body = b'x' * 900_000
        server.response_script = lambda request_id: (
            server.response(request_id, body) if request_id != 'other' else None
        )
        limit = 8_000_000
        system.gateway.unread_responses.total_bytes = limit
        callers = [await connect_slow(system) for _ in range(40)]
        for caller in callers:
            send_burst(caller, 20)
        largest = await observe(system, lambda: held_bytes(system), 3)
        assert largest < limit + 2_000_000
        ends = [
            fields
            for event, fields in system.log_lines
            if event == 'connection_ended'
        ]
        assert {str(end['cause']) for end in ends} == {'memory'}
        assert len(ends) < len(callers)
        response = await system.request('other')
        assert response[2] == b'other'
        for caller in callers:
            caller.close()

    run_scenario(scenario, [make_server(slots=100)], CONFIG)
