"""Guards against probes above the operators' budget."""

import signal

from crocusproxy.measurement.rights import RightsSettings
from standins.demo_settings import PROBES_PER_SECOND
from tests.system.harness import until

WINDOW_SECONDS = 1
TERM_SECONDS = RightsSettings().term.total_seconds()


async def probe_times(system):
    """Return the times of all probes at all upstreams, in order."""
    counters = await system.counters()
    return sorted(time for one in counters for time in one['probe_times'])


def most_in_a_window(times):
    return max(
        sum(first <= time < first + WINDOW_SECONDS for time in times)
        for first in times
    )


def test_probes_stay_within_the_budget_over_a_freeze_and_an_outage(run_system):
    """A holder that wakes after its term must not probe beside the next one."""

    async def scenario(system):
        await system.upstream_faults(*system.layout.upstreams, silent=True)
        home, other, _ = await system.homes()

        async def probed(after, count=3):
            times = await probe_times(system)
            return sum(time > after for time in times) >= count

        async def last_probe():
            return (await probe_times(system))[-1]

        async with system.load(keyed_share=0, callers=6):
            await until(lambda: probed(0), 25)
            frozen = system.process(home, 'crocus-proxy')
            frozen.send_signal(signal.SIGSTOP)
            stopped = await last_probe()
            # Long enough for the other home to take the right over.
            await until(lambda: probed(stopped + TERM_SECONDS), 40)
            frozen.send_signal(signal.SIGCONT)
            resumed = await last_probe()
            await until(lambda: probed(resumed), 25)
            await system.faults(outage=True)
            before = len(system.ended())
            outage = await last_probe()
            await until(lambda: len(system.ended()) >= before + 800, 40)
            # Rights that were held run out; calls go on.
            assert await last_probe() < outage + TERM_SECONDS + WINDOW_SECONDS
        assert most_in_a_window(await probe_times(system)) <= PROBES_PER_SECOND

    run_system(scenario, limit=150)
