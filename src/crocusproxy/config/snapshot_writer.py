"""Appends a snapshot to the stream when the newest one is too old."""

import asyncio
from collections.abc import Callable
from datetime import timedelta
from random import Random

from ..clock import Clock
from ..errors import (
    AppendRejectedError,
    AppendUnknownError,
    PlatformUnavailableError,
)
from ..logs import log
from ..protocol import codec
from .reader import CONFIG_STREAM, ConfigStreamReader
from .snapshot import make_snapshot
from .stream_state import StreamState

_MAX_CHECK_INTERVAL = timedelta(seconds=60)
_MIN_CHECK_INTERVAL = timedelta(seconds=1)


class SnapshotWriter:
    """Writes snapshots of the state that ``reader`` has read.

    Every instance that reads the platform may write one; equal snapshots are
    harmless. A random delay before a second check makes it likely that only
    one instance writes. A snapshot is due when the newest one is older than a
    third of ``retention``, the time for which the platform keeps records.
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
        self.max_age = retention / 3
        self.check_interval = min(
            max(retention / 100, _MIN_CHECK_INTERVAL), _MAX_CHECK_INTERVAL
        )
        self.task: asyncio.Task[None] | None = None

    async def start(self) -> None:
        """Start the periodic check of the newest snapshot's age."""
        self.task = asyncio.create_task(self._check_repeatedly())

    async def stop(self) -> None:
        """Stop; readers ignore an incomplete snapshot."""
        if self.task is not None:
            self.task.cancel()
            await asyncio.gather(self.task, return_exceptions=True)

    def is_due(self) -> bool:
        """Return whether a new reader may soon lack a usable snapshot.

        One is due if records after the newest snapshot have expired, or if it
        is too old. Without any snapshot the age of the oldest record counts.
        """
        state = self.reader.state
        if not self._has_writable_state(state):
            return False
        if state.snapshot is None:
            written_at, through = self.reader.oldest_time, 0
        else:
            written_at, through = (
                self.reader.snapshot_time,
                state.snapshot.through,
            )
        if self.reader.oldest_kept_offset > through + 1 or written_at is None:
            return True
        return self.clock.now() - written_at > self.max_age

    async def write_if_due(self) -> bool:
        """Write a snapshot if it is due now and after a random delay.

        Return whether it was written.
        """
        if not self.is_due():
            return False
        await self.clock.sleep(self.random.random() * self.check_interval)
        if not self.is_due():
            return False
        return await self.write()

    async def write(self) -> bool:
        """Append the parts of the current state; return whether all succeeded.

        A part whose response was lost counts as appended. If the record is
        missing, the snapshot stays incomplete and another one becomes due.
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
            except (PlatformUnavailableError, AppendRejectedError) as error:
                log('snapshot_not_written', error=str(error))
                return False
        log(
            'snapshot_written',
            generation=state.document.generation,
            parts=len(parts),
        )
        return True

    async def _check_repeatedly(self) -> None:
        while True:
            await self.clock.sleep(self.check_interval)
            await self.write_if_due()

    def _has_writable_state(self, state: StreamState) -> bool:
        # A daemon that no longer reads the platform has an outdated state.
        if not self.reads_platform() or not self.reader.started:
            return False
        return (
            state.has_baseline
            and not state.unknown_rules
            and bool(state.document.generation)
        )
