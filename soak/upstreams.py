"""Upstreams of the soak: record arrivals and inject response faults."""

import asyncio
import json
import time
from collections.abc import Callable, Collection

from standins.slot_server import REQUEST_ID, SlotServer
from standins.store import StandInStore

from .link import Link
from .plan import ResponseFault, Terms
from .records import Arrival, RunRecord, Statement

TOPIC = 'keyed.servers'
WORK_SECONDS = 0.02
SLOTS = 2
#: Service time of a slow upstream in percent of the normal one.
SLOW_PERCENT = 500
NORMAL_PERCENT = 100


class RecordingServer(SlotServer):
    """A slot server that records each arrival and whether it ran."""

    def __init__(
        self, key: str, service: str, run: RunRecord, now: Callable[[], float]
    ) -> None:
        super().__init__(key, SLOTS, WORK_SECONDS)
        self.service = service
        self.run_record = run
        self.now = now
        self.response_fault: ResponseFault | None = None
        self.response_script = self.faulty_response
        self.statement: Statement | None = None

    def stop(self):
        super().stop()
        # A new server under the same key knows nothing of these terms.
        self.end_statement(self.statement)
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def answer(self, head, reader, writer):
        runs_before = len(self.runs)
        if head.startswith('GET /health '):
            times = self.run_record.probe_times.setdefault(self.key, [])
            times.append(self.now())
            await super().answer(head, reader, writer)
            return
        arrived_at = self.now()
        request_id = head.split(f'{REQUEST_ID}: ')[1].split('\r\n')[0]
        path = head.split(' ')[1]
        response_task = asyncio.ensure_future(
            super().answer(head, reader, writer)
        )
        # The request starts or is refused before the first timed wait.
        await asyncio.sleep(0)
        has_run = request_id in self.runs[runs_before:]
        self.run_record.arrivals.append(
            Arrival(
                request_id, path, self.service, arrived_at, has_run, self.key
            )
        )
        await response_task
        statement = self.statement
        if statement is not None and statement.told_at is None:
            statement.told_at = self.now()

    def state(self, terms: Terms, figure: float) -> Statement:
        """State only these terms from now on; a backoff with each refusal."""
        self.end_statement(self.statement)
        match terms:
            case 'limit':
                self.terms = (f'Server-Limit: {figure}',)
            case 'leave':
                self.terms = ('Server-Leaving: 1',)
            case 'backoff':
                self.terms = (f'Retry-After: {figure}',)
                self.slots = 0
        self.statement = Statement(self.key, terms, figure, self.now())
        self.run_record.statements.append(self.statement)
        return self.statement

    def end_statement(self, statement: Statement | None) -> None:
        """State no terms any more, unless others have replaced these."""
        if statement is None or statement is not self.statement:
            return
        statement.ended_at = self.now()
        self.statement = None
        self.terms = ()
        self.slots = SLOTS

    def faulty_response(self, request_id: str) -> bytes | None:
        valid_response = self.response(request_id, request_id.encode())
        match self.response_fault:
            case 'mute':
                return b''
            case 'error':
                status = '500 Internal Server Error'
                return self.response(request_id, b'failed', status=status)
            case 'extra':
                return valid_response + self.response('another', b'another')
            case 'unsigned':
                return valid_response.replace(b'Response-Signature', b'Other')
        return None


class Upstream:
    """A position in a service, served by successive servers behind a link.

    ``refused`` are the IP addresses whose connections the link resets.
    """

    def __init__(
        self,
        number: int,
        service: str,
        store: StandInStore,
        run: RunRecord,
        now: Callable[[], float],
        refused: Collection[str],
    ) -> None:
        self.refused = refused
        self.number = number
        self.service = service
        self.store = store
        self.run_record = run
        self.now = now
        self.generation = 0
        self.sequence = 0
        self.state = ''

    async def start(self) -> 'Upstream':
        """Start a server under a new key and register it."""
        self.generation += 1
        await self._serve()
        self.link = await Link(self.server.address, self.refused).start()
        self.register()
        return self

    async def _serve(self) -> None:
        key = f'i-{self.number}-{self.generation}'
        self.server = RecordingServer(
            key, self.service, self.run_record, self.now
        )
        await self.server.start()
        self.started_at_ms = round(time.time() * 1000)
        self.sequence = 0

    def register(self, state: str = 'ready') -> None:
        self.sequence += 1
        self.state = state
        entry = {
            'Address': self.link.address,
            'ServerInfo': {
                'Service': self.service,
                'Version': 'v1',
                'Zone': 'a',
                'Slots': SLOTS,
            },
            'Status': {
                'State': state,
                'Sequence': self.sequence,
                'WarmupRemainingMs': 0,
            },
            'born': self.started_at_ms,
        }
        self.store.put(TOPIC, self.server.key, json.dumps(entry).encode())

    def register_again(self) -> None:
        """Write the entry again, unless the server has ended."""
        if self.state:
            self.register(self.state)

    async def crash(self, down_seconds: float) -> None:
        """Lose all running requests and restart under the same key."""
        await self.link.stop()
        self.server.stop()
        await asyncio.sleep(down_seconds)
        await self._serve()
        self.link = await Link(self.server.address, self.refused).start()
        self.register()

    async def state_terms(
        self, terms: Terms, figure: float, seconds: float
    ) -> None:
        """State terms for some time; a server that leaves is replaced."""
        server = self.server
        statement = server.state(terms, figure)
        if terms == 'leave':
            await self.replace(seconds, state='ready')
            return
        await asyncio.sleep(seconds)
        server.end_statement(statement)

    async def replace(
        self, drain_seconds: float, state: str = 'draining'
    ) -> None:
        """Drain, stop after ``drain_seconds``, and start under a new key.

        ``state`` is what the entry says until then.
        """
        self.register(state)
        key, link, server = self.server.key, self.link, self.server
        await asyncio.sleep(drain_seconds)
        self.state = ''
        self.store.put(TOPIC, key, b'')
        await link.stop()
        server.stop()
        await self.start()

    def set_slowdown(self, percent: int) -> None:
        self.server.slowdown = percent

    async def stop(self) -> None:
        await self.link.stop()
        self.server.stop()
