"""A random series of planned work that overlaps, under steady load."""

import asyncio
import signal
from collections.abc import Mapping
from contextlib import suppress
from dataclasses import dataclass

from ..margins.testbed import split_into_domains
from .callers import CallerConnection
from .testbed import ClosesTestbed

INSTANCES = 14
ZONES = split_into_domains(INSTANCES)
CALLERS = 100
PIPELINED = 3
PIPELINED_SHARE = 0.25
SLOW_WORK_SHARE = 0.04
#: Some requests take this many times the usual work.
SLOW_WORK_FACTOR = 6
CONFIGURATION_SECONDS = 0.33
#: Times between two pieces of planned work.
WORK_INTERVAL_SECONDS = (0.2, 1.5)
IDLE_TIMEOUTS_MS = (300, 500, 1000, 2000)
#: At least this many instances are neither stopping nor starting.
MIN_RUNNING = 7
#: How a slow caller reads.
SLOW_OPTIONS = {'bytes_per_second': 50_000, 'receive_buffer': 4096}
_THINK_SECONDS = (0.0, 0.25)
#: Callers still open connections to an instance this long after its SIGTERM.
_NAMED_SECONDS = 1.0
_DRAIN_SECONDS = 2.5
_END_SECONDS = 7.0
_QUEUE = 24
_FREEZE_SECONDS = (0.2, 2.0)


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of request of the users' deployment."""

    target: str
    method: str
    service: str
    share: float
    work_seconds: float
    deadline_seconds: float
    body_bytes: int = 0
    answer_bytes: int = 30_000

    def route(self) -> tuple:
        is_safe = self.method == 'GET'
        timeout = {'TimeoutMs': round(self.deadline_seconds * 1000)}
        return (
            self.target,
            'safe' if is_safe else 'unsafe',
            self.service,
            timeout,
        )


KINDS = (
    Kind('/lookup/', 'GET', 'dispatch', 66.6, 0.22, 2.5),
    Kind('/assign/', 'POST', 'dispatch', 23, 0.29, 3, body_bytes=7000),
    Kind('/roster/', 'GET', 'ridership', 21.8, 0.55, 6),
    Kind('/board/', 'GET', 'ridership', 17.9, 0.088, 1.2),
)
SHORT_KINDS = (
    Kind('/rundown/', 'GET', 'newsroom', 74.1, 0.06, 0.5),
    Kind('/publish/', 'POST', 'newsroom', 29.9, 0.078, 0.6, body_bytes=7000),
    Kind('/cable/', 'GET', 'wire', 31.4, 0.15, 1),
    Kind('/flash/', 'GET', 'wire', 20, 0.024, 0.25),
)


@dataclass(frozen=True, slots=True)
class Deployment:
    """The load of a deployment, its upstreams, and its planned work."""

    kinds: tuple[Kind, ...]
    #: Number of upstreams by service.
    upstreams: Mapping[str, int]
    slots: int
    #: Whether an upstream that is full resets connections.
    resets: bool
    #: Whether it has SIGHUP, configurations in quick succession, and changes
    #: of the idle timeout.
    has_changes: bool

    def routes(self) -> tuple[tuple, ...]:
        return tuple(kind.route() for kind in self.kinds)

    def safe_kinds(self) -> tuple[Kind, ...]:
        return tuple(kind for kind in self.kinds if kind.method == 'GET')


LONG_WORK = Deployment(
    KINDS,
    {'dispatch': 16, 'ridership': 11},
    slots=6,
    resets=True,
    has_changes=True,
)
SHORT_WORK = Deployment(
    SHORT_KINDS,
    {'newsroom': 15, 'wire': 12},
    slots=2,
    resets=False,
    has_changes=False,
)
DEPLOYMENTS = {'series': LONG_WORK, 'series_short': SHORT_WORK}


