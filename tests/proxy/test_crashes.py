"""Guards against a request that crashes every upstream that runs it."""

import asyncio
from datetime import timedelta
from types import SimpleNamespace

from aiohttp import ClientSession, web
from aiohttp.test_utils import TestServer

from crocusproxy.clock import ManualClock, SystemClock
from crocusproxy.membership.view import Instance
from crocusproxy.protocol.crashes import CrashReport
from crocusproxy.proxy.crashes import CrashWatch, post_report
from crocusproxy.routing.crash import Crash, CrashSuspects
from standins.scripted import (
    answering,
)
from tests.proxy.harness import (
    serving,
)

SECOND = timedelta(seconds=1)
SUSPECT = frozenset(('bad',))


def test_only_crashes_of_two_upstreams_within_a_minute_confirm_a_suspect():
    suspects = CrashSuspects()
    assert not suspects.crashed(Crash('s/a', SUSPECT | {'x'}, 0 * SECOND))
    assert not suspects.crashed(Crash('s/a', SUSPECT, 1 * SECOND))
    assert not suspects.crashed(Crash('s/b', frozenset(('y',)), 2 * SECOND))
    assert not suspects.crashed(Crash('s/b', SUSPECT, 62 * SECOND))
    assert (
        suspects.crashed(Crash('s/c', SUSPECT | {'z'}, 63 * SECOND)) == SUSPECT
    )
    assert suspects.refused_for('bad', 64 * SECOND) == 599 * SECOND
    assert not suspects.refused_for('x', 64 * SECOND)
    assert not suspects.refused_for('bad', 663 * SECOND)
    suspects.crashed(Crash('s/c', frozenset(), 663 * SECOND))
    assert not suspects.confirmed_until


def test_expired_suspects_cost_no_fingerprints():
    """Every body was hashed until the next crash."""
    clock = ManualClock()
    watch = CrashWatch(clock)
    inbound = SimpleNamespace(fingerprint=lambda: 'bad')
    watch.apply_report(CrashReport('s/a', ('bad',)))
    assert watch.fingerprint(inbound) == 'bad'
    clock.advance(61 * SECOND)
    assert not watch.fingerprint(inbound)


def test_an_answered_request_is_no_suspect():
    """A frequent request may be in flight during unrelated crashes."""
    suspects = CrashSuspects()
    suspects.crashed(Crash('s/a', SUSPECT, 0 * SECOND))
    suspects.answered('bad')
    assert not suspects.crashed(Crash('s/b', SUSPECT, 1 * SECOND))


async def crash_on_bad_request(upstream, reader, writer):
    sent = await upstream.read(reader)
    if 'bad' in sent.start_line:
        upstream.kill()
    else:
        await answering()(upstream, reader, writer)


async def test_a_request_that_crashed_two_upstreams_is_refused():
    async with serving(*[crash_on_bad_request] * 4) as (proxy, *upstreams):
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


async def test_a_crash_report_of_another_home_confirms_a_suspect():
    async with serving(*[crash_on_bad_request] * 3) as (proxy, *upstreams):
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


async def test_a_report_reaches_available_homes_and_a_malformed_one_gets_400():
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
        await post_report(session, homes, CrashReport('s/u1', ('print',)))
        bad = await session.post(f'http://{admin}/v1/crashes', data=b'{}')
        assert bad.status == 400
    await server.close()
    [(fingerprint, (upstream, _))] = watch.tracker.suspects.items()
    assert (upstream, fingerprint) == ('s/u1', 'print')
