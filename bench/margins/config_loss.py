"""How long changes take to instances that keep their path to the store."""

import asyncio
import signal
import time
from collections.abc import Callable, Collection, Sequence
from dataclasses import dataclass
from random import Random

from soak.instance_log import LogEvent
from soak.instances import Instance
from soak.link import LinkFault
from soak.upstreams import TOPIC as UPSTREAM_TOPIC

from .testbed import MarginTestbed

#: Time between a loss and the changes, drawn for each loss.
MAX_PHASE_SECONDS = 1.2
#: Long enough for an election.
MIN_LOSS_SECONDS = 2.5
SETTLE_SECONDS = 3.5
#: A change that takes longer counts as this.
MAX_WAIT_SECONDS = 8.0
_POLL_SECONDS = 0.05
_KINDS = ('reader', 'stop', 'domain', 'two', 'both')
#: The series of losses that ``draw_loss`` knows.
PLANS = ('mix', *_KINDS, 'alternate', 'series', 'calm')

#: Returns whether an event shows that a change is in force.
IsInForce = Callable[[LogEvent], bool]


@dataclass(frozen=True, slots=True)
class Loss:
    """Instances that lose the store, or are stopped."""

    name: str
    cut: tuple[Instance, ...] = ()
    stopped: tuple[Instance, ...] = ()
    fault: LinkFault = LinkFault.SILENT


@dataclass(frozen=True, slots=True)
class Propagation:
    """Seconds from a change to the slowest instance that keeps its path."""

    seconds: float
    slowest: str


@dataclass(frozen=True, slots=True)
class LossResult:
    """What a loss made of a configuration and the removal of an upstream.

    ``published_at`` is in seconds since the epoch.
    """

    loss: str
    home: str
    version: int
    published_at: float
    config: Propagation
    removal: Propagation

    def line(self) -> str:
        """Return the result in words; times are in seconds."""
        return (
            f'configuration {self.config.seconds:.2f} at {self.config.slowest},'
            f' removal {self.removal.seconds:.2f} at {self.removal.slowest},'
            f' home {self.home}, version {self.version}'
            f' at {self.published_at:.3f}, loss {self.loss}'
        )


def draw_loss(
    testbed: MarginTestbed, plan: str, number: int, random: Random
) -> Loss:
    """Return the loss with a number in a series.

    In plan ``alternate``, one failure domain is cut off, and then two that
    include the home's, in turn; ``mix`` draws one of the other plans, and
    ``series`` has stops in turn with silent cuts.

    Raises:
        ValueError: there is no such plan.
    """
    home = testbed.home()
    domains = sorted(set(testbed.domains))
    others = [one for one in domains if one != home.failure_domain]
    fault = random.choice((LinkFault.SILENT, LinkFault.RESET))
    match plan:
        case 'calm':
            return Loss(plan)
        case 'reader':
            return Loss(f'{plan}:{fault}', (home,), fault=fault)
        case 'stop':
            return Loss(plan, stopped=(home,))
        case 'both':
            cut = testbed.instances_of((home.failure_domain,))
            return Loss(f'{plan}:{fault}', tuple(cut), (home,), fault)
        case 'series':
            return _loss_in_series(testbed, number, random)
        case 'mix':
            return draw_loss(testbed, random.choice(_KINDS), number, random)
        case 'domain':
            lost = (home.failure_domain,)
        case 'two':
            lost = (home.failure_domain, random.choice(others))
        case 'alternate':
            fault = LinkFault.SILENT
            lost = (random.choice(domains),)
            if number % 2:
                lost = (home.failure_domain, random.choice(others))
        case _:
            raise ValueError(f'no plan {plan}')
    name = f'{plan}:{"+".join(lost)}:{fault}'
    return Loss(name, tuple(testbed.instances_of(lost)), fault=fault)


