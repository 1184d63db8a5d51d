"""Guards against a SIGHUP that kills a process which is still starting."""

import os
import signal

import pytest

from crocusproxy.entry.reload_signal import ReloadSignal


@pytest.fixture
def reload_signal():
    previous_handler = signal.getsignal(signal.SIGHUP)
    yield ReloadSignal()
    signal.signal(signal.SIGHUP, previous_handler)


def send_sighup():
    os.kill(os.getpid(), signal.SIGHUP)


def test_signals_before_connect_cause_one_reload_at_connect(reload_signal):
    reloads = []
    send_sighup()
    send_sighup()
    reload_signal.connect(lambda: reloads.append(1))
    assert len(reloads) == 1


def test_each_later_signal_causes_a_reload(reload_signal):
    reloads = []
    reload_signal.connect(lambda: reloads.append(1))
    send_sighup()
    send_sighup()
    assert len(reloads) == 2
