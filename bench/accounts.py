"""Duration of key lookups and quota decisions, by the number of accounts.

Each lookup parses the header, computes the digest and finds the account. Each
quota decision is that of one of three domain homes, with its reports. The
bound is that of docs/design/accounts-and-scarce-capacity.md.
"""

import time
from collections.abc import Callable
from datetime import timedelta
from random import Random
from statistics import median

from multidict import CIMultiDict

from crocusproxy.accounts.directory import AccountDirectory, Authenticated
from crocusproxy.accounts.keys import key_digest
from crocusproxy.limits.account_quota import (
    AccountQuotas,
    QuotaBounds,
    SharedQuota,
)
from crocusproxy.membership.quota_reports import QuotaReports
from crocusproxy.protocol.home_feed import Member
from crocusproxy.routes.model import ClientAccount, Route, WeightedService

MAX_MICROSECONDS = 20.0
_ACCOUNTS = (100, 100_000)
_ROUNDS = 20
_SHORT_ROUNDS = 5
_CALLS_PER_ROUND = 5_000
_SECOND = timedelta(seconds=1)
_ROUTE = Route(
    'r', '', '/', True, _SECOND, _SECOND, 1, 1, (WeightedService('s', 1),)
)


def run(short: bool) -> bool:
    """Print the table and return whether the bounds hold."""
    rounds = _SHORT_ROUNDS if short else _ROUNDS
    print('\nClient accounts, one thread')
    print('accounts  lookup us  quota us')
    holds = True
    for count in _ACCOUNTS:
        accounts = make_accounts(count)
        lookup = measure(make_lookup(accounts), count, rounds)
        quota = measure(make_quota_decision(accounts), count, rounds)
        print(f'{count:8}  {lookup:9.2f}  {quota:8.2f}')
        holds = holds and max(lookup, quota) < MAX_MICROSECONDS
    return holds


def make_accounts(count: int) -> list[ClientAccount]:
    return [
        ClientAccount(
            f'account-{number}', (key_digest(f'key-{number}'),), None, 10, 20
        )
        for number in range(count)
    ]


def make_lookup(accounts: list[ClientAccount]) -> Callable[[int], None]:
    """Return a function that looks up the key of an account by its number."""
    directory = AccountDirectory(accounts, 'Authorization')

    def look_up(number: int) -> None:
        headers = CIMultiDict(Authorization=f'Bearer key-{number}')
        identity = directory.authenticate(headers, _ROUTE)
        assert identity == Authenticated(accounts[number])

    return look_up


def make_quota_decision(
    accounts: list[ClientAccount],
) -> Callable[[int], None]:
    """Return a function that decides on a request of an account."""
    quotas = AccountQuotas(QuotaBounds(5, 0.1, 20), Random(1))
    members = [Member(name, name, '', '', 1, 1) for name in 'abc']
    reports = QuotaReports(members[0], lambda account, count: None)
    reports.update_peers(members[1:], 0)
    quotas.unreported = reports.unreported
    quotas.on_take = reports.record
    quotas.apply_accounts(accounts, 0)
    quotas.apply_division(SharedQuota(len(members)), 0)

    def decide(number: int) -> None:
        quotas.admit(accounts[number], time.monotonic())

    return decide


def measure(call: Callable[[int], None], count: int, rounds: int) -> float:
    """Return the median duration of calls over the rounds, in microseconds."""
    random = Random(1)
    return median(_measure_round(call, count, random) for _ in range(rounds))


def _measure_round(
    call: Callable[[int], None], count: int, random: Random
) -> float:
    numbers = [random.randrange(count) for _ in range(_CALLS_PER_ROUND)]
    started = time.perf_counter()
    for number in numbers:
        call(number)
    return (time.perf_counter() - started) / _CALLS_PER_ROUND * 1e6
