"""How long stopped instances take to end, against the time of their kill."""

import asyncio
import math
import signal
import subprocess
import time
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

from soak.instance_log import LogEvent
from soak.instances import Instance
from soak.link import LinkFault

from .stop_callers import MIXTURES, answer_large, start_callers
from .testbed import MarginTestbed

#: The callers are at work this long before a stop, and a drawn time besides.
CALL_SECONDS = 0.6
MAX_PHASE_SECONDS = 1.2
SETTLE_SECONDS = 1.5
#: A process that ends later than this after the bound is killed.
MAX_LATE_SECONDS = 3.0
#: Service times of upstreams; the slow ones leave requests at work at the end.
WORK_SECONDS = (0.02, 0.02, 0.3, 0.6)
#: Share of stops during which a failure domain has lost the store, so that
#: others relay its long polls.
_RELAY_SHARE = 0.3
_POLL_SECONDS = 0.05
_CLOCK_ERROR_SECONDS = 0.001
_COUNTS = {'one': 1, 'two': 2, 'four': 4}
#: The series of stops that ``draw_stop`` knows.
PLANS = ('mix', *_COUNTS, 'home', 'home+one')


@dataclass(frozen=True, slots=True)
class Stop:
    """Instances that get SIGTERM at the same time, and what surrounds it."""

    name: str
    instances: tuple[Instance, ...]
    mixture: str
    cut: tuple[Instance, ...]


@dataclass(frozen=True, slots=True)
class EndResult:
    """The end of one instance; times are in seconds after the SIGTERM.

    ``exit`` is when the process was reaped, the others are of its log lines,
    None without one.
    """

    stop: str
    instance: str
    sent_at: float
    exit: float
    exit_code: int
    draining: float | None
    port_closed: float | None
    drain_limit_passed: float | None
    stopped: float | None

    def line(self) -> str:
        """Return the result in words."""
        parts = ', '.join(
            f'{name} {seconds:.3f}'
            for name, seconds in (
                ('draining', self.draining),
                ('port closed', self.port_closed),
                ('drain limit', self.drain_limit_passed),
                ('stopped', self.stopped),
            )
            if seconds is not None
        )
        return (
            f'exit {self.exit:.3f} s with {self.exit_code}, {parts},'
            f' {self.instance} at {self.sent_at:.3f}, stop {self.stop}'
        )


def draw_stop(testbed: MarginTestbed, plan: str, random: Random) -> Stop:
    """Return the next stop of a series; ``mix`` draws one of the plans.

    Raises:
        ValueError: there is no such plan.
    """
    home = testbed.home()
    others = [one for one in testbed.instances if one is not home]
    match plan:
        case 'mix':
            return draw_stop(testbed, random.choice(PLANS[1:]), random)
        case 'home':
            stopped = [home]
        case 'home+one':
            stopped = [home, random.choice(others)]
        case 'one' | 'two' | 'four':
            stopped = random.sample(testbed.instances, _COUNTS[plan])
        case _:
            raise ValueError(f'no plan {plan}')
    mixture = random.choice(tuple(MIXTURES))
    cut: Sequence[Instance] = ()
    if random.random() < _RELAY_SHARE:
        cut = testbed.instances_of((random.choice(testbed.domains),))
    name = f'{plan}:{mixture}{":relaying" if cut else ""}'
    return Stop(name, tuple(stopped), mixture, tuple(cut))


async def measure_stop(
    testbed: MarginTestbed, stop: Stop, random: Random
) -> list[EndResult]:
    """Stop instances under load, and start them again once all have ended."""
    for upstream in testbed.upstreams:
        upstream.server.work = random.choice(WORK_SECONDS)
    testbed.set_store_links(stop.cut, LinkFault.SILENT)
    callers = [
        task
        for instance in testbed.instances
        for task in start_callers(
            instance.addresses['callers'],
            stop.mixture if instance in stop.instances else 'busy',
            random,
        )
    ]
    await asyncio.sleep(CALL_SECONDS + random.random() * MAX_PHASE_SECONDS)
    results = await asyncio.gather(
        *(_end(testbed, stop.name, one) for one in stop.instances)
    )
    for task in callers:
        task.cancel()
    await asyncio.gather(*callers, return_exceptions=True)
    testbed.set_store_links(stop.cut, LinkFault.NONE)
    for instance in stop.instances:
        instance.spawn()
    await testbed.wait_ready()
    await asyncio.sleep(SETTLE_SECONDS)
    return results


def prepare_upstreams(testbed: MarginTestbed) -> None:
    """Have the upstreams answer the slow readers with large bodies."""
    for upstream in testbed.upstreams:
        answer_large(upstream.server)


async def _end(
    testbed: MarginTestbed, name: str, instance: Instance
) -> EndResult:
    process = testbed.processes.running[instance.name]
    # The thread waits in waitpid, however late this process's event loop is.
    exited = asyncio.create_task(asyncio.to_thread(_await_exit, process))
    await asyncio.sleep(_POLL_SECONDS)
    sent_at = time.time()
    process.send_signal(signal.SIGTERM)
    await asyncio.wait(
        {exited}, timeout=testbed.shutdown_seconds + MAX_LATE_SECONDS
    )
    if not exited.done():
        # Writes the stacks of all threads to the log.
        process.send_signal(signal.SIGABRT)
    exited_at = await exited
    events = [
        event
        for event in testbed.events(instance.name)
        if event.at >= sent_at - _CLOCK_ERROR_SECONDS
    ]
    return EndResult(
        name,
        instance.name,
        sent_at,
        exited_at - sent_at,
        process.returncode,
        *(
            _seconds_until(events, kind, sent_at)
            for kind in (
                'draining',
                'port_closed',
                'drain_limit_passed',
                'stopped',
            )
        ),
    )


def _await_exit(process: subprocess.Popen) -> float:
    process.wait()
    return time.time()


def _seconds_until(
    events: Sequence[LogEvent], kind: str, start: float
) -> float | None:
    first_at = min(
        (event.at for event in events if event.kind == kind), default=math.inf
    )
    return None if math.isinf(first_at) else first_at - start
