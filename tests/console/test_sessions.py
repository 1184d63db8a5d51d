"""Guards against sign-in without a token and forms from other sites."""

import hashlib
from datetime import timedelta

import pytest

from crocusproxy.clock import ManualClock
from crocusproxy.console.failed_sign_ins import (
    FAILURE_WINDOW,
    MAX_FAILED_SIGN_INS,
    MAX_ORIGINS,
)
from crocusproxy.console.sessions import (
    SESSION_LIFETIME,
    ForgedRequestError,
    SessionStore,
    SignInError,
    TooManyFailedSignInsError,
)
from crocusproxy.console.settings import Operator


@pytest.fixture
def clock():
    return ManualClock()


@pytest.fixture
def store(clock):
    digest = hashlib.sha256(b'secret').hexdigest()
    return SessionStore((Operator('ana', digest),), clock)


def test_token_identifies_the_operator(store):
    assert store.sign_in('secret').operator == 'ana'


def test_invalid_token_opens_no_session(store):
    with pytest.raises(SignInError):
        store.sign_in('guess')
    assert not store.sessions


def test_sign_in_limit_applies_to_valid_tokens_too(store, clock):
    for _ in range(MAX_FAILED_SIGN_INS):
        with pytest.raises(SignInError):
            store.sign_in('guess')
    with pytest.raises(TooManyFailedSignInsError):
        store.sign_in('secret')
    clock.advance(FAILURE_WINDOW + timedelta(seconds=1))
    assert store.sign_in('secret').operator == 'ana'


def fail(store, address, name='', count=MAX_FAILED_SIGN_INS):
    for _ in range(count):
        with pytest.raises(SignInError):
            store.sign_in('guess', address, name)


def test_failures_of_one_client_do_not_lock_out_others(store):
    """One attacker kept every operator from signing in."""
    fail(store, '192.0.2.1')
    with pytest.raises(TooManyFailedSignInsError):
        store.sign_in('secret', '192.0.2.1')
    assert store.sign_in('secret', '192.0.2.2').operator == 'ana'


def test_operator_who_shares_an_address_signs_in_by_name(store):
    """Behind a proxy, all clients have one address."""
    fail(store, '192.0.2.1')
    assert store.sign_in('secret', '192.0.2.1', 'ana').operator == 'ana'


def test_names_and_addresses_of_one_network_give_no_more_attempts(store):
    fail(store, '2001:db8::1', count=5)
    fail(store, '2001:db8::2', 'nobody', count=5)
    with pytest.raises(TooManyFailedSignInsError):
        store.sign_in('secret', '2001:db8::3')
    fail(store, '2001:db8::1', 'ana')
    with pytest.raises(TooManyFailedSignInsError):
        store.sign_in('secret', '2001:db8::1', 'ana')


def test_token_of_another_operator_is_refused(store):
    """It would give as many attempts as there are operators for one token."""
    with pytest.raises(SignInError, match='does not belong'):
        store.sign_in('secret', '192.0.2.1', 'luz')


def test_failures_of_many_addresses_are_bounded_in_memory(store):
    for number in range(MAX_ORIGINS + 10):
        fail(store, f'10.0.{number // 256}.{number % 256}', count=1)
    assert len(store.failed_sign_ins.failures) == MAX_ORIGINS


def test_session_ends_by_expiry_and_by_sign_out(store, clock):
    first = store.sign_in('secret')
    second = store.sign_in('secret')
    store.sign_out(first)
    assert store.find(first.identifier) is None
    assert store.find(second.identifier) == second
    clock.advance(SESSION_LIFETIME)
    assert store.find(second.identifier) is None


@pytest.mark.parametrize('form_token', ['', 'other', '\u00e9'])
def test_form_without_the_token_of_the_session_is_refused(store, form_token):
    session = store.sign_in('secret')
    with pytest.raises(ForgedRequestError):
        store.check_form_token(session, form_token)