class Series:
    """Load and planned work of one run; with ``faults`` also kills."""

    def __init__(
        self,
        testbed: ClosesTestbed,
        deployment: Deployment,
        seconds: float,
        *,
        faults: bool,
        slow_share: float = 0,
    ) -> None:
        self.slow_share = slow_share
        self.deployment = deployment
        self.testbed = testbed
        self.random = testbed.random
        self.seconds = seconds
        self.faults = faults
        self.busy: set[str] = set()
        self.is_over = False
        self.tasks: set[asyncio.Task] = set()

    async def play(self) -> None:
        testbed = self.testbed
        for service, count in self.deployment.upstreams.items():
            for number in range(count):
                await self._add_upstream(service, ZONES[number % len(ZONES)])
        await testbed.start_all()
        callers = [asyncio.create_task(self._call()) for _ in range(CALLERS)]
        storm = asyncio.create_task(self._change_configuration())
        ends_at = testbed.now() + self.seconds
        while testbed.now() < ends_at:
            self._start(self._draw_work())
            await asyncio.sleep(self.random.uniform(*WORK_INTERVAL_SECONDS))
        while self.tasks:
            await asyncio.gather(*self.tasks)
        self.is_over = True
        await asyncio.wait(callers, timeout=_END_SECONDS)
        storm.cancel()
        for caller in callers:
            caller.cancel()

    def _start(self, coroutine) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def _draw_work(self):
        choices = [
            (4, self._stop_some),
            (1, self._replace_upstream),
        ]
        if self.deployment.has_changes:
            choices += [
                (2, self._reload_some),
                (2, self._change_idle_timeout),
            ]
        if self.faults:
            choices += [
                (1, self._kill_one),
                (1, self._freeze_one),
                (1, self._reset_store_link),
            ]
        weights, works = zip(*choices, strict=True)
        return self.random.choices(works, weights)[0]()

    def _take(self, count: int) -> list:
        """Reserve running instances, fewer if too few run."""
        free = [
            one
            for one in self.testbed.instances
            if one.name not in self.busy and self.testbed.is_running(one)
        ]
        count = max(0, min(count, len(free) - MIN_RUNNING))
        taken = self.random.sample(free, count)
        self.busy |= {one.name for one in taken}
        return taken

    async def _stop_some(self) -> None:
        instances = self._take(self.random.choice((1, 1, 2, 4)))
        for instance in instances:
            self.testbed.terminate(instance)
        await asyncio.gather(*(self._end_and_restart(one) for one in instances))

    async def _end_and_restart(self, instance) -> None:
        await self.testbed.wait_ended(instance)
        await asyncio.sleep(self.random.uniform(0, 1))
        await self._restart(instance)

    async def _restart(self, instance) -> None:
        instance.spawn()
        for _ in range(200):
            if await instance.is_ready():
                break
            await asyncio.sleep(0.1)
        self.busy.discard(instance.name)

    async def _reload_some(self) -> None:
        running = [
            one
            for one in self.testbed.instances
            if self.testbed.is_running(one) and one.name not in self.busy
        ]
        for instance in self.random.sample(running, min(3, len(running))):
            self.testbed.reload(instance)
            await asyncio.sleep(self.random.uniform(0, 0.3))

    async def _change_idle_timeout(self) -> None:
        self.testbed.idle_timeout_ms = self.random.choice(IDLE_TIMEOUTS_MS)

    async def _change_configuration(self) -> None:
        """Add and remove a route in quick succession."""
        number = 0
        while self.deployment.has_changes:
            await asyncio.sleep(CONFIGURATION_SECONDS)
            number += 1
            extra = (f'/extra-{number % 3}/', 'safe', self.testbed.services[0])
            self.testbed.publish(self.testbed.configuration([extra]))

    async def _replace_upstream(self) -> None:
        ready = [one for one in self.testbed.servers if one.state == 'ready']
        old = self.random.choice(ready)
        await self._add_upstream(old.service, old.zone)
        await asyncio.sleep(self.random.uniform(0, 1))
        old.drain()
        self.testbed.ledger.events['replaced upstreams'] += 1
        await asyncio.sleep(_DRAIN_SECONDS)
        old.unregister()
        while old.at_work:
            await asyncio.sleep(0.1)
        await asyncio.sleep(_DRAIN_SECONDS)
        old.close()

    async def _kill_one(self) -> None:
        for instance in self._take(1):
            instance.end()
            self._note_fault(instance, 'killed', 0)
            await asyncio.sleep(self.random.uniform(0, 1))
            await self._restart(instance)

    async def _freeze_one(self) -> None:
        seconds = self.random.uniform(*_FREEZE_SECONDS)
        for instance in self._take(1):
            self._note_fault(instance, 'frozen', seconds)
            instance.send_signal(signal.SIGSTOP)
            await asyncio.sleep(seconds)
            instance.send_signal(signal.SIGCONT)
            self.busy.discard(instance.name)

    async def _reset_store_link(self) -> None:
        for instance in self._take(1):
            instance.link.set_mode('reset')
            await asyncio.sleep(self.random.uniform(0, 1))
            instance.link.set_mode('ok')
            self.testbed.ledger.events['reset store links'] += 1
            self.busy.discard(instance.name)

    def _note_fault(self, instance, name: str, seconds: float) -> None:
        now = self.testbed.now()
        ledger = self.testbed.ledger
        ledger.faults[instance.name].append((now, now + seconds))
        ledger.events[name] += 1
        self.testbed.record.write(f'{instance.name} is {name}')

    async def _add_upstream(self, service: str, zone: str) -> None:
        await self.testbed.add_upstream(
            service,
            zone,
            resets=self.deployment.resets,
            slots=self.deployment.slots,
            queue=_QUEUE,
        )

    async def _call(self) -> None:
        """Keep a connection until the instance ends it, then open another."""
        while not self.is_over:
            connection = await self._connect()
            while connection and not (self.is_over or connection.is_closed):
                await self._send_some(connection)
                await connection.wait_answered()
                await asyncio.sleep(self.random.uniform(*_THINK_SECONDS))
            if connection:
                await connection.close()

    async def _connect(self) -> CallerConnection | None:
        instance = self.random.choice(self._named())
        options = {}
        if self.random.random() < self.slow_share:
            options = SLOW_OPTIONS
        with suppress(OSError, TimeoutError):
            return await self.testbed.connect(instance, **options)
        await asyncio.sleep(0.05)
        return None

    def _named(self) -> list:
        """Return the instances to which callers open connections."""
        now = self.testbed.now()
        stops = self.testbed.ledger.stops
        return [
            one
            for one in self.testbed.instances
            if one.name not in self.busy
            or (stops[one.name] and stops[one.name][-1] > now - _NAMED_SECONDS)
        ]

    async def _send_some(self, connection: CallerConnection) -> None:
        if self.random.random() < PIPELINED_SHARE:
            kinds = self._draw_kinds(self.deployment.safe_kinds(), PIPELINED)
        else:
            kinds = self._draw_kinds(self.deployment.kinds, 1)
        made = [self._make(connection, kind) for kind in kinds]
        await connection.send(*zip(*made, strict=True))

    def _draw_kinds(self, kinds: tuple[Kind, ...], count: int) -> list[Kind]:
        shares = [kind.share for kind in kinds]
        return self.random.choices(kinds, shares, k=count)

    def _make(self, connection: CallerConnection, kind: Kind):
        work = kind.work_seconds
        if self.random.random() < SLOW_WORK_SHARE:
            work *= SLOW_WORK_FACTOR
        target = f'{kind.target}x?work={work:.3f}&size={kind.answer_bytes}'
        return self.testbed.make_request(
            connection,
            target,
            kind.method,
            kind.deadline_seconds,
            bytes(kind.body_bytes),
        )
