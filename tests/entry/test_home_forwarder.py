"""Guards against requests that are lost or run twice on the way to the home."""

import asyncio

from crocusproxy.entry.home_forwarder import HomeForwarder

from .harness import System, config, play, server


async def attach(system, home_address):
    system.gateway.forwarder = HomeForwarder(
        system.pool, system.messages, system.clock, lambda: home_address
    )


def with_home(scenario, home_config=None, work=0.0):
    """Run ``scenario`` with an instance that passes requests to a home."""

    async def outer(system):
        home = await System().start([server('i-2', work=work)], home_config)
        ticking = asyncio.create_task(home.dispatcher.run_queues())
        await attach(system, home.address)
        try:
            await scenario(system, home)
        finally:
            ticking.cancel()
            await home.stop()

    play(outer, [server('i-1')])


def test_request_is_served_by_the_home():
    async def scenario(system, home):
        status, headers, body = await system.ask(
            'r1', '/once/x', 'POST', b'payload'
        )
        assert (status, body) == (200, b'r1')
        assert headers['x-crocusproxy-response-signature'] == 's'
        head, sent = home.servers[0].heads[0]
        assert sent == b'payload'
        assert 'Crocus-Hop' not in head
        assert not system.servers[0].runs

    with_home(scenario)


def test_home_with_an_older_configuration_declines():
    """The sender would otherwise go back behind what it has shown before."""

    async def scenario(system, home):
        system.catalog.apply_config(config(version=2))
        assert (await system.ask('r1'))[2] == b'r1'
        assert system.servers[0].runs == ['r1']
        assert not home.servers[0].runs

    with_home(scenario)


def test_refusal_of_the_home_is_passed_on():
    async def scenario(system, home):
        home.register(home.servers[0], sequence=2, leaving=True)
        status, headers, body = await system.ask('r1')
        assert status == 503
        assert b'no_upstream' in body
        assert float(headers['retry-after']) > 0

    with_home(scenario)


def test_home_that_can_not_be_reached_is_passed_over():
    async def scenario(system):
        await attach(system, '127.0.0.1:1')
        assert (await system.ask('r1', '/once/', 'POST', b'x'))[2] == b'r1'

    play(scenario, [server()])


def test_request_that_a_lost_home_may_have_run_is_not_run_again():
    async def scenario(system, home):
        asking = asyncio.create_task(system.ask('r1', '/once/', 'POST', b'x'))
        safe = asyncio.create_task(system.ask('r2'))
        await asyncio.sleep(0.1)
        for connection in tuple(home.gateway.connections):
            connection.transport.abort()
        assert (await asking)[0] == 502
        assert (await safe)[2] == b'r2'
        assert system.servers[0].runs == ['r2']

    with_home(scenario, work=0.4)


def test_caller_that_leaves_cancels_its_request_at_the_home():
    async def scenario(system, home):
        caller = await system.connect()
        caller.send('r1')
        await asyncio.sleep(0.1)
        caller.close()
        await asyncio.sleep(0.1)
        placer = home.dispatcher.placers['s']
        assert placer.upstreams['i-2'].in_flight == 0

    with_home(scenario, work=0.4)
