"""The paths to the store: the direct connection and relays.

A path may fail for this instance alone, or for its whole failure domain, while
the store serves the others.
"""

import asyncio
from collections.abc import Awaitable, Callable, Iterable, Mapping, Sequence
from contextlib import suppress
from dataclasses import dataclass
from datetime import timedelta
from types import MappingProxyType
from typing import Any

from ..clock import Clock
from ..errors import PlatformUnavailableError
from ..event_loop.peer_timeout import PeerTimeout
from ..logs import log
from .path_history import FailoverBackoff, PathHistory
from .store_records import ExpiredPositionError

#: One in this many reads over a relay tries the store directly.
_READS_PER_DIRECT_ATTEMPT = 16
#: How many other paths are tried at once when the current one fails: one for
#: each failure domain of the largest site, and the direct one.
_MAX_FAILOVER_CANDIDATES = 8
#: Other paths are tried if a read without a wait time takes longer than this
#: and this many times as long as the one before. A slow store has no faster
#: path.
MIN_HEDGE_DELAY = timedelta(milliseconds=100)
_HEDGE_DELAY_FACTOR = 3
_SMALLEST_READ = MappingProxyType({'WaitMs': '0', 'MaximumKilobytes': '1'})


class PathLostError(PlatformUnavailableError):
    """A read has ended because the client switched to another path.

    The read failed on the old path, or was cancelled there, and can be retried
    at once on the new one.
    """


@dataclass(frozen=True, slots=True)
class StoreResponse:
    """Body of a successful read and the store's incarnation."""

    body: bytes
    incarnation: int


#: Reads over a relay, given the path and the query of the URL and the read's
#: own wait time. An empty relay address stands for the direct path.
Read = Callable[
    [str, str, Mapping[str, str], timedelta], Awaitable[StoreResponse]
]


@dataclass(frozen=True, slots=True, eq=False)
class PendingRead:
    """A read that has been sent over ``relay`` at ``started_at``."""

    relay: str
    path: str
    query: Mapping[str, str]
    wait: timedelta
    started_at: timedelta
    task: 'asyncio.Task[StoreResponse]'

    @property
    def has_succeeded(self) -> bool:
        """Return whether the store has responded."""
        task = self.task
        return task.done() and not task.cancelled() and not task.exception()