def _loss_in_series(
    testbed: MarginTestbed, number: int, random: Random
) -> Loss:
    """Return a silent cut of two or one failure domains, or a stop.

    The home is in both failure domains that are cut at once. It is stopped
    alone, with all instances of its failure domain, and while these are cut.
    """
    home = testbed.home()
    domains = sorted(set(testbed.domains))
    others = [one for one in domains if one != home.failure_domain]
    match number % 5:
        case 0:
            lost = (home.failure_domain, random.choice(others))
        case 1:
            lost = (random.choice(domains),)
        case 2:
            return Loss('series:stop', stopped=(home,))
        case 3:
            stopped = testbed.instances_of((home.failure_domain,))
            name = f'series:stop:{home.failure_domain}'
            return Loss(name, stopped=tuple(stopped))
        case _:
            cut = testbed.instances_of((home.failure_domain,))
            return Loss('series:stop+cut', tuple(cut), (home,))
    return Loss(f'series:{"+".join(lost)}', tuple(testbed.instances_of(lost)))


async def measure_loss(
    testbed: MarginTestbed, loss: Loss, random: Random
) -> LossResult:
    """Inject a loss, make the changes, and end it once they are in force."""
    home = testbed.home()
    _begin(testbed, loss)
    lost_at = time.monotonic()
    await asyncio.sleep(random.random() * MAX_PHASE_SECONDS)
    upstream = random.choice(testbed.upstreams)
    key = upstream.server.key
    upstream.state = ''
    testbed.store.put(UPSTREAM_TOPIC, key, b'')
    testbed.operator.publish()
    version = testbed.operator.version
    published_at = time.time()
    disturbed = {one.name for one in (*loss.cut, *loss.stopped)}
    observed = [
        one.name for one in testbed.instances if one.name not in disturbed
    ]
    config, removal = await asyncio.gather(
        _await_all(
            testbed, observed, published_at, lambda event: _has(event, version)
        ),
        _await_all(
            testbed, observed, published_at, lambda event: _lacks(event, key)
        ),
    )
    remaining = lost_at + MIN_LOSS_SECONDS - time.monotonic()
    await asyncio.sleep(max(remaining, 0))
    _end(testbed, loss)
    await upstream.link.stop()
    upstream.server.stop()
    await upstream.start()
    await asyncio.sleep(SETTLE_SECONDS)
    return LossResult(
        loss.name, home.name, version, published_at, config, removal
    )


async def _await_all(
    testbed: MarginTestbed,
    names: Sequence[str],
    changed_at: float,
    is_in_force: IsInForce,
) -> Propagation:
    """Return when the slowest instance has logged that a change is in force."""
    end = time.monotonic() + MAX_WAIT_SECONDS
    while True:
        delays = {
            name: _delay(testbed.events(name), changed_at, is_in_force)
            for name in names
        }
        slowest = max(delays, key=lambda name: delays[name])
        if delays[slowest] < MAX_WAIT_SECONDS or time.monotonic() > end:
            return Propagation(delays[slowest], slowest)
        await asyncio.sleep(_POLL_SECONDS)


def _delay(
    events: Sequence[LogEvent], changed_at: float, is_in_force: IsInForce
) -> float:
    for event in reversed(events):
        if event.at < changed_at:
            break
        if is_in_force(event):
            return event.at - changed_at
    return MAX_WAIT_SECONDS


def _has(event: LogEvent, version: int) -> bool:
    return (
        event.kind == 'route_config_in_force'
        and event.fields['version'] >= version
    )


def _lacks(event: LogEvent, key: str) -> bool:
    return (
        event.kind == 'upstream_changed'
        and event.fields['upstream'] == key
        and event.fields['state'] == 'gone'
    )


def _begin(testbed: MarginTestbed, loss: Loss) -> None:
    testbed.set_store_links(loss.cut, loss.fault)
    _send(testbed, loss.stopped, signal.SIGSTOP)


def _end(testbed: MarginTestbed, loss: Loss) -> None:
    testbed.set_store_links(loss.cut, LinkFault.NONE)
    _send(testbed, loss.stopped, signal.SIGCONT)


def _send(
    testbed: MarginTestbed,
    instances: Collection[Instance],
    number: signal.Signals,
) -> None:
    for instance in instances:
        testbed.processes.running[instance.name].send_signal(number)
