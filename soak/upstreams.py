"""Upstreams of the soak: they note what arrives and misbehave as told."""

import asyncio
import json
import time
from collections.abc import Callable

from standins.slot_server import REQUEST_ID, SlotServer
from standins.store import StandInStore

from .link import Link
from .plan import Misbehaviour
from .records import Arrival, RunRecord

TOPIC = 'keyed.servers'
WORK_SECONDS = 0.02
SLOTS = 2
#: A slow one needs so many percent of the usual time.
SLOW_PERCENT = 500
USUAL_PERCENT = 100


class NotingServer(SlotServer):
    """A slot server that notes each arrival, run or not."""

    def __init__(
        self, key: str, service: str, run: RunRecord, now: Callable[[], float]
    ) -> None:
        super().__init__(key, SLOTS, WORK_SECONDS)
        self.service = service
        self.run_record = run
        self.now = now
        self.how: Misbehaviour | None = None
        self.response_script = self.misbehave
        self.writers: set[asyncio.StreamWriter] = set()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            await super().serve(reader, writer)
        finally:
            self.writers.discard(writer)

    def stop(self):
        super().stop()
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def answer(self, head, reader, writer):
        before = len(self.runs)
        if head.startswith('GET /health '):
            await super().answer(head, reader, writer)
            return
        arrived = self.now()
        request_id = head.split(f'{REQUEST_ID}: ')[1].split('\r\n')[0]
        path = head.split(' ')[1]
        answering = asyncio.ensure_future(super().answer(head, reader, writer))
        # The work begins, or is refused, before the first wait for time.
        await asyncio.sleep(0)
        ran = request_id in self.runs[before:]
        self.run_record.arrivals.append(
            Arrival(request_id, path, self.service, arrived, ran)
        )
        await answering

    def misbehave(self, request_id: str) -> bytes | None:
        proper = self.response(request_id, request_id.encode())
        match self.how:
            case 'mute':
                return b''
            case 'error':
                status = '500 Internal Server Error'
                return self.response(request_id, b'failed', status=status)
            case 'extra':
                return proper + self.response('another', b'another')
            case 'unsigned':
                return proper.replace(b'Response-Signature', b'Other')
        return None


class Upstream:
    """A place in a service: one server after the other, behind one link."""

    def __init__(
        self,
        number: int,
        service: str,
        store: StandInStore,
        run: RunRecord,
        now: Callable[[], float],
    ) -> None:
        self.number = number
        self.service = service
        self.store = store
        self.run_record = run
        self.now = now
        self.generation = 0
        self.sequence = 0

    async def start(self) -> 'Upstream':
        """Start a server with a new key and register it."""
        self.generation += 1
        await self._serve()
        self.link = await Link(self.server.address).start()
        self.register()
        return self

    async def _serve(self) -> None:
        key = f'i-{self.number}-{self.generation}'
        self.server = NotingServer(key, self.service, self.run_record, self.now)
        await self.server.start()
        self.born = round(time.time() * 1000)
        self.sequence = 0

    def register(self, state: str = 'ready') -> None:
        self.sequence += 1
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
            'born': self.born,
        }
        self.store.put(TOPIC, self.server.key, json.dumps(entry).encode())

    async def crash(self, down: float) -> None:
        """Lose all that runs, and start again under the same key."""
        await self.link.stop()
        self.server.stop()
        await asyncio.sleep(down)
        await self._serve()
        self.link = await Link(self.server.address).start()
        self.register()

    async def replace(self, notice: float) -> None:
        """Leave, end after ``notice`` seconds, and start under a new key."""
        self.register('draining')
        key, link, server = self.server.key, self.link, self.server
        await asyncio.sleep(notice)
        self.store.put(TOPIC, key, b'')
        await link.stop()
        server.stop()
        await self.start()

    def slow(self, percent: int) -> None:
        self.server.slowdown = percent

    async def stop(self) -> None:
        await self.link.stop()
        self.server.stop()
