"""Stand-in for the platform's store: keyed and plain topics over HTTP."""

import asyncio
import base64
import struct
from collections import defaultdict
from dataclasses import dataclass, field
from itertools import islice

from aiohttp import web

OFFSETS = struct.Struct('>QQ')
LENGTH = struct.Struct('>I')
#: The most that one read returns, beside its first record.
MAX_READ_BYTES = 1024 * 1024


@dataclass
class Partition:
    """Records by offset; records before ``first`` have expired."""

    records: list[bytes] = field(default_factory=list)
    first: int = 0
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def end(self):
        return len(self.records)


class StandInStore:
    """Implements the store's HTTP API and injects faults.

    With ``is_unavailable`` every request is refused with status 503, with
    ``rejects_appends`` every append with status 400. With
    ``drop_append_responses`` the connection is closed after an append took
    effect. ``delay`` is in seconds. ``restore`` goes back to the state of an
    earlier ``copy`` and increases ``incarnation``, as after a disaster.
    """

    def __init__(self):
        self.incarnation = 1
        self.partitions = defaultdict(Partition)
        self.is_unavailable = False
        self.rejects_appends = False
        self.drop_append_responses = False
        self.delay = 0.0
        self.max_read_bytes = MAX_READ_BYTES
        self.calls = 0
        self.runner = None
        self.address = ''

    async def start(self, prefix=''):
        application = web.Application()
        application.on_response_prepare.append(self._add_incarnation)
        application.add_routes(
            [
                web.post(f'{prefix}/-/log-append', self.append),
                web.get(f'{prefix}/-/log-read', self.read),
                web.get(f'{prefix}/-/log-newest', self.newest),
            ]
        )
        self.runner = web.AppRunner(
            application, access_log=None, shutdown_timeout=0.1
        )
        await self.runner.setup()
        site = web.TCPSite(self.runner, '127.0.0.1', 0)
        await site.start()
        port = site._server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        return self

    async def stop(self):
        await self.runner.cleanup()

    def put(self, topic, key, content):
        """Append a keyed record as the operator or a server does."""
        name = key.encode()
        partition = self.partitions[topic, 0]
        partition.records.append(bytes((len(name),)) + name + content)
        self._notify_readers(partition)

    def copy(self):
        """Return a copy for ``restore``."""
        return {
            key: (list(partition.records), partition.first)
            for key, partition in self.partitions.items()
        }

    def restore(self, copy):
        """Lose all writes since a copy; waiting reads respond at once."""
        self.incarnation += 1
        for key, partition in self.partitions.items():
            records, first = copy.get(key, ([], 0))
            partition.records = list(records)
            partition.first = first
            self._notify_readers(partition)

    def keys(self, topic):
        """Return the keys whose newest record has content."""
        present = set()
        for record in self.partitions[topic, 0].records:
            end = 1 + record[0]
            update = present.add if record[end:] else present.discard
            update(record[1:end].decode())
        return present

    def expire_records(self, topic):
        """Expire all records; the newest of each key stay listed."""
        partition = self.partitions[topic, 0]
        partition.first = partition.end

    async def append(self, request):
        refusal = await self._delay_or_refuse(request)
        if refusal is not None:
            return refusal
        if self.rejects_appends:
            return web.Response(status=400)
        partition = self._partition(request)
        expected_end = request.query.get('AsOf')
        if expected_end is not None and int(expected_end) != partition.end:
            return web.json_response({'End': partition.end}, status=412)
        offset = partition.end
        partition.records.extend(split_records(await request.read()))
        self._notify_readers(partition)
        if self.drop_append_responses:
            request.transport.abort()
        return web.json_response({'Offset': offset, 'End': partition.end})

    async def read(self, request):
        refusal = await self._delay_or_refuse(request)
        if refusal is not None:
            return refusal
        partition = self._partition(request)
        start = int(request.query['From'])
        if not partition.first <= start <= partition.end:
            return web.json_response({'First': partition.first}, status=410)
        wait = int(request.query.get('WaitMs', '0')) / 1000
        await self._wait_beyond(partition, start, wait)
        if start > partition.end:
            return web.json_response({'First': partition.first}, status=410)
        body = bytearray(OFFSETS.pack(partition.end, partition.first))
        for record in islice(partition.records, start, None):
            body += LENGTH.pack(len(record)) + record
            if len(body) > self.max_read_bytes:
                break
        return web.Response(body=bytes(body))

    async def newest(self, request):
        refusal = await self._delay_or_refuse(request)
        if refusal is not None:
            return refusal
        partition = self._partition(request)
        items = {}
        for offset, record in enumerate(partition.records):
            end = 1 + record[0]
            key = record[1:end].decode()
            items.pop(key, None)
            if record[end:]:
                value = base64.b64encode(record[end:]).decode()
                items[key] = {'Key': key, 'Value': value, 'Offset': offset}
        after = request.query.get('after', '')
        listed = [item for key, item in sorted(items.items()) if key > after]
        page = {
            'items': listed[:500],
            'HasMore': len(listed) > 500,
            'End': partition.end,
        }
        return web.json_response(page)

    async def _delay_or_refuse(self, request):
        self.calls += 1
        if self.delay:
            await asyncio.sleep(self.delay)
        return web.Response(status=503) if self.is_unavailable else None

    async def _add_incarnation(self, _, response):
        response.headers['Store-Era'] = str(self.incarnation)

    async def _wait_beyond(self, partition, start, wait):
        incarnation = self.incarnation
        try:
            async with asyncio.timeout(wait):
                while (
                    partition.end <= start and incarnation == self.incarnation
                ):
                    await partition.changed.wait()
        except TimeoutError:
            pass

    def _partition(self, request):
        part = int(request.query['part'])
        return self.partitions[request.query['Topic'], part]

    def _notify_readers(self, partition):
        partition.changed.set()
        partition.changed = asyncio.Event()


def split_records(body):
    """Return the length-prefixed records in the body of an append."""
    records = []
    position = 0
    while position < len(body):
        (length,) = LENGTH.unpack_from(body, position)
        position += LENGTH.size
        records.append(body[position : position + length])
        position += length
    return records
