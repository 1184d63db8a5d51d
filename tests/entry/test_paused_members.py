"""Guards against elections after a pause of all instances of a host."""

import asyncio
import signal

from .test_process import run_instances

PAUSE_SECONDS = 1.5
#: The home goes on later than its followers.
HOME_DELAY_SECONDS = 0.25
SETTLE_SECONDS = 1.0


def send_signal(instances, number):
    for instance in instances:
        instance.process.send_signal(number)


def test_home_that_paused_with_its_followers_stays_home(tmp_path):
    """A busy host stops all for a time; each follower lost its home."""

    async def scenario(store, *instances):
        await asyncio.sleep(SETTLE_SECONDS)
        (address,) = await instances[0].addresses()
        followers = [
            one for one in instances if str(one.ports['callers']) not in address
        ]
        assert len(followers) == len(instances) - 1
        send_signal(instances, signal.SIGSTOP)
        await asyncio.sleep(PAUSE_SECONDS)
        send_signal(followers, signal.SIGCONT)
        await asyncio.sleep(HOME_DELAY_SECONDS)
        send_signal(instances, signal.SIGCONT)
        await asyncio.sleep(SETTLE_SECONDS)
        # They must not see the end of their home when the test ends.
        send_signal(instances, signal.SIGSTOP)

    outputs = run_instances(tmp_path, scenario, count=3)
    events = [line['message_type'] for lines in outputs for line in lines]
    assert events.count('home_taken_over') == 1
    assert 'home_lost' not in events
    assert 'loop_paused' in events
