"""Guards against loops, duplicate runs and lost requests in forwarding."""

from contextlib import asynccontextmanager

from crocusproxy.config.model import Document
from crocusproxy.membership.view import Instance, InstanceView
from standins.scripted import (
    ScriptedUpstream,
    answering,
)
from tests.proxy.harness import (
    KEY,
    FakeLedger,
    Proxy,
)

POST = b'POST /s/x'


def instance(name, address, domain='fd2'):
    return Instance(name, domain, 'live', address, '', '', '')


def view(*homes):
    return InstanceView(1, tuple(homes))


@asynccontextmanager
async def forwarder_and_home(**options):
    """Yield a forwarding instance, its home and their upstream."""
    upstream = ScriptedUpstream(answering())
    await upstream.start()
    forwarder, home = (Proxy([upstream.address], **options) for _ in range(2))
    await home.start()
    await forwarder.start()
    forwarder.core.apply_view(view(instance('i2', home.address)))
    # The home's own view is older and names the forwarding instance.
    home.core.apply_view(view(instance('i3', forwarder.address)))
    try:
        yield forwarder, home, upstream
    finally:
        await forwarder.stop()
        await home.stop()
        upstream.kill()


def finished_count(server):
    counters = server.core.metrics.counters.values()
    return sum(counter._value.get() for counter in counters)


async def test_a_request_is_forwarded_once():
    async with forwarder_and_home() as (forwarder, home, upstream):
        headers = b'X-Request-ID: r1\r\nCrocus-Caller: c1\r\n'
        response = await forwarder.call(headers=headers)
        assert (response.body, response.outcome) == (b'ok', 'answered')
        assert finished_count(home) == 1
        assert finished_count(forwarder) == 1
        [sent] = upstream.requests
        assert sent.headers['x-request-id'] == 'r1'
        assert sent.headers['crocus-caller'] == 'c1'
        assert 'crocus-hops' not in sent.headers


async def test_a_home_dispatches_without_forwarding():
    async with forwarder_and_home() as (forwarder, home, upstream):
        forwarder.core.apply_view(view(instance('i1', forwarder.address)))
        assert (await forwarder.call()).status == 200
        assert finished_count(home) == 0


async def test_an_unreachable_home_does_not_fail_the_request():
    ledger = FakeLedger()
    async with forwarder_and_home(ledger=ledger) as (forwarder, home, upstream):
        await home.stop()
        response = await forwarder.call(POST, KEY, b'x')
        assert (response.status, response.outcome) == (200, 'answered')
        assert len(upstream.requests) == 1


async def test_a_request_is_dispatched_locally_if_the_home_lacks_the_service():
    async with forwarder_and_home(ledger=FakeLedger()) as (
        forwarder,
        home,
        upstream,
    ):
        home.core.apply_document(Document(2))
        assert (await forwarder.call(POST, KEY, b'x')).status == 200
        home.core.frontend.not_ready_reason = lambda: 'no_configuration'
        assert (await forwarder.call()).status == 200


async def test_the_refusal_of_a_home_is_returned_with_its_outcome():
    async with forwarder_and_home() as (forwarder, home, upstream):
        upstream.kill()
        response = await forwarder.call()
        assert (response.code, response.outcome) == (
            'no_upstream', 'not-run'
        )  # fmt: skip


async def call_with_lost_home(line, headers, ledger):
    """Call an instance whose homes read each request and disconnect.

    Return the response and how many requests the homes and the upstream read.
    """

    async def drop(upstream, reader, writer):
        await upstream.read(reader)

    home = ScriptedUpstream(drop)
    await home.start()
    upstream = ScriptedUpstream(answering())
    await upstream.start()
    forwarder = Proxy([upstream.address], ledger)
    await forwarder.start()
    homes = [instance(name, home.address) for name in ('i2', 'i3')]
    forwarder.core.apply_view(view(*homes))
    response = await forwarder.call(line, headers, b'x')
    await forwarder.stop()
    upstream.kill()
    home.kill()
    return response, len(home.requests), len(upstream.requests)


async def test_a_keyed_request_lost_at_a_home_is_not_retried():
    ledger = FakeLedger()
    response, home_requests, upstream_requests = await call_with_lost_home(
        POST, KEY + b'Crocus-Attempt: 1\r\n', ledger
    )
    assert (response.status, response.outcome) == (502, 'unknown')
    assert (home_requests, upstream_requests, ledger.claims) == (1, 0, [])


async def test_an_idempotent_request_lost_at_a_home_is_dispatched_directly():
    response, home_requests, upstream_requests = await call_with_lost_home(
        b'PUT /s/x', b'', None
    )
    assert (response.status, response.outcome) == (200, 'answered')
    assert (home_requests, upstream_requests) == (1, 1)


async def test_homes_in_the_same_failure_domain_come_first():
    proxy = Proxy([])
    homes = [instance(f'h{n}', f'a:{n}', f'fd{n % 4}') for n in range(12)]
    proxy.core.apply_view(view(*homes))
    service = proxy.core.reader.services['s']
    chosen = proxy.core.forwarder.homes(type(service)('s', homes=4))
    assert len(chosen) == 4
    assert chosen[0].failure_domain == 'fd1'
