"""Guards against requests that run without a valid key, or are refused."""

from datetime import timedelta

import pytest
from multidict import CIMultiDict

from crocusproxy.accounts.directory import (
    AccountDirectory,
    Anonymous,
    Authenticated,
    Rejected,
)
from crocusproxy.accounts.keys import key_digest
from crocusproxy.routes.model import ClientAccount, Route, WeightedService

SECOND = timedelta(seconds=1)


def make_account(name, *keys):
    return ClientAccount(name, tuple(key_digest(key) for key in keys))


def make_route(anonymous):
    parts = (WeightedService('s', 1),)
    return Route('r', '', '/', True, SECOND, SECOND, 1, 1, parts, anonymous)


def authenticate(accounts, *values, anonymous=False):
    directory = AccountDirectory(accounts, 'Authorization')
    headers = CIMultiDict([('authorization', value) for value in values])
    return directory.authenticate(headers, make_route(anonymous))


@pytest.mark.parametrize('anonymous', [False, True])
@pytest.mark.parametrize(
    'value', ['Bearer k2', 'bearer k2', 'BEARER   k2', 'Bearer k2 ']
)
def test_key_identifies_its_account(value, anonymous):
    """Also on an anonymous route, so that its requests count."""
    accounts = (make_account('a', 'k1', 'k2'), make_account('b', 'k3'))
    identity = authenticate(accounts, value, anonymous=anonymous)
    assert identity == Authenticated(accounts[0])


@pytest.mark.parametrize('anonymous', [False, True])
@pytest.mark.parametrize(
    'values',
    [
        ('Bearer other',),
        ('Bearer K',),
        ('Bearer',),
        ('Bearer ',),
        ('',),
        ('k',),
        ('Basic k',),
        ('Bearer k k',),
        ('Bearer\tk',),
        ('Bearer k,k',),
        ('Bearer k\udcff',),
        ('Bearer k', 'Bearer k'),
        ('Bearer k', 'Bearer other'),
    ],
)
def test_unknown_malformed_and_repeated_keys_are_rejected(values, anonymous):
    accounts = (make_account('a', 'k', ''),)
    assert authenticate(accounts, *values, anonymous=anonymous) == Rejected()


def test_missing_key_is_rejected_unless_the_route_is_anonymous():
    accounts = (make_account('a', 'k'),)
    assert authenticate(accounts) == Rejected()
    assert authenticate(accounts, anonymous=True) == Anonymous()
    assert authenticate(()) == Rejected()


def test_key_of_two_accounts_is_valid_for_neither(monkeypatch):
    """One account would otherwise act, and be charged, as the other."""
    lines = []
    monkeypatch.setattr(
        'crocusproxy.accounts.directory.log',
        lambda event, **fields: lines.append((event, fields)),
    )
    accounts = (
        make_account('a', 'shared', 'own', 'own'),
        make_account('b', 'shared'),
        make_account('c', 'shared'),
    )
    assert authenticate(accounts, 'Bearer shared') == Rejected()
    assert authenticate(accounts, 'Bearer own') == Authenticated(accounts[0])
    event, fields = lines[0]
    assert event == 'account_keys_unusable'
    assert fields == {
        'code': 'key_of_several_accounts',
        'keys': 1,
        'accounts': ['a', 'b', 'c'],
    }


def test_account_without_keys_is_no_obstacle():
    accounts = (make_account('none'), make_account('a', 'k'))
    assert authenticate(accounts, 'Bearer k') == Authenticated(accounts[1])
