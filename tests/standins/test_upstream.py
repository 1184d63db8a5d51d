"""Guards against an upstream stand-in with wrong counters or headers."""

import asyncio
import hashlib
from contextlib import asynccontextmanager

import pytest
from aiohttp import ClientPayloadError, ClientSession, web

from standins.processes import Processes, free_ports, standin_command
from standins.upstream import Upstream


class Gate:
    """Replaces service time: requests finish once the gate is open."""

    def __init__(self):
        self.open = asyncio.Event()
        self.waiting = asyncio.Semaphore(0)

    async def sleep(self, _):
        self.waiting.release()
        await self.open.wait()


@asynccontextmanager
async def running_upstream(**options):
    upstream = Upstream(**options)
    runner = web.AppRunner(
        upstream.application(), access_log=None, handler_cancellation=True
    )
    await runner.setup()
    site = web.TCPSite(runner, '127.0.0.1', 0)
    await site.start()
    host, port = runner.addresses[0][:2]
    async with ClientSession(f'http://{host}:{port}') as session:
        yield upstream, session
    await runner.cleanup()


def run(test):
    asyncio.run(asyncio.wait_for(test(), 20))


def test_a_response_contains_its_marks_and_load_report():
    async def test():
        async with running_upstream(service_ms=0) as (upstream, session):
            headers = {'X-Request-ID': 'r1', 'Idempotency-Key': 'k1'}
            async with session.post(
                '/a?size=5000', data=b'story', headers=headers
            ) as response:
                body = await response.read()
                marks = response.headers
        assert marks['X-Request-ID'] == 'r1'
        story = hashlib.sha256(b'story').hexdigest()
        assert marks['Upstream-Request-Mark'] == story
        mark = hashlib.sha256(body).hexdigest()
        assert marks['Upstream-Response-Mark'] == mark
        assert len(body) == 5000
        assert marks['Endpoint-Load-Metrics'] == (
            'TEXT named_metrics.in_flight=0, named_metrics.slots=2, '
            'named_metrics.queued=0'
        )
        assert upstream.counters.runs_by_key == {'k1': 1}
        assert upstream.counters.sent == {'r1': [mark]}

    run(test)


def test_requests_beyond_slots_and_queue_are_refused_and_not_run():
    async def test():
        gate = Gate()
        async with running_upstream(slots=1, queue=1, sleep=gate.sleep) as (
            upstream,
            session,
        ):
            first = asyncio.create_task(session.get('/load'))
            await gate.waiting.acquire()
            timeout = {'Crocus-Timeout-Ms': '1'}
            late = await session.get('/late', headers=timeout)
            second = asyncio.create_task(session.get('/second'))
            while not upstream.queued:
                await asyncio.sleep(0)
            third = await session.get('/third')
            gate.open.set()
            statuses = [(await task).status for task in (first, second)]
        assert statuses == [200, 200]
        for refused in (late, third):
            assert refused.status == 503
            assert refused.headers['Upstream-Outcome'] == 'not-run'
        assert upstream.counters.probes == 1
        assert upstream.counters.runs == 1

    run(test)


def test_a_closed_connection_cancels_the_run_and_frees_its_slot():
    async def test():
        gate = Gate()
        async with running_upstream(slots=1, sleep=gate.sleep) as (
            upstream,
            session,
        ):
            call = asyncio.create_task(session.get('/a'))
            await gate.waiting.acquire()
            call.cancel()
            while not upstream.counters.cancelled:
                await asyncio.sleep(0)
            assert upstream.running == 0
            gate.open.set()
            assert (await session.get('/b')).status == 200

    run(test)


@pytest.mark.parametrize('query', ['', '?chunked=1'])
def test_a_cut_body_is_not_recorded_as_sent(query):
    async def test():
        async with running_upstream(service_ms=0) as (upstream, session):
            await session.post('/admin/faults', json={'cut_body': 1})
            response = await session.get(f'/a{query}')
            with pytest.raises(ClientPayloadError):
                await response.read()
            assert not upstream.counters.sent
            assert upstream.counters.cut == 1

    run(test)


@pytest.mark.parametrize(
    ('fault', 'status', 'not_run', 'state'),
    [
        ({'fail_fast': True}, 500, None, None),
        ({'shed': True}, 503, 'not-run', None),
        ({'drain': 'announce'}, 200, None, 'draining'),
        ({'drain': 'refuse'}, 503, 'not-run', 'draining'),
    ],
)
def test_each_fault_sets_status_and_headers(fault, status, not_run, state):
    async def test():
        async with running_upstream(service_ms=0) as (upstream, session):
            await session.post('/admin/faults', json=fault)
            response = await session.get('/a')
            counters = await (await session.get('/admin/counters')).json()
        assert response.status == status
        assert response.headers.get('Upstream-Outcome') == not_run
        assert response.headers.get('Upstream-State') == state
        assert counters['runs'] == (0 if not_run else 1)
        assert counters['arrivals_after_drain'] == ('drain' in fault)

    run(test)


def test_sigterm_finishes_the_requests_in_progress(tmp_path):
    port = free_ports(1)[0]
    url = f'http://127.0.0.1:{port}'

    async def test(processes):
        command = standin_command(
            'upstream', port=port, service_ms=500, spread=0
        )
        process = processes.start('u1', command)
        await processes.wait_ready('u1', f'{url}/admin/counters', 20)
        async with ClientSession(url) as session:
            call = asyncio.create_task(session.get('/a?size=90000'))
            while not (await counters(session))['running']:
                await asyncio.sleep(0)
            process.terminate()
            response = await call
            body = await response.read()
        await processes.wait_for_exit('u1', 20)
        return response, body

    with Processes(tmp_path) as processes:
        response, body = asyncio.run(test(processes))
    assert response.headers['Upstream-State'] == 'draining'
    mark = hashlib.sha256(body).hexdigest()
    assert mark == response.headers['Upstream-Response-Mark']


async def counters(session):
    async with session.get('/admin/counters') as response:
        return await response.json()
