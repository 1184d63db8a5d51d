"""Upstreams of the soak: record arrivals and inject response faults."""

import asyncio
import json
import time
from collections.abc import Callable, Collection
from math import inf

from standins.slot_server import REQUEST_ID, SlotServer
from standins.store import StandInStore

from .faults import ResponseFault, Terms
from .link import Link
from .operator import WARM_UP_RATE, WARM_UP_SECONDS
from .plan import Features
from .records import Arrival, ColdPeriod, RunRecord, Statement

TOPIC = 'keyed.servers'
WORK_SECONDS = 0.02
SLOTS = 2
#: Enough for a home in each failure domain.
SLOTS_WITH_HOMES = 32
WARM_UP_REMAINING = 'X-Crocusproxy-Warmup-Remaining'
ACCOUNT = 'X-Crocusproxy-Tenant-Name'
#: A request states the size of its response's body in this header.
BODY_BYTES = 'X-Body-Bytes'
BODY_PADDING = b'.'
#: Service time of a slow upstream in percent of the normal one.
SLOW_PERCENT = 500
NORMAL_PERCENT = 100


class RecordingServer(SlotServer):
    """A slot server that records each arrival and whether it ran."""

    def __init__(
        self,
        key: str,
        service: str,
        run: RunRecord,
        now: Callable[[], float],
        features: Features,
    ) -> None:
        self.all_slots = SLOTS_WITH_HOMES if features.homes else SLOTS
        super().__init__(key, self.all_slots, WORK_SECONDS)
        self.is_silent = features.silent
        self.silenced: set[asyncio.StreamWriter] = set()
        self.cold_until = -inf
        self.cold_period: ColdPeriod | None = None
        self.service = service
        self.run_record = run
        self.now = now
        self.response_fault: ResponseFault | None = None
        self.response_script = self.faulty_response
        self.statement: Statement | None = None
        #: Minimum sizes of the bodies of responses, by request id.
        self.body_bytes: dict[str, int] = {}

    def stop(self):
        super().stop()
        # A new server under the same key knows nothing of these terms.
        self.end_statement(self.statement)
        for writer in tuple(self.writers):
            writer.transport.abort()

    def become_cold(self, *, is_start: bool) -> None:
        """Be cold from now on; instances know at once of a start only."""
        start = self.now()
        self.cold_until = start + WARM_UP_SECONDS
        self.cold_period = ColdPeriod(
            self.key,
            WARM_UP_RATE,
            start,
            self.cold_until,
            start if is_start else None,
        )
        self.run_record.cold_periods.append(self.cold_period)

    @property
    def warm_up_remaining_ms(self) -> int:
        return round(max(self.cold_until - self.now(), 0) * 1000)

    async def answer(self, head, reader, writer):
        if writer in self.silenced or self._is_overfull():
            await self._ignore(head, reader, writer)
            return
        runs_before = len(self.runs)
        if head.startswith('GET /health '):
            times = self.run_record.probe_times.setdefault(self.key, [])
            times.append(self.now())
            await super().answer(head, reader, writer)
            if self.cold_period is not None:
                if self.cold_period.told_at is None:
                    self.cold_period.told_at = self.now()
            return
        self._note_body_bytes(head)
        arrived_at = self.now()
        response_task = asyncio.ensure_future(
            super().answer(head, reader, writer)
        )
        # The request starts or is refused before the first timed wait.
        await asyncio.sleep(0)
        request_id = _header(head, REQUEST_ID)
        has_run = request_id in self.runs[runs_before:]
        self._record_arrival(head, arrived_at, has_run)
        await response_task
        statement = self.statement
        if statement is not None and statement.told_at is None:
            statement.told_at = self.now()

    def response(self, request_id, body, health=False, status='200 OK'):
        body = body.ljust(self.body_bytes.get(request_id, 0), BODY_PADDING)
        response = super().response(request_id, body, health, status)
        if not health or not self.warm_up_remaining_ms:
            return response
        remaining = f'{WARM_UP_REMAINING}: {self.warm_up_remaining_ms}'
        return response.replace(
            b'\r\n\r\n', f'\r\n{remaining}\r\n\r\n'.encode(), 1
        )

    def _note_body_bytes(self, head: str) -> None:
        body_bytes = _header(head, BODY_BYTES)
        if body_bytes:
            self.body_bytes[_header(head, REQUEST_ID)] = int(body_bytes)

    def _is_overfull(self) -> bool:
        return (
            self.is_silent
            and self.statement is None
            and self.running >= self.slots
        )

    async def _ignore(self, head, reader, writer) -> None:
        """Read a request without responding, now and later."""
        self.silenced.add(writer)
        await reader.readexactly(int(_header(head, 'Content-Length') or 0))
        if not head.startswith('GET /health '):
            self._record_arrival(head, self.now(), has_run=False)

    def _record_arrival(
        self, head: str, arrived_at: float, has_run: bool
    ) -> None:
        expected_key = _header(head, 'X-Crocusproxy-Expected-Instance')
        self.run_record.arrivals.append(
            Arrival(
                _header(head, REQUEST_ID),
                head.split(' ')[1],
                self.service,
                arrived_at,
                has_run,
                self.key,
                _header(head, ACCOUNT),
                leaks_key='key-of-' in head,
                is_misdirected=expected_key not in {'', self.key},
            )
        )

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
        self.slots = self.all_slots

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


def _header(head: str, name: str) -> str:
    """Return the values of a header, empty without any."""
    lines = (line.partition(': ') for line in head.split('\r\n'))
    return ','.join(
        text for key, _, text in lines if key.lower() == name.lower()
    )


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
        features: Features,
        failure_domain: str,
    ) -> None:
        self.features = features
        self.failure_domain = failure_domain
        self.refused = refused
        self.number = number
        self.service = service
        self.store = store
        self.run_record = run
        self.now = now
        self.generation = 0
        self.sequence = 0
        self.state = ''
        #: Servers that start from now on are cold at first.
        self.has_traffic = False

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
            key, self.service, self.run_record, self.now, self.features
        )
        self.run_record.failure_domains[key] = self.failure_domain
        await self.server.start()
        if self.features.cold and self.has_traffic:
            self.server.become_cold(is_start=True)
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
                'Zone': self.failure_domain,
                'Slots': self.server.all_slots,
            },
            'Status': {
                'State': state,
                'Sequence': self.sequence,
                'WarmupRemainingMs': self.server.warm_up_remaining_ms,
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

    def become_cold(self) -> None:
        """Warm up in traffic, which only health responses tell."""
        self.server.become_cold(is_start=False)

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
