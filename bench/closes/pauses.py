"""Forms in which an instance gets no processor while callers send."""

import asyncio
import signal
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from enum import StrEnum

from .callers import CallerConnection
from .ledger import GRACE_SECONDS
from .testbed import ClosesTestbed

CALLERS = 20
#: One instance pauses for each length.
PAUSES_SECONDS = (0.35, 0.5, 1.0)
ZONES = ('d0', 'd1', 'd2', 'd0')
UPSTREAMS = 6
SLOTS = 12
#: The pause begins so long before the step of the instance.
_LEAD_SECONDS = 0.1
STOPPED_SECONDS = 0.05
_IDLE_TIMEOUT_MS = 500
#: The instance allows callers this much beyond the idle timeout.
_IDLE_MARGIN_SECONDS = 1.0
#: Idle timeouts that follow one another, and the time between them.
_FIRST_IDLE_TIMEOUT_MS = 2500
_LOWERED_IDLE_TIMEOUTS_MS = (2000, 1000, 500)
_CONFIGURATION_SECONDS = 0.06
#: Share of the first idle timeout for which the connections are idle.
_IDLE_SHARE = 0.8
_TARGET = '/read/x?work=0.05&size=300'
#: A long request that was sent before the pause is answered in it.
_LONG_WORK_SECONDS = 1.2
_LONG_LEAD_SECONDS = 1.0
_DEADLINE_SECONDS = 1.4
_ANSWER_LIMIT_SECONDS = 4.0
#: From the close of the port until the last response is due, and later.
_PAUSES_UNTIL_END_SECONDS = (1.25, 1.35, 1.5)
_LONG_DEADLINE_SECONDS = 4.0
_SECOND_SECONDS = 0.1


class Connections(StrEnum):
    """On which connections the callers send in the pause."""

    KEPT = 'kept'
    NEW = 'new'


class Signal(StrEnum):
    """What the instance gets before the pause."""

    STOP = 'stop'
    RELOAD = 'reload'
    NONE = 'none'


@dataclass(frozen=True, slots=True)
class PausedClose:
    """A pause near a step of an instance, ``step_seconds`` after a signal.

    With ``is_idle``, the step is the idle timeout of the kept connections.
    With ``is_configured``, a configuration is sent as the pause begins. With
    ``has_second``, further processes start on the address until its end.
    """

    connections: Connections
    signal: Signal = Signal.STOP
    step_seconds: float = 0.7 * GRACE_SECONDS
    is_idle: bool = False
    is_configured: bool = False
    pauses_seconds: tuple[float, ...] = PAUSES_SECONDS
    deadline_seconds: float = _DEADLINE_SECONDS
    has_second: bool = False

    async def play(self, testbed: ClosesTestbed) -> None:
        await add_upstreams(testbed)
        if self.is_idle:
            testbed.idle_timeout_ms = _IDLE_TIMEOUT_MS
        await testbed.start_all()
        for instance, seconds in zip(
            testbed.instances, self.pauses_seconds, strict=False
        ):
            await self._pause_one(testbed, instance, seconds)

    async def _pause_one(self, testbed, instance, seconds: float) -> None:
        kept = await self._open_kept(testbed, instance)
        self._signal(testbed, instance)
        await asyncio.sleep(max(self._step_seconds() - _LEAD_SECONDS, 0))
        process = instance.process
        if self.has_second:
            starting = asyncio.create_task(_start_seconds(testbed, instance))
        process.send_signal(signal.SIGSTOP)
        # What arrives before the process has stopped is read with its events.
        await asyncio.sleep(STOPPED_SECONDS)
        try:
            connections = kept or await open_connections(
                testbed, instance, CALLERS
            )
            await asyncio.gather(
                *(
                    send_one(testbed, connection, self.deadline_seconds)
                    for connection in connections
                )
            )
            if self.is_configured:
                testbed.publish(testbed.configuration())
            await asyncio.sleep(seconds)
        finally:
            process.send_signal(signal.SIGCONT)
        await asyncio.gather(*map(wait_and_close, connections))
        if self.has_second:
            await starting
        elif self.signal is Signal.STOP:
            await testbed.wait_ended(instance)

    async def _open_kept(
        self, testbed, instance
    ) -> tuple[CallerConnection, ...]:
        """Return connections that were used once, over a second if idle.

        To send on new ones, there are none; the one that was used is closed.
        """
        is_kept = self.connections is Connections.KEPT
        used = await open_connections(
            testbed, instance, CALLERS if is_kept else 1
        )
        for connection in used:
            await send_one(testbed, connection)
            await connection.wait_answered()
            if self.is_idle:
                await asyncio.sleep(_IDLE_MARGIN_SECONDS / CALLERS)
        if is_kept:
            return used
        await used[0].close()
        return ()

    def _signal(self, testbed, instance) -> None:
        match self.signal:
            case Signal.STOP:
                testbed.terminate(instance)
            case Signal.RELOAD:
                testbed.reload(instance)

    def _step_seconds(self) -> float:
        if self.is_idle:
            return _IDLE_TIMEOUT_MS / 1000 + _LEAD_SECONDS
        return self.step_seconds


