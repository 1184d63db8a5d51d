"""Guards against requests beyond the quota that run, and lost tokens."""

import asyncio
from random import Random

from crocusproxy.accounts.keys import key_digest
from crocusproxy.entry.quota_gate import QuotaGate
from crocusproxy.limits.account_quota import (
    AccountQuotas,
    QuotaBounds,
)
from crocusproxy.limits.quota_division import (
    WholeQuota,
)
from crocusproxy.routes.model import ClientAccount

from .harness import GatewaySystem, make_server, run_scenario
from .test_authentication import KEY, make_accounts_config
from .test_home_forwarder import set_home
from .test_overflow import send_many, use_domain_homes

#: Some 2 tokens to start with, and no further one during a test.
ACCOUNT = ClientAccount('first', (key_digest('secret-1'),), rate=0.001, burst=2)
CONFIG = make_accounts_config(accounts=(ACCOUNT,), anonymous=('/safe/',))
BOUNDS = QuotaBounds(5, 0.1, 20)


def use_quotas(system):
    system.quotas = AccountQuotas(BOUNDS, Random(1))
    gate = QuotaGate(
        system.quotas, system.clock, system.gateway.metrics, system.log
    )
    system.gateway.request_server.quota_gate = gate
    system.dispatcher.charge = gate.charge
    now = system.clock.monotonic().total_seconds()
    system.quotas.apply_division(WholeQuota(), now)


def close(request_id):
    raise ConnectionError


def tokens(system):
    return round(system.quotas.buckets['first'].tokens)


async def statuses(system, count, **options):
    options = {'headers': (KEY,)} | options
    return [
        (await system.request(f'r{number}', **options))[0]
        for number in range(count)
    ]


def run_with_quotas(scenario, servers):
    async def run(system):
        use_quotas(system)
        await scenario(system)

    run_scenario(run, servers, CONFIG)


def test_request_beyond_the_quota_gets_429_and_is_not_run():
    async def scenario(system):
        assert await statuses(system, 2) == [200, 200]
        status, headers, body = await system.request('r2', headers=(KEY,))
        assert status == 429
        assert b'"over_quota"' in body
        assert float(headers['retry-after']) > 100
        await statuses(system, 5)
        assert system.servers[0].runs == ['r0', 'r1']
        events = [event for event, _ in system.log_lines]
        assert 1 <= events.count('account_over_quota') <= 2
        # Requests without an account have no quota.
        assert await statuses(system, 3, headers=()) == [200] * 3

    run_with_quotas(scenario, [make_server()])


def test_request_that_was_not_run_gets_its_token_back():
    async def scenario(system):
        system.servers[0].slots = 0
        for path in ('/safe/x', '/once/x'):
            assert await statuses(system, 3, path=path) == [503] * 3
        assert tokens(system) == 2

    run_with_quotas(scenario, [make_server()])


def test_disconnect_before_the_send_returns_the_token():
    async def scenario(system):
        system.register(system.servers[0], sequence=2, leaving=True)
        busy = make_server('i-2', work=0.5, slots=1)
        await system.add(busy)
        callers = [await system.connect() for _ in range(2)]
        for number, caller in enumerate(callers):
            caller.send(f'r{number}', headers=(KEY,))
            await asyncio.sleep(0.1)
        assert tokens(system) == 0
        callers[1].close()
        await asyncio.sleep(0.1)
        assert tokens(system) == 1

    run_with_quotas(scenario, [make_server()])


def test_retry_of_a_request_that_may_have_run_takes_a_token():
    async def scenario(system):
        system.allow_retries()
        for server in system.servers:
            server.response_script = close
        assert await statuses(system, 1) == [502]
        assert sum(len(server.heads) for server in system.servers) == 2
        assert tokens(system) == 0

    run_with_quotas(scenario, [make_server('i-1'), make_server('i-2')])


def test_forwarding_instance_counts_nothing():
    async def scenario(system):
        home = await GatewaySystem().start([make_server('i-2')], CONFIG)
        use_quotas(home)
        await set_home(system, home.address)
        assert await statuses(system, 3) == [200, 200, 429]
        assert not system.quotas.buckets
        await home.stop()

    run_with_quotas(scenario, [make_server()])


def test_request_that_overflows_is_counted_once():
    async def scenario(system):
        neighbor = await GatewaySystem().start(
            [make_server('i-2', slots=4)], CONFIG
        )
        use_quotas(neighbor)
        use_domain_homes(system, neighbor.address)
        responses = await send_many(system, 4, headers=())
        assert [status for status, _, _ in responses] == [200] * 4
        busy = asyncio.create_task(send_many(system, 2, headers=()))
        await asyncio.sleep(0.1)
        assert await statuses(system, 3) == [200, 200, 429]
        assert 'r0' in neighbor.servers[0].runs
        assert not neighbor.quotas.buckets
        await busy

    run_with_quotas(scenario, [make_server(work=0.4, slots=1)])
