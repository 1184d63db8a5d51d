"""Checks of client accounts: names, keys and quotas."""

from collections.abc import Iterator

from ..accounts.keys import short_digest
from ..routes.model import ClientAccount
from .findings import Finding, error, warning
from .names import repeated_names


def account_findings(accounts: tuple[ClientAccount, ...]) -> Iterator[Finding]:
    """Yield findings about the client accounts of a configuration."""
    yield from repeated_names(
        'accounts', (account.name for account in accounts)
    )
    yield from _shared_keys(accounts)
    for index, account in enumerate(accounts):
        if not account.key_digests:
            yield warning(
                'account_without_keys',
                f'no request can belong to account {account.name!r}',
                'accounts',
                index,
            )
        yield from _quota_findings(index, account)


def _shared_keys(accounts: tuple[ClientAccount, ...]) -> Iterator[Finding]:
    holders: dict[str, int] = {}
    for index, account in enumerate(accounts):
        for number, digest in enumerate(account.key_digests):
            holder = holders.setdefault(digest, index)
            if holder != index:
                yield error(
                    'key_of_several_accounts',
                    f'key {short_digest(digest)} also belongs to account '
                    f'{accounts[holder].name!r} and is valid for neither',
                    'accounts',
                    index,
                    'key_digests',
                    number,
                )


def _quota_findings(index: int, account: ClientAccount) -> Iterator[Finding]:
    if account.rate > 0 and account.burst == 0:
        yield warning(
            'burst_missing',
            'with a burst of 0, requests are rejected unless they are '
            'spread evenly',
            'accounts',
            index,
            'burst',
        )
    elif account.burst < account.rate:
        yield warning(
            'burst_below_rate',
            f'a burst of {account.burst:g} is less than a second '
            f'of the rate {account.rate:g}',
            'accounts',
            index,
            'burst',
        )
    elif account.burst > 0 and account.rate == 0:
        yield warning(
            'burst_without_rate',
            'the burst has no effect without a rate',
            'accounts',
            index,
            'burst',
        )