class StorePaths:
    """Chooses the path of each read, and another one if it fails or is slow.

    ``relay`` is the path in use, ``relays`` returns the other ones, best first,
    and ``response_time`` is that of the latest read without a wait time.
    """

    def __init__(
        self, read: Read, relays: Callable[[], Sequence[str]], clock: Clock
    ) -> None:
        self.read = read
        self.relays = relays
        self.clock = clock
        self.relay = ''
        self.history = PathHistory(clock)
        self.backoff = FailoverBackoff()
        self.relay_reads = 0
        self.failover_ended = asyncio.Event()
        self.failover_ended.set()
        self.response_time = timedelta()
        self.pending: set[PendingRead] = set()

    async def get(
        self, path: str, query: Mapping[str, str], wait: timedelta
    ) -> StoreResponse:
        """Read over the path in use; switch to another one if that is faster.

        Raises:
            PlatformUnavailableError: the store did not respond.
            PathLostError: the path was lost, and there is another one.
            ExpiredPositionError: the record to begin with is gone.
        """
        read = self._begin(path, query, wait)
        try:
            response = await self._await_or_hedge(read)
        except asyncio.CancelledError:
            # A switch to another path removes the reads that it cancels.
            if read in self.pending or _is_cancelled():
                raise
            raise PathLostError(
                f'{path}: cancelled by a switch to another path'
            ) from None
        finally:
            self.pending.discard(read)
            read.task.cancel()
        if not wait:
            self.response_time = self.clock.monotonic() - read.started_at
        self.backoff.reset()
        if read.relay != self.relay:
            self._switch_to(read.relay)
        return response

    def _begin(
        self, path: str, query: Mapping[str, str], wait: timedelta
    ) -> PendingRead:
        relay = self._choose_relay(wait)
        task = asyncio.ensure_future(self.read(relay, path, query, wait))
        started_at = self.clock.monotonic()
        read = PendingRead(relay, path, query, wait, started_at, task)
        self.pending.add(read)
        return read

    def _choose_relay(self, wait: timedelta) -> str:
        """Return the relay of the next read; empty to read directly.

        Only a read that does not wait retries the direct path, so that a
        failure costs little time.
        """
        if self.relay and not wait:
            self.relay_reads += 1
            if self.relay_reads % _READS_PER_DIRECT_ATTEMPT == 0:
                return ''
        return self.relay

    async def _await_or_hedge(self, read: PendingRead) -> StoreResponse:
        is_slow = not read.wait and await self._hedge(read)
        try:
            return await read.task
        except PlatformUnavailableError as error:
            self.history.record_failure(read.relay)
            if not is_slow:
                await self._fail_over(read)
            # Another read may be about to find a path.
            await self.failover_ended.wait()
            if read.relay != self.relay:
                raise PathLostError(str(error)) from error
            raise

    async def _hedge(self, read: PendingRead) -> bool:
        """Try other paths if a read takes long; return whether it does.

        A silent path would otherwise be noticed only at the timeout. The read
        itself goes on, and is cancelled by a switch to another path.

        Raises:
            PathLostError: the path is not the one in use, and is slow.
        """
        delay = max(MIN_HEDGE_DELAY, self.response_time * _HEDGE_DELAY_FACTOR)
        with suppress(TimeoutError):
            async with PeerTimeout(delay.total_seconds()):
                await asyncio.wait((read.task,))
        if read.task.done():
            return False
        if read.relay != self.relay:
            self.history.record_failure(read.relay)
            raise PathLostError(f'{read.path}: the direct path is silent')
        await self._fail_over(read)
        return True

    async def _fail_over(self, read: PendingRead) -> None:
        """Switch to the first of several other paths that responds.

        The store may reject several instances, so trying one path after the
        other would take too long. Nothing changes if ``read`` succeeds first on
        the path in use, or if another read has already switched paths or is
        about to.
        """
        if read.relay != self.relay or not self.failover_ended.is_set():
            return
        if not self.backoff.allows():
            return
        others = [one for one in ('', *self.relays()) if one != read.relay]
        if not others:
            return
        candidates = self.history.order(others)[:_MAX_FAILOVER_CANDIDATES]
        self.failover_ended.clear()
        try:  # noqa: WPS501 - also when cancelled
            relay = await self._first_responding(candidates, read)
        finally:
            self.failover_ended.set()
        if relay is not None:
            self._switch_to(relay)
        elif not read.has_succeeded:
            self.backoff.grow()

    async def _first_responding(
        self, candidates: Iterable[str], read: PendingRead
    ) -> str | None:
        """Return the first path that responds, None if ``read`` is faster."""
        relays = {
            asyncio.create_task(self._probe(relay, read.query)): relay
            for relay in candidates
        }
        pending = set(relays)
        try:  # noqa: WPS501 - also when cancelled
            while pending and not read.has_succeeded:
                await _wait_for_first(pending, read.task)
                done = {task for task in pending if task.done()}
                pending -= done
                responding = [relays[task] for task in done if task.result()]
                if responding:
                    return responding[0]
        finally:
            for task in pending:
                task.cancel()
        return None

    async def _probe(self, relay: str, query: Mapping[str, str]) -> bool:
        """Return whether the store responds over a path to a small read."""
        is_listing = 'From' not in query
        path = '/-/log-newest' if is_listing else '/-/log-read'
        probe = query if is_listing else {**query, **_SMALLEST_READ}
        try:
            with suppress(ExpiredPositionError):
                await self.read(relay, path, probe, timedelta())
        except PlatformUnavailableError:
            self.history.record_failure(relay)
            return False
        return True

    def _switch_to(self, relay: str) -> None:
        """Use another path and cancel the reads that wait on the old one."""
        self.relay = relay
        log('store_way_changed', relay=relay)
        for read in tuple(self.pending):
            if read.relay != relay:
                self.pending.discard(read)
                read.task.cancel()


async def _wait_for_first(
    probes: Iterable['asyncio.Task[bool]'],
    read: 'asyncio.Task[StoreResponse]',
) -> None:
    """Return once a probe or the read has ended, unless it has already."""
    tasks: set[asyncio.Task[Any]] = set(probes)
    if not read.done():
        tasks.add(read)
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)


def _is_cancelled() -> bool:
    """Return whether the running task itself is being cancelled."""
    task = asyncio.current_task()
    return task is not None and task.cancelling() > 0
