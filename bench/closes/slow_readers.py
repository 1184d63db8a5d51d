"""Forms in which callers read slowly while their connection closes."""

import asyncio
from collections.abc import Callable
from contextlib import suppress
from dataclasses import dataclass
from enum import StrEnum

from .testbed import ClosesTestbed

ANSWER_BYTES = 30_000
CALLERS = 10
PIPELINED = 6
RECEIVE_BUFFER_BYTES = 4096
MORE_AFTER_SECONDS = 2.6
ZONES = ('d0', 'd1', 'd2')
ROUTES = (('/read/', 'safe', 'reads', {'TimeoutMs': 15_000}),)
UPSTREAMS = 6
#: Together, the upstreams have a slot for each request.
SLOTS = 12
_DEADLINE_SECONDS = 12.0
_READ_LIMIT_SECONDS = 14.0
#: The SIGTERM comes by then even if an instance holds requests back.
_STOP_LIMIT_SECONDS = 2.0


class StopMoment(StrEnum):
    """When the instances get SIGTERM."""

    NEVER = 'never'
    AT_WORK = 'at work'
    ANSWERED = 'answered'


@dataclass(frozen=True, slots=True)
class SlowReaders:
    """How callers read, how long upstreams work, and what ends connections."""

    stop: StopMoment
    work_seconds: float
    bytes_per_second: float = 50_000
    idle_timeout_ms: int = 15_000
    pipelined: int = PIPELINED

    async def play(self, testbed: ClosesTestbed) -> None:
        for number in range(UPSTREAMS):
            zone = ZONES[number % len(ZONES)]
            await testbed.add_upstream('reads', zone, slots=SLOTS, queue=200)
        testbed.idle_timeout_ms = self.idle_timeout_ms
        await testbed.start_all()
        stopping = asyncio.create_task(self._stop(testbed))
        await asyncio.gather(
            *(self._call(testbed, number) for number in range(CALLERS))
        )
        await stopping

    async def _call(self, testbed: ClosesTestbed, number: int) -> None:
        instance = testbed.instances[number % len(testbed.instances)]
        connection = await testbed.connect(
            instance,
            bytes_per_second=self.bytes_per_second,
            receive_buffer=RECEIVE_BUFFER_BYTES,
        )
        target = f'/read/x?work={self.work_seconds}&size={ANSWER_BYTES}'
        await testbed.send(
            connection,
            [target] * self.pipelined,
            deadline_seconds=_DEADLINE_SECONDS,
        )
        await asyncio.sleep(MORE_AFTER_SECONDS)
        await testbed.send(
            connection, [target], deadline_seconds=_DEADLINE_SECONDS
        )
        try:
            async with asyncio.timeout(_READ_LIMIT_SECONDS):
                await connection.wait_answered()
        except TimeoutError:
            testbed.ledger.events['callers that gave up'] += 1
        await connection.close()

    async def _stop(self, testbed: ClosesTestbed) -> None:
        if self.stop is StopMoment.NEVER:
            return
        requests = testbed.ledger.requests
        expected = CALLERS * PIPELINED
        is_due = _all_arrived if self.stop is StopMoment.AT_WORK else _all_done
        with suppress(TimeoutError):
            async with asyncio.timeout(_STOP_LIMIT_SECONDS):
                while len(requests) < expected or not is_due(requests.values()):
                    await asyncio.sleep(0.01)
        for instance in testbed.instances:
            testbed.terminate(instance)
        await asyncio.gather(
            *(testbed.wait_ended(one) for one in testbed.instances)
        )


def _all_arrived(requests) -> bool:
    return all(request.arrived_at is not None for request in requests)


def _all_done(requests) -> bool:
    return all(request.answered_at is not None for request in requests)


FORMS: dict[str, Callable] = {
    'idle': SlowReaders(
        StopMoment.NEVER, work_seconds=0.1, idle_timeout_ms=500
    ).play,
    'stop': SlowReaders(StopMoment.AT_WORK, work_seconds=0.8).play,
    # Slower, so that they still read when idle connections are closed.
    'stop_idle': SlowReaders(
        StopMoment.ANSWERED, work_seconds=0.1, bytes_per_second=40_000
    ).play,
}
