"""Guards against a caller that accepts wrong responses or retries wrongly."""

import asyncio
import hashlib
from contextlib import asynccontextmanager

import pytest
from aiohttp import ClientSession, web

from crocusproxy.application import serve
from standins.caller import Caller
from standins.older_balancer import OlderBalancer
from standins.upstream import Upstream


class Proxy:
    """Locator and proxy in one; ``script`` holds the behaviour per request."""

    def __init__(self, *script):
        self.script = list(script)
        self.received_headers = []
        self.locate_count = 0
        self.address = ''
        self.dead_address = ''

    async def locate(self, _):
        self.locate_count += 1
        addresses = (
            [self.dead_address, self.address]
            if self.dead_address
            else [self.address]
        )
        response = {
            'service': 'redaccion',
            'generation': 1,
            'validity_ms': 60_000,
            'addresses': [{'address': one} for one in addresses],
        }
        return web.json_response(response)

    async def serve(self, request):
        self.received_headers.append(dict(request.headers))
        behaviour = self.script.pop(0) if self.script else 'answer'
        body = await request.read()
        if behaviour == 'break':
            request.transport.abort()
        if behaviour == 'refuse':
            problem = {'code': 'queue_full'}
            return web.json_response(
                problem,
                status=503,
                headers={'Crocus-Outcome': 'not-run'},
                content_type='application/problem+json',
            )
        return self.respond(request, body, behaviour)

    def respond(self, request, body, behaviour):
        request_id = request.headers['X-Request-ID']
        if behaviour == 'other':
            request_id = 'another-request'
        digest = hashlib.sha256(body).hexdigest()
        content = f'u1 {request_id} {digest} '.encode()
        marks = {
            'Crocus-Outcome': 'answered',
            'X-Request-ID': request_id,
            'Upstream-Name': 'u1',
            'Upstream-Request-Mark': digest,
            'Upstream-Response-Mark': hashlib.sha256(content).hexdigest(),
            'Upstream-Time-Ms': '0',
        }
        if behaviour == 'truncate':
            content = content[:-1]
        return web.Response(body=content, headers=marks)


@asynccontextmanager
async def running_caller(proxy):
    app = web.Application()
    app.router.add_get('/v1/locate', proxy.locate)
    app.router.add_route('*', '/redaccion/{path:.*}', proxy.serve)
    runner = await serve(app, '127.0.0.1', 0)
    proxy.address = '{}:{}'.format(*runner.addresses[0])
    async with Caller('ana', 'redaccion', [proxy.address]) as caller:
        yield caller
    await runner.cleanup()


def call(proxy, keyed=True, times=1):
    async def run():
        async with running_caller(proxy) as caller:
            for _ in range(times):
                await caller.call(
                    'POST' if keyed else 'GET', '/x', b'story', keyed
                )
            return caller.records

    return asyncio.run(asyncio.wait_for(run(), 20))


def test_a_broken_call_is_retried_with_the_same_key_and_expiry():
    proxy = Proxy('break', 'answer')
    record = call(proxy)[0]
    first, second = proxy.received_headers
    assert (record.outcome, record.attempts) == ('answered', 2)
    for name in ('Idempotency-Key', 'Idempotency-Expires'):
        assert first[name] == second[name]
    assert first['Crocus-Attempt'] == '1'
    assert 'Crocus-Attempt' not in second
    assert first['X-Request-ID'] != second['X-Request-ID']
    assert proxy.locate_count == 2


@pytest.mark.parametrize(
    ('keyed', 'expected'), [(True, 'unknown'), (False, 'failed')]
)
def test_a_call_whose_connections_all_break_fails(keyed, expected):
    assert call(Proxy(*['break'] * 9), keyed)[0].outcome == expected


def test_a_refused_call_is_not_retried():
    proxy = Proxy('refuse')
    record = call(proxy)[0]
    assert (record.outcome, record.code) == ('not-run', 'queue_full')
    assert len(proxy.received_headers) == 1


@pytest.mark.parametrize(
    ('behaviour', 'is_complete', 'matches_request'),
    [('answer', True, True), ('truncate', False, True), ('other', True, False)],
)
def test_wrong_responses_are_detected(behaviour, is_complete, matches_request):
    record = call(Proxy(behaviour))[0]
    assert (record.is_complete, record.matches_request) == (
        is_complete,
        matches_request,
    )


def test_an_address_that_refuses_connections_is_skipped():
    proxy = Proxy()
    proxy.dead_address = '127.0.0.1:1'
    record = call(proxy)[0]
    assert (record.outcome, record.attempts) == ('answered', 1)
    assert proxy.received_headers[0]['Crocus-Attempt'] == '1'


def test_a_locate_response_is_cached_for_its_validity():
    proxy = Proxy()
    call(proxy, times=3)
    assert proxy.locate_count == 1


def test_the_older_balancer_sends_round_robin_and_keeps_all_marks():
    async def run():
        upstreams = [Upstream(name=f'u{n}', service_ms=0) for n in range(2)]
        runners = [
            await serve(one.application(), '127.0.0.1', 0) for one in upstreams
        ]
        addresses = ['{}:{}'.format(*one.addresses[0]) for one in runners]
        older = OlderBalancer(addresses)
        runners.append(await serve(older.application(), '127.0.0.1', 0))
        url = 'http://{}:{}/redaccion/a?size=9000'.format(
            *runners[-1].addresses[0]
        )
        async with ClientSession() as session:
            replies = [await session.post(url, data=b'story') for _ in range(4)]
            bodies = [await reply.read() for reply in replies]
        for runner in reversed(runners):
            await runner.cleanup()
        return upstreams, replies, bodies

    upstreams, replies, bodies = asyncio.run(run())
    assert [one.counters.runs for one in upstreams] == [2, 2]
    for reply, body in zip(replies, bodies, strict=True):
        mark = reply.headers['Upstream-Response-Mark']
        assert hashlib.sha256(body).hexdigest() == mark
