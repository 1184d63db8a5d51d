"""Guards against a late end that is blamed on the wrong cause."""

import os

from soak.processor_time import processor_wait


def test_wait_of_a_process_grows_only():
    waits = [processor_wait(os.getpid()) for _ in range(3)]
    assert waits == sorted(waits)


def test_process_that_has_ended_has_none():
    assert processor_wait(0) == 0
