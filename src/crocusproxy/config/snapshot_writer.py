"""Appends a snapshot when the newest one becomes old."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from random import Random

from ..clock import Clock
from ..errors import AppendUnknownError, PlatformUnavailableError
from ..logs import log
from ..protocol import codec
from .reader import CONFIG_STREAM, ConfigStreamReader
from .snapshot import make_snapshot
from .stream_state import StreamState

_MAX_DELAY = timedelta(seconds=60)
_MIN_DELAY = timedelta(seconds=1)


class SnapshotWriter:
    """Any reader of the platform writes snapshots; equal ones are harmless.

    The delay before the second look is random, so that usually only one
    instance writes.
    """

    def __init__(
        self,
        reader: ConfigStreamReader,
        clock: Clock,
        random: Random,
        retention: timedelta,
        reads_platform: Callable[[], bool],
    ) -> None:
        self.reader = reader
        self.reads_platform = reads_platform
        self.clock = clock
        self.random = random
        self.limit = retention / 3
        self.delay = min(max(retention / 100, _MIN_DELAY), _MAX_DELAY)
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start to look at the age of the newest snapshot."""
        self.task = asyncio.create_task(self._repeat())

    async def stop(self) -> None:
        """Stop; an unfinished snapshot is ignored by all readers."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    def due(self) -> bool:
        """Tell whether a new reader will soon have no snapshot to start from.

        Without any snapshot the age of the oldest record counts.
        """
        state = self.reader.state
        if not self._can_write(state):
            return False
        if state.snapshot is None:
            since, needed = self.reader.oldest, 0
        else:
            since, needed = self.reader.snapshot_time, state.snapshot.through
        if self.reader.first > needed + 1 or since is None:
            return True
        return self.clock.now() - since > self.limit

    async def step(self) -> bool:
        """Write a snapshot if it is due after a delay; return whether."""
        if not self.due():
            return False
        await self.clock.sleep(self.random.random() * self.delay)
        if not self.due():
            return False
        return await self.write()

    async def write(self) -> bool:
        """Append the parts of the current state; return whether all were.

        A part whose answer is lost counts as appended. If it is missing, the
        snapshot stays incomplete and another one becomes due.
        """
        state = self.reader.state
        parts = make_snapshot(state.document, state.verdicts, state.offset)
        for part in parts:
            try:
                await self.reader.client.append(
                    CONFIG_STREAM, codec.to_plain(part)
                )
            except AppendUnknownError:
                continue
            except PlatformUnavailableError as error:
                log('snapshot_not_written', error=str(error))
                return False
        log(
            'snapshot_written',
            generation=state.document.generation,
            parts=len(parts),
        )
        return True

    async def _repeat(self) -> None:
        while True:
            await self.clock.sleep(self.delay)
            await self.step()

    def _can_write(self, state: StreamState) -> bool:
        # The state of a daemon that has become no reader is out of date.
        if not self.reads_platform() or not self.reader.started:
            return False
        return (
            state.following
            and not state.unknown_rules
            and bool(state.document.generation)
        )
