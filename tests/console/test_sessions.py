"""Guards against sign-in without a token and forms from other sites."""

import hashlib
from datetime import timedelta

import pytest

from crocusproxy.clock import ManualClock
from crocusproxy.console.sessions import (
    FAILURE_WINDOW,
    MAX_FAILED_SIGN_INS,
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
