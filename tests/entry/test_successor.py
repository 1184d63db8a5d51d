"""Guards against requests that are lost when another instance takes over."""

import asyncio

from crocusproxy.entry.home_forwarder import HomeForwarder
from crocusproxy.proxy.pool import NotOpenedError

from .harness import GatewaySystem, make_server, run_scenario


class Takeover:
    """An instance that dispatches until ``begin`` names its successor."""

    def __init__(self, system, successor):
        self.system = system
        self.successor = successor
        self.address = ''
        system.gateway.request_server.forwarder = HomeForwarder(
            system.pool, system.messages, system.clock, lambda _: self.address
        )
        system.dispatcher.has_successor = lambda _: bool(self.address)

    def begin(self):
        self.address = self.successor.address
        self.system.dispatcher.hand_over()


def with_successor(scenario, servers, successor_servers):
    async def run(system):
        successor = await GatewaySystem().start(successor_servers)
        try:
            await scenario(system, Takeover(system, successor))
        finally:
            await successor.stop()

    run_scenario(run, servers)


def test_waiting_request_is_served_by_the_successor():
    async def scenario(system, takeover):
        busy, waiting = (
            asyncio.create_task(system.request(request_id, '/once/x', 'POST'))
            for request_id in ('r1', 'r2')
        )
        await asyncio.sleep(0.1)
        takeover.begin()
        assert (await waiting)[0] == 200
        assert takeover.successor.servers[0].runs == ['r2']
        # The other one runs here and is not sent again.
        assert (await busy)[0] == 200

    with_successor(
        scenario,
        [make_server('here', slots=1, work=0.4)],
        [make_server('there')],
    )


def test_request_that_could_not_be_sent_is_served_by_the_successor():
    async def scenario(system, takeover):
        open_connection = system.pool.open

        async def fail_once(address, *timeouts):
            system.pool.open = open_connection
            takeover.begin()
            raise NotOpenedError(address)

        system.pool.open = fail_once
        assert (await system.request('r1', '/once/x', 'POST'))[0] == 200
        assert takeover.successor.servers[0].runs == ['r1']

    with_successor(scenario, [make_server('here')], [make_server('there')])


def test_request_whose_response_was_lost_is_not_sent_to_the_successor():
    """It may have run."""

    async def scenario(system, takeover):
        def cut(request_id):
            takeover.begin()
            raise ConnectionError

        system.servers[0].response_script = cut
        status, _, _ = await system.request('r1', '/once/x', 'POST')
        assert status == 502
        assert not takeover.successor.servers[0].runs

    with_successor(scenario, [make_server('here')], [make_server('there')])


def test_forwarded_request_is_declined_after_the_takeover():
    """The sender then forwards it to the successor itself."""

    async def scenario(system, takeover):
        sender = await GatewaySystem().start()
        address = {'home': system.address}
        sender.gateway.request_server.forwarder = HomeForwarder(
            sender.pool,
            sender.messages,
            sender.clock,
            lambda _: address['home'],
        )
        busy, waiting = (
            asyncio.create_task(sender.request(request_id, '/once/x', 'POST'))
            for request_id in ('r1', 'r2')
        )
        await asyncio.sleep(0.1)
        address['home'] = takeover.successor.address
        takeover.begin()
        assert (await waiting)[0] == 200
        assert takeover.successor.servers[0].runs == ['r2']
        assert (await busy)[0] == 200
        await sender.stop()

    with_successor(
        scenario,
        [make_server('here', slots=1, work=0.4)],
        [make_server('there')],
    )
