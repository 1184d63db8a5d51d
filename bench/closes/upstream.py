"""Upstreams that answer as the target of the request asks."""

import asyncio
import socket
import struct
from urllib.parse import parse_qsl, urlsplit

from .ledger import Ledger
from .review_bed import bed

#: An answer of unknown length or an early one is written in this many parts.
_PARTS = 5
#: Length of an answer if the query has no size.
ANSWER_BYTES = 100


class Upstream(bed.Server):
    """Works ``work`` seconds and answers ``size`` bytes, as the query says.

    The query's ``form`` is ``plain``, ``chunked``, ``unknown`` (the answer ends
    with the connection) or ``early`` (answered before the body is read). One
    that is full resets the connection if ``resets`` is set.
    """

    resets = False

    def __init__(self, ledger: Ledger, *arguments, **options):
        super().__init__(*arguments, **options)
        self.ledger = ledger
        #: Requests that have arrived and are not answered.
        self.at_work = []

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while await self._serve_one(reader, writer):
                pass
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _serve_one(self, reader, writer):
        first, headers = await bed.read_head(reader)
        _, target, _ = first.split(' ')
        if target == '/health':
            writer.write(self._health())
            return True
        rid = headers.get(bed.REQUEST_ID.lower(), '')
        expected = headers.get('x-crocusproxy-expected-instance', self.id)
        if expected != self.id or self.waiting >= self.queue:
            return await self._refuse(rid, expected, headers, reader, writer)
        request = self.ledger.requests[rid]
        request.arrived_at = self.record.now()
        self.record.write(f'{rid} reaches server {self.id}')
        query = dict(parse_qsl(urlsplit(target).query))
        self.at_work.append(request)
        try:
            return await self._respond(request, query, headers, reader, writer)
        finally:
            self.at_work.remove(request)

    async def _respond(self, request, query, headers, reader, writer):
        if query.get('form') == 'early':
            return await self._answer_early(request, headers, reader, writer)
        await bed.read_body(reader, headers)
        closed = asyncio.ensure_future(reader.read(1))
        try:
            return await self._work_and_answer(request, query, closed, writer)
        finally:
            closed.cancel()
            await asyncio.gather(closed, return_exceptions=True)

    async def _refuse(self, rid, expected, headers, reader, writer):
        self.ledger.events['refused by upstreams'] += 1
        if expected == self.id and self.resets:
            # It had the request, so the caller must get an answer.
            self.ledger.requests[rid].arrived_at = self.record.now()
            linger = struct.pack('ii', 1, 0)
            writer.get_extra_info('socket').setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, linger
            )
            return False
        await bed.read_body(reader, headers)
        status = '503 Service Unavailable'
        if expected != self.id:
            status = '421 Misdirected Request'
        writer.write(self._refusal(status, rid))
        return True

    async def _work_and_answer(self, request, query, closed, writer):
        work = asyncio.ensure_future(
            self._work(request.id, float(query.get('work', self.work)))
        )
        self.waiting += 1
        await asyncio.wait((work, closed), return_when='FIRST_COMPLETED')
        if not work.done():
            work.cancel()
            await asyncio.gather(work, return_exceptions=True)
            return self._drop(request)
        body = bytes(int(query.get('size', ANSWER_BYTES)))
        headers = (
            (bed.REQUEST_ID, request.id),
            (bed.SIGNATURE, f's.{self.id}'),
            self.load(),
        )
        form = query.get('form', 'plain')
        if form == 'plain':
            writer.write(bed.message('HTTP/1.1 200 OK', headers, body))
            await writer.drain()
        else:
            await self._write_parts(form, headers, body, writer)
        if closed.done():
            return self._drop(request)
        request.answered_at = self.record.now()
        self.record.write(f'{request.id} answered by {self.id}')
        return form != 'unknown'

    async def _work(self, rid, seconds):
        is_waiting = True
        try:
            async with self.free:
                self.waiting -= 1
                is_waiting = False
                self.running += 1
                try:
                    await asyncio.sleep(seconds)
                finally:
                    self.running -= 1
        finally:
            self.waiting -= is_waiting

    async def _write_parts(self, form, headers, body, writer):
        """Write an answer of no stated length over a second."""
        extra = ('Connection', 'close')
        if form == 'chunked':
            extra = ('Transfer-Encoding', 'chunked')
        lines = [f'{name}: {text}' for name, text in (*headers, extra)]
        head = '\r\n'.join(('HTTP/1.1 200 OK', *lines, '', ''))
        writer.write(head.encode())
        size = max(1, len(body) // _PARTS)
        for _ in range(_PARTS):
            part = body[:size]
            if form == 'chunked':
                part = b'%x\r\n%b\r\n' % (size, part)
            writer.write(part)
            await asyncio.sleep(1 / _PARTS)
        if form == 'chunked':
            writer.write(b'0\r\n\r\n')
        await writer.drain()

    async def _answer_early(self, request, headers, reader, writer):
        answer_headers = (
            (bed.REQUEST_ID, request.id),
            (bed.SIGNATURE, f's.{self.id}'),
            self.load(),
        )
        writer.write(bed.message('HTTP/1.1 200 OK', answer_headers, b'early'))
        await writer.drain()
        request.answered_at = self.record.now()
        await bed.read_body(reader, headers)
        return True

    def _drop(self, request):
        request.dropped_at = self.record.now()
        self.record.write(f'{request.id} dropped by {self.id}: closed')
        return False

    def close(self):
        """End; requests at work are broken off by this upstream."""
        for request in self.at_work:
            request.broken_at = self.record.now()
        super().close()
