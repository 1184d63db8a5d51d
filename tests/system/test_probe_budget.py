"""Guards against probes above the configured budget."""

import signal

from crocusproxy.measurement.rights import RightsSettings
from standins.demo_settings import PROBES_PER_SECOND
from tests.system.harness import wait_until

WINDOW_SECONDS = 1
TERM_SECONDS = RightsSettings().term.total_seconds()


async def probe_times(system):
    """Return the times of all probes at all upstreams, in order."""
    counters = await system.counters()
    return sorted(time for one in counters for time in one['probe_times'])


def max_probes_in_a_window(times):
    return max(
        sum(first <= time < first + WINDOW_SECONDS for time in times)
        for first in times
    )


def test_probes_stay_within_the_budget_after_a_pause_and_an_outage(run_system):
    """A holder resumed after its term must not probe alongside the next one."""

    async def scenario(system):
        await system.upstream_faults(*system.layout.upstreams, silent=True)
        home, other, _ = await system.homes()

        async def has_probes(after, count=3):
            times = await probe_times(system)
            return sum(time > after for time in times) >= count

        async def last_probe():
            return (await probe_times(system))[-1]

        async with system.load(keyed_share=0, callers=6):
            await wait_until(lambda: has_probes(0), 25)
            frozen = system.process(home, 'crocus-proxy')
            frozen.send_signal(signal.SIGSTOP)
            stopped = await last_probe()
            # Long enough for the other home to acquire the right.
            await wait_until(lambda: has_probes(stopped + TERM_SECONDS), 40)
            frozen.send_signal(signal.SIGCONT)
            resumed = await last_probe()
            await wait_until(lambda: has_probes(resumed), 25)
            await system.faults(outage=True)
            before = len(system.finished_calls())
            outage = await last_probe()
            await wait_until(
                lambda: len(system.finished_calls()) >= before + 800, 40
            )
            # Rights expire, but calls continue.
            assert await last_probe() < outage + TERM_SECONDS + WINDOW_SECONDS
        assert (
            max_probes_in_a_window(await probe_times(system))
            <= PROBES_PER_SECOND
        )

    run_system(scenario, limit=150)
