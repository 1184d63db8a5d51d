"""An in-process proxy with scripted upstreams and a raw HTTP client."""

import asyncio
from contextlib import asynccontextmanager
from dataclasses import dataclass, field
from datetime import datetime, timedelta, timezone
from random import Random

from aiohttp import web
from prometheus_client import CollectorRegistry

from crocusproxy.clock import SystemClock
from crocusproxy.config.model import Document, Service, Upstream
from crocusproxy.ledger.results import Claimed
from crocusproxy.proxy.core import ProxyCore
from crocusproxy.proxy.frontend import caller_server
from crocusproxy.proxy.metrics import ProxyMetrics
from crocusproxy.proxy.settings import ProxyLimits, ProxySettings
from crocusproxy.routing.results import Wait
from crocusproxy.settings import InstanceIdentity, Listen
from standins.scripted import ScriptedUpstream, read_message

# Set when the tests are collected, many minutes before the last of them runs;
# the horizon of expiries is an hour.
_EXPIRY = datetime.now(timezone.utc) + timedelta(minutes=55)
KEY = (
    b'Idempotency-Key: k1\r\n'
    b'Idempotency-Expires: %b\r\n' % _EXPIRY.isoformat().encode()
)
FIRST_ATTEMPT = b'Crocus-Attempt: 1\r\n'
# The claim of an earlier attempt may not be readable yet, so only the first
# attempt can be reported as not-run.
OUTCOMES_IF_NOT_SENT = ((b'', 'unknown'), (FIRST_ATTEMPT, 'not-run'))
FAR_EXPIRY = (
    b'Idempotency-Key: k1\r\nIdempotency-Expires: 2999-01-01T00:00:00Z\r\n'
)


@dataclass
class FakeLedger:
    """Returns ``answer`` for each claim, after a call of ``on_claim``."""

    answer: object = Claimed('n1')
    voided: list = field(default_factory=list)
    completed: list = field(default_factory=list)
    claims: list = field(default_factory=list)
    is_lapsed: bool = False
    on_claim: object = None

    async def claim(self, key, digest, expiry, deadline):
        self.claims.append((key, digest))
        if self.on_claim:
            self.on_claim()
        return self.answer

    def may_dispatch(self, nonce):
        return not self.is_lapsed

    async def void(self, nonce):
        self.voided.append(nonce)

    async def complete(self, nonce, status):
        self.completed.append((nonce, status))


class Proxy:
    """Serves service ``s``, with an upstream for each address."""

    def __init__(self, addresses, ledger=None, limits=None, **service):
        loopback = Listen('127.0.0.1', 0)
        settings = ProxySettings(
            InstanceIdentity('i1', 'fd1'),
            loopback,
            loopback,
            (),
            limits=limits or ProxyLimits(),
        )
        clock = SystemClock()
        metrics = ProxyMetrics(clock, 'i1', CollectorRegistry())
        self.core = ProxyCore(settings, clock, Random(1), metrics, ledger)
        upstream_options = {'slots': service.pop('slots', 2)}
        upstreams = [
            Upstream(f'u{number}', 's', address, 'fd1', **upstream_options)
            for number, address in enumerate(addresses)
        ]
        self.core.apply_document(
            Document(
                1,
                {'s': Service('s', **service)},
                {one.key: one for one in upstreams},
            )
        )

    async def start(self):
        server = caller_server(
            self.core.frontend.handle, self.core.settings.limits
        )
        self.runner = web.ServerRunner(server)
        await self.runner.setup()
        await web.TCPSite(self.runner, '127.0.0.1', 0).start()
        self.port = self.runner.addresses[0][1]
        self.address = f'127.0.0.1:{self.port}'

    async def stop(self):
        await self.runner.cleanup()
        self.core.pool.close()

    async def connect(self):
        return await asyncio.open_connection('127.0.0.1', self.port)

    async def call(self, line=b'GET /s/x', headers=b'', body=b''):
        reader, writer = await self.connect()
        writer.write(request(line, headers, body))
        response = await read_message(reader)
        writer.close()
        return response


def request(line=b'GET /s/x', headers=b'', body=b''):
    length = b'Content-Length: %d\r\n' % len(body) if body else b''
    return (
        line + b' HTTP/1.1\r\nHost: p\r\n' + headers + length + b'\r\n' + body
    )


@asynccontextmanager
async def serving(*scripts, **options):
    """Yield a proxy and one scripted upstream for each script."""
    upstreams = [ScriptedUpstream(script) for script in scripts]
    for upstream in upstreams:
        await upstream.start()
    proxy = Proxy([one.address for one in upstreams], **options)
    await proxy.start()
    try:
        yield proxy, *upstreams
    finally:
        await proxy.stop()
        for upstream in upstreams:
            upstream.kill()


async def wait_until(condition):
    """Yield to other tasks until the condition holds."""
    while not condition():
        await asyncio.sleep(0)


def limit_to_one_in_flight(proxy):
    """Make the balancer report capacity only if nothing is in flight."""
    scheduler = proxy.core.dispatcher.schedulers['s']
    balancer = scheduler.balancer
    choose = balancer.choose

    def has_room():
        return not any(one.in_flight for one in balancer.states.values())

    balancer.has_room = has_room
    balancer.choose = lambda info: choose(info) if has_room() else Wait()
    return scheduler
