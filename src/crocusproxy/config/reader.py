"""Reads stream ``config`` from the platform and folds it."""

import asyncio
from collections.abc import Callable
from datetime import datetime, timedelta

from ..logs import log
from ..platform_client import Page, PlatformClient, StoredRecord
from .records import Record, Unreadable, read_record
from .stream_state import (
    SnapshotProblem,
    StreamState,
    apply_record,
    initial_state,
)

CONFIG_STREAM = 'config'

RecordListener = Callable[[StoredRecord, Record], None]


class ConfigStreamReader:
    """One reader of the stream; ``state`` is what it has folded so far.

    Attributes:
        oldest: time of the oldest record that this reader met.
        snapshot_time: time of the newest snapshot; None without one.
        first: the oldest offset that the platform still keeps.
        on_record: called with each record; twice with those that are read
            again after a snapshot was adopted.
    """

    def __init__(self, client: PlatformClient) -> None:
        self.client = client
        self.lock = asyncio.Lock()
        self.state = StreamState()
        self.started = False
        self.first = 0
        self.oldest: datetime | None = None
        self.snapshot_time: datetime | None = None
        self.on_record: list[RecordListener] = []

    async def poll(self, wait: timedelta = timedelta()) -> int:
        """Fold the next page and return its number of records.

        Raises:
            PlatformUnavailableError: the log service did not answer.
        """
        # Two reads at once would fold the same page twice.
        async with self.lock:
            start = self.state.offset + 1 if self.started else 0
            page = await self.client.read(CONFIG_STREAM, start, wait)
            self.first = page.first
            if not self.started or page.first > start:
                self._restart(page.first)
            self._fold(page)
            return len(page.records)

    async def catch_up(self) -> None:
        """Fold until no record is left.

        Raises:
            PlatformUnavailableError: the log service did not answer.
        """
        found = await self.poll()
        while found and not self.state.unknown_rules:
            found = await self.poll()

    def _restart(self, first: int) -> None:
        if self.started:
            log('config_records_expired', first=first, at=self.state.offset)
        self.started = True
        self.state = initial_state(first)
        self.oldest = None
        self.snapshot_time = None

    def _fold(self, page: Page) -> None:
        for stored in page.records:
            self.oldest = self.oldest or stored.time
            record = read_record(stored.data)
            if isinstance(record, Unreadable):
                log(
                    'config_record_unreadable',
                    offset=stored.offset,
                    reason=record.reason,
                )
            for listener in self.on_record:
                listener(stored, record)
            before = self.state
            self.state = apply_record(before, stored.offset, record)
            self._note_changes(before, stored.time)
            if self.state.offset != stored.offset:
                # A snapshot was adopted, or a record had unknown rules.
                return

    def _note_changes(self, before: StreamState, time: datetime) -> None:
        if self.state.snapshot != before.snapshot:
            self.snapshot_time = time
        if self.state.problem not in {before.problem, None}:
            _log_problem(self.state.problem)
        if self.state.unknown_rules != before.unknown_rules:
            log('config_rules_unknown', rules=self.state.unknown_rules)


def _log_problem(problem: SnapshotProblem | None) -> None:
    if problem is not None:
        log(
            problem.code,
            offset=problem.offset,
            generation=problem.generation,
        )
