"""Guards against a caller that accepts wrong responses or re-sends wrongly."""

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
    """Locator and proxy in one; ``script`` says how to treat each request."""

    def __init__(self, *script):
        self.script = list(script)
        self.seen = []
        self.located = 0
        self.address = ''
        self.dead = ''

    async def locate(self, _):
        self.located += 1
        addresses = [self.dead, self.address] if self.dead else [self.address]
        answer = {
            'service': 'redaccion',
            'generation': 1,
            'validity_ms': 60_000,
            'addresses': [{'address': one} for one in addresses],
        }
        return web.json_response(answer)

    async def serve(self, request):
        self.seen.append(dict(request.headers))
        treatment = self.script.pop(0) if self.script else 'answer'
        body = await request.read()
        if treatment == 'break':
            request.transport.abort()
        if treatment == 'refuse':
            refusal = {'code': 'queue_full'}
            return web.json_response(
                refusal,
                status=503,
                headers={'Crocus-Outcome': 'not-run'},
                content_type='application/problem+json',
            )
        return self.respond(request, body, treatment)

    def respond(self, request, body, treatment):
        request_id = request.headers['X-Request-ID']
        if treatment == 'other':
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
        if treatment == 'truncate':
            content = content[:-1]
        return web.Response(body=content, headers=marks)


@asynccontextmanager
async def running(proxy):
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
        async with running(proxy) as caller:
            for _ in range(times):
                await caller.call(
                    'POST' if keyed else 'GET', '/x', b'story', keyed
                )
            return caller.records

    return asyncio.run(asyncio.wait_for(run(), 20))


def test_a_broken_call_is_sent_again_with_the_same_key_and_expiry():
    proxy = Proxy('break', 'answer')
    record = call(proxy)[0]
    first, second = proxy.seen
    assert (record.outcome, record.attempts) == ('answered', 2)
    for name in ('Idempotency-Key', 'Idempotency-Expires'):
        assert first[name] == second[name]
    assert first['Crocus-Attempt'] == '1'
    assert 'Crocus-Attempt' not in second
    assert first['X-Request-ID'] != second['X-Request-ID']
    assert proxy.located == 2


@pytest.mark.parametrize(
    ('keyed', 'end'), [(True, 'unknown'), (False, 'failed')]
)
def test_a_call_that_always_breaks_ends_without_an_answer(keyed, end):
    assert call(Proxy(*['break'] * 9), keyed)[0].outcome == end


def test_a_refused_call_is_not_sent_again():
    proxy = Proxy('refuse')
    record = call(proxy)[0]
    assert (record.outcome, record.code) == ('not-run', 'queue_full')
    assert len(proxy.seen) == 1


@pytest.mark.parametrize(
    ('treatment', 'whole', 'own'),
    [('answer', True, True), ('truncate', False, True), ('other', True, False)],
)
def test_wrong_responses_are_told_from_right_ones(treatment, whole, own):
    record = call(Proxy(treatment))[0]
    assert (record.is_complete, record.matches_request) == (whole, own)


def test_an_address_that_refuses_connections_is_passed_over():
    proxy = Proxy()
    proxy.dead = '127.0.0.1:1'
    record = call(proxy)[0]
    assert (record.outcome, record.attempts) == ('answered', 1)
    assert proxy.seen[0]['Crocus-Attempt'] == '1'


def test_an_answer_of_the_locator_is_kept_for_its_validity():
    proxy = Proxy()
    call(proxy, times=3)
    assert proxy.located == 1


def test_the_older_balancer_sends_in_turn_and_keeps_all_marks():
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