@dataclass(frozen=True, slots=True)
class PausedLastResponse:
    """A pause in which responses arrive, ``step_seconds`` after a SIGTERM."""

    step_seconds: float

    async def play(self, testbed: ClosesTestbed) -> None:
        await add_upstreams(testbed)
        await testbed.start_all()
        for instance, seconds in zip(
            testbed.instances, PAUSES_SECONDS, strict=False
        ):
            connections = await open_connections(testbed, instance, CALLERS)
            testbed.terminate(instance)
            await asyncio.sleep(self.step_seconds - _LONG_LEAD_SECONDS)
            await asyncio.gather(
                *(
                    testbed.send(
                        connection,
                        [f'/read/x?work={_LONG_WORK_SECONDS}&size=300'],
                        deadline_seconds=_DEADLINE_SECONDS,
                    )
                    for connection in connections
                )
            )
            await asyncio.sleep(_LONG_LEAD_SECONDS)
            await pause(instance, seconds)
            await asyncio.gather(*map(wait_and_close, connections))
            await testbed.wait_ended(instance)


@dataclass(frozen=True, slots=True)
class LoweredIdleTimeout:
    """Configurations that lower the idle timeout of idle connections."""

    is_paused: bool

    async def play(self, testbed: ClosesTestbed) -> None:
        await add_upstreams(testbed)
        testbed.idle_timeout_ms = _FIRST_IDLE_TIMEOUT_MS
        await testbed.start_all()
        for instance, seconds in zip(
            testbed.instances, PAUSES_SECONDS, strict=False
        ):
            await self._lower(testbed, instance, seconds)

    async def _lower(self, testbed, instance, seconds: float) -> None:
        testbed.idle_timeout_ms = _FIRST_IDLE_TIMEOUT_MS
        testbed.publish(testbed.configuration())
        connections = await open_connections(testbed, instance, CALLERS)
        for connection in connections:
            await send_one(testbed, connection)
            await connection.wait_answered()
        await asyncio.sleep(_FIRST_IDLE_TIMEOUT_MS / 1000 * _IDLE_SHARE)
        for milliseconds in _LOWERED_IDLE_TIMEOUTS_MS:
            testbed.idle_timeout_ms = milliseconds
            testbed.publish(testbed.configuration())
            await asyncio.sleep(_CONFIGURATION_SECONDS)
        sending = asyncio.create_task(_send_spread(testbed, connections))
        if self.is_paused:
            await pause(instance, seconds)
        await sending
        await asyncio.gather(*map(wait_and_close, connections))


