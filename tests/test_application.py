"""Guards against a signal that ends a program without its clean-up."""

import os
import signal
from datetime import timedelta
from multiprocessing import get_context

import pytest

from crocusproxy import application as module
from crocusproxy.application import Application


def run_program(pipe, stage):
    """Run an application that sends itself a signal in ``stage``."""
    application = Application('test', drain_limit=timedelta(seconds=5))

    def hook(name, number=signal.SIGTERM):
        async def run():
            pipe.send(name)
            if name == stage:
                os.kill(os.getpid(), number)

        return run

    async def fail():
        raise RuntimeError

    application.on_start.append(hook('start'))
    application.on_ready.append(hook('ready', signal.SIGINT))
    application.on_drain += [fail, hook('drain')]
    application.on_stop += [hook('stop'), hook('stop first')]
    if stage == 'drain':
        application.on_ready.append(hook('drain'))
    if stage == 'between':
        signal_between_runs(application)
    application.run()
    pipe.send('end')


def signal_between_runs(application):
    """Send SIGTERM between the loop runs for the start and for the wait."""
    original = module._LifeCycle.__init__

    def patched(service, *args):
        original(service, *args)
        waiting = service.stopping.wait

        def wait():
            os.kill(os.getpid(), signal.SIGTERM)
            return waiting()

        service.stopping.wait = wait

    module._LifeCycle.__init__ = patched


@pytest.mark.parametrize('stage', ['start', 'ready', 'between', 'drain'])
def test_a_signal_at_any_stage_runs_every_hook_once_and_in_order(stage):
    context = get_context('spawn')
    receiver, sender = context.Pipe()
    child = context.Process(target=run_program, args=(sender, stage))
    child.start()
    sender.close()
    child.join(30)
    child.kill()
    child.join()
    seen = []
    while receiver.poll():
        try:
            seen.append(receiver.recv())
        except EOFError:
            break
    expected = ['start', 'ready', 'drain', 'stop first', 'stop', 'end']
    if stage == 'drain':
        expected.insert(2, 'drain')
    assert (child.exitcode, seen) == (0, expected)
