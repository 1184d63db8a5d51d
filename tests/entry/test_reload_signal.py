"""Guards against a SIGHUP that ends a process which is still starting."""

import os
import signal

import pytest

from crocusproxy.entry.reload_signal import ReloadSignal


@pytest.fixture
def reload_signal():
    before = signal.getsignal(signal.SIGHUP)
    yield ReloadSignal()
    signal.signal(signal.SIGHUP, before)


def hang_up():
    os.kill(os.getpid(), signal.SIGHUP)


def test_signal_that_comes_before_the_start_is_obeyed_after_it(reload_signal):
    reloads = []
    hang_up()
    hang_up()
    reload_signal.connect(lambda: reloads.append(1))
    assert len(reloads) == 1


def test_each_later_signal_is_obeyed(reload_signal):
    reloads = []
    reload_signal.connect(lambda: reloads.append(1))
    hang_up()
    hang_up()
    assert len(reloads) == 2
