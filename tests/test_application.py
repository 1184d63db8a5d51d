"""Guards the life cycle against signals at inconvenient moments."""

import signal

from crocusproxy.application import Application


def test_a_signal_during_the_start_or_the_drain_skips_no_hook():
    """The default action would end the process with requests in progress."""
    seen = []

    def hook(name):
        async def note():
            seen.append(name)
            signal.raise_signal(signal.SIGTERM)

        return note

    application = Application(
        'test',
        on_start=[hook('start')],
        on_ready=[hook('ready')],
        on_drain=[hook('drain')],
        on_stop=[hook('stop')],
    )
    former = signal.getsignal(signal.SIGTERM)
    application.run()
    assert seen == ['start', 'ready', 'drain', 'stop']
    assert signal.getsignal(signal.SIGTERM) is former
