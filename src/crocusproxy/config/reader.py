"""Reads stream ``config`` from the platform and applies its records."""

import asyncio
from collections.abc import Callable
from datetime import datetime, timedelta

from ..logs import log
from ..platform_client import Page, PlatformClient, StoredRecord
from .records import Record, UnreadableRecord, read_record
from .stream_state import (
    SnapshotProblem,
    StreamState,
    apply_record,
    initial_state,
)

CONFIG_STREAM = 'config'

RecordListener = Callable[[StoredRecord, Record], None]


class ConfigStreamReader:
    """Follows the stream and computes its state.

    Attributes:
        state: the result of all records applied so far.
        oldest_time: time of the oldest record that this reader has read.
        snapshot_time: time of the newest snapshot; None without one.
        oldest_kept_offset: the oldest offset that the platform still keeps.
        on_record: listeners that are called with each record, and again with
            records that are read again after the adoption of a snapshot.
    """

    def __init__(self, client: PlatformClient) -> None:
        self.client = client
        self.poll_lock = asyncio.Lock()
        self.state = StreamState()
        self.started = False
        self.oldest_kept_offset = 0
        self.oldest_time: datetime | None = None
        self.snapshot_time: datetime | None = None
        self.on_record: list[RecordListener] = []

    async def poll(self, wait: timedelta = timedelta()) -> int:
        """Apply the next page and return its number of records.

        Raises:
            PlatformUnavailableError: the log service did not respond.
        """
        # Two concurrent reads would apply the same page twice.
        async with self.poll_lock:
            start = self.state.offset + 1 if self.started else 0
            page = await self.client.read(CONFIG_STREAM, start, wait)
            self.oldest_kept_offset = page.first
            if not self.started or page.first > start:
                self._reset(page.first)
            self._apply_page(page)
            return len(page.records)

    async def catch_up(self) -> None:
        """Apply all records up to the end or to one with unknown rules.

        Raises:
            PlatformUnavailableError: the log service did not respond.
        """
        record_count = await self.poll()
        while record_count and not self.state.unknown_rules:
            record_count = await self.poll()

    def _reset(self, first: int) -> None:
        if self.started:
            log('config_records_expired', first=first, at=self.state.offset)
        self.started = True
        self.state = initial_state(first)
        self.oldest_time = None
        self.snapshot_time = None

    def _apply_page(self, page: Page) -> None:
        for stored in page.records:
            self.oldest_time = self.oldest_time or stored.time
            record = read_record(stored.data)
            if isinstance(record, UnreadableRecord):
                log(
                    'config_record_unreadable',
                    offset=stored.offset,
                    reason=record.reason,
                )
            for listener in self.on_record:
                listener(stored, record)
            previous = self.state
            self.state = apply_record(previous, stored.offset, record)
            self._handle_transition(previous, stored.time)
            if self.state.offset != stored.offset:
                # A snapshot was adopted, or the record has unknown rules.
                return

    def _handle_transition(self, previous: StreamState, time: datetime) -> None:
        """Store the time of a new snapshot; log problems that are new."""
        if self.state.snapshot != previous.snapshot:
            self.snapshot_time = time
        if self.state.problem not in {previous.problem, None}:
            _log_problem(self.state.problem)
        if self.state.unknown_rules != previous.unknown_rules:
            log('config_rules_unknown', rules=self.state.unknown_rules)


def _log_problem(problem: SnapshotProblem | None) -> None:
    if problem is not None:
        log(
            problem.code,
            offset=problem.offset,
            generation=problem.generation,
        )