async def _start_seconds(testbed, instance) -> None:
    """Start processes on the address until the first one has ended."""
    first = instance.process
    stopped_at = testbed.ledger.stops[instance.name][-1]
    while first.poll() is None:
        if instance.process is first or instance.process.poll() is not None:
            testbed.ledger.events['second processes'] += 1
            instance.spawn()
        if testbed.now() > stopped_at + GRACE_SECONDS:
            testbed.ledger.events['killed at the end of the grace'] += 1
            first.kill()
        await asyncio.sleep(_SECOND_SECONDS)


async def _send_spread(testbed, connections) -> None:
    """Send on one connection after another, over the interval of checks."""
    await asyncio.sleep(STOPPED_SECONDS)
    for connection in connections:
        await send_one(testbed, connection)
        await asyncio.sleep(_IDLE_MARGIN_SECONDS / CALLERS)


async def pause(instance, seconds: float) -> None:
    """Give an instance no processor for some time."""
    instance.send_signal(signal.SIGSTOP)
    try:
        await asyncio.sleep(seconds)
    finally:
        instance.send_signal(signal.SIGCONT)


async def add_upstreams(testbed) -> None:
    """Start the upstreams of all forms."""
    for number in range(UPSTREAMS):
        zone = ZONES[number % len(ZONES)]
        await testbed.add_upstream('reads', zone, slots=SLOTS, queue=200)


async def open_connections(
    testbed, instance, count
) -> tuple[CallerConnection, ...]:
    opened = [testbed.connect(instance) for _ in range(count)]
    return tuple(await asyncio.gather(*opened))


async def send_one(
    testbed, connection, deadline_seconds: float = _DEADLINE_SECONDS
) -> None:
    await testbed.send(connection, [_TARGET], deadline_seconds=deadline_seconds)


async def wait_and_close(connection) -> None:
    with suppress(TimeoutError):
        async with asyncio.timeout(_ANSWER_LIMIT_SECONDS):
            await connection.wait_answered()
    await connection.close()


FORMS: dict[str, Callable] = {
    'paused_kept': PausedClose(Connections.KEPT).play,
    'paused_new': PausedClose(Connections.NEW).play,
    'paused_idle': PausedClose(
        Connections.KEPT, signal=Signal.NONE, is_idle=True
    ).play,
    'paused_term_kept': PausedClose(Connections.KEPT, step_seconds=0).play,
    'paused_term_new': PausedClose(Connections.NEW, step_seconds=0).play,
    'paused_refusing_kept': PausedClose(
        Connections.KEPT, step_seconds=0.4 * GRACE_SECONDS
    ).play,
    'paused_reload_kept': PausedClose(
        Connections.KEPT, signal=Signal.RELOAD, step_seconds=0
    ).play,
    'paused_reload_new': PausedClose(
        Connections.NEW, signal=Signal.RELOAD, step_seconds=0
    ).play,
    'paused_config_idle': PausedClose(
        Connections.KEPT,
        signal=Signal.NONE,
        is_idle=True,
        is_configured=True,
    ).play,
    'paused_second_kept': PausedClose(Connections.KEPT, has_second=True).play,
    'paused_second_new': PausedClose(Connections.NEW, has_second=True).play,
    'paused_until_end_kept': PausedClose(
        Connections.KEPT,
        pauses_seconds=_PAUSES_UNTIL_END_SECONDS,
        deadline_seconds=_LONG_DEADLINE_SECONDS,
    ).play,
    'paused_until_end_new': PausedClose(
        Connections.NEW,
        pauses_seconds=_PAUSES_UNTIL_END_SECONDS,
        deadline_seconds=_LONG_DEADLINE_SECONDS,
    ).play,
    'paused_last_response': PausedLastResponse(0.75 * GRACE_SECONDS).play,
    'paused_before_end': PausedLastResponse(0.8 * GRACE_SECONDS).play,
    'lowered_idle': LoweredIdleTimeout(is_paused=False).play,
    'paused_lowered_idle': LoweredIdleTimeout(is_paused=True).play,
    'paused_config_new': PausedClose(
        Connections.NEW,
        signal=Signal.NONE,
        step_seconds=0,
        is_configured=True,
    ).play,
}
