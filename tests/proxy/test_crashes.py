"""Guards upstreams against a request that crashes each one that runs it."""

import asyncio
from datetime import timedelta

from aiohttp import ClientSession, web
from aiohttp.test_utils import TestServer

from crocusproxy.clock import SystemClock
from crocusproxy.membership.view import Instance
from crocusproxy.protocol.crashes import CrashReport
from crocusproxy.proxy.crashes import CrashWatch, send_report
from crocusproxy.routing.crash import Crash, CrashSuspects
from standins.scripted import (
    answering,
)
from tests.proxy.harness import (
    serving,
)

SECOND = timedelta(seconds=1)
BAD = frozenset(('bad',))


def test_only_crashes_of_two_upstreams_within_a_minute_confirm():
    suspects = CrashSuspects()
    assert not suspects.crashed(Crash('s/a', BAD | {'x'}, 0 * SECOND))
    assert not suspects.crashed(Crash('s/a', BAD, 1 * SECOND))
    assert not suspects.crashed(Crash('s/b', frozenset(('y',)), 2 * SECOND))
    assert not suspects.crashed(Crash('s/b', BAD, 62 * SECOND))
    assert suspects.crashed(Crash('s/c', BAD | {'z'}, 63 * SECOND)) == BAD
    assert suspects.refused_for('bad', 64 * SECOND) == 599 * SECOND
    assert not suspects.refused_for('x', 64 * SECOND)
    assert not suspects.refused_for('bad', 663 * SECOND)
    suspects.crashed(Crash('s/c', frozenset(), 663 * SECOND))
    assert not suspects.confirmed_until


def test_a_request_that_was_answered_is_no_suspect():
    """A popular request is in flight at unrelated crashes."""
    suspects = CrashSuspects()
    suspects.crashed(Crash('s/a', BAD, 0 * SECOND))
    suspects.answered('bad')
    assert not suspects.crashed(Crash('s/b', BAD, 1 * SECOND))


async def crashing(upstream, reader, writer):
    sent = await upstream.read(reader)
    if 'bad' in sent.first:
        upstream.kill()
    else:
        await answering()(upstream, reader, writer)


async def test_a_crashing_request_costs_two_upstreams_and_is_then_refused():
    async with serving(*[crashing] * 4) as (proxy, *upstreams):
        reports = []

        async def share(service, report):
            reports.append((service, report.upstream))

        proxy.core.crash_watch.send_report = share
        assert (await proxy.call(b'GET /s/bad')).outcome == 'failed'
        refused = await proxy.call(b'GET /s/bad')
        assert refused.code == 'request_suspected'
        assert refused.outcome == 'not-run'
        assert 590 < int(refused.headers['retry-after']) <= 600
        assert sum(len(one.requests) for one in upstreams) == 2
        await asyncio.sleep(0)
        assert len(set(reports)) == 2


async def test_a_report_of_another_home_counts():
    async with serving(*[crashing] * 3) as (proxy, *upstreams):
        watch = proxy.core.crash_watch
        reports = []
        apply_report = watch.apply_report
        watch.apply_report = lambda report: (
            reports.append(report),
            apply_report(report),
        )
        proxy.core.dispatcher.schedulers['s'].budget.tokens = 0
        await proxy.call(b'GET /s/bad')
        other = type(reports[0])('s/other', reports[0].fingerprints)
        apply_report(other)
        refused = await proxy.call(b'GET /s/bad')
        assert refused.code == 'request_suspected'
        assert sum(len(one.requests) for one in upstreams) == 1


async def test_a_report_reaches_homes_that_answer_and_a_bad_one_is_refused():
    watch = CrashWatch(SystemClock())
    app = web.Application()
    app.router.add_post('/v1/crashes', watch.receive)
    server = TestServer(app)
    await server.start_server()
    admin = f'127.0.0.1:{server.port}'
    homes = [
        Instance(name, 'fd1', 'live', '', address, '', '')
        for name, address in (('gone', '127.0.0.1:1'), ('i2', admin))
    ]
    async with ClientSession() as session:
        await send_report(session, homes, CrashReport('s/u1', ('print',)))
        bad = await session.post(f'http://{admin}/v1/crashes', data=b'{}')
        assert bad.status == 400
    await server.close()
    [(fingerprint, (upstream, _))] = watch.suspects.suspects.items()
    assert (upstream, fingerprint) == ('s/u1', 'print')
