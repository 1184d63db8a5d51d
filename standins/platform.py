"""Stand-in for the platform: append-only log service and instance list.

Run with ``python -m standins.platform --port 7000``.
"""

import asyncio
import time
from collections import deque
from dataclasses import dataclass, field
from datetime import datetime, timezone

import fire
import uvloop
from aiohttp import web

_DEFAULT_RETAINED_RECORDS = 100_000
# The first publication of 10,000 upstreams is one record of about 2 MiB.
_MAX_RECORD_BYTES = 16 * 1024 * 1024


@dataclass
class Stream:
    first: int = 0
    records: deque = field(default_factory=deque)
    changed: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def next(self) -> int:
        return self.first + len(self.records)

    def append(self, data: dict) -> int:
        offset = self.next
        now = datetime.now(timezone.utc).isoformat()
        self.records.append({'offset': offset, 'time': now, 'data': data})
        self.changed.set()
        self.changed = asyncio.Event()
        return offset

    def expire(self, keep: int) -> None:
        while len(self.records) > keep:
            self.records.popleft()
            self.first += 1


@dataclass
class Faults:
    """Faults to inject, set with ``POST /faults``.

    ``reject_appends`` is the number of appends that are refused with status
    400. ``lose_answers`` is the number of appends that take effect, but whose
    response is dropped. ``keep`` is the number of records per stream.
    """

    outage: bool = False
    delay_ms: int = 0
    reject_appends: int = 0
    lose_answers: int = 0
    keep: int = _DEFAULT_RETAINED_RECORDS


class Platform:
    def __init__(self) -> None:
        self.streams: dict[str, Stream] = {}
        self.faults = Faults()
        self.instances: dict[str, dict] = {}
        self.leaving: set[str] = set()
        self.version = 0
        self.view_changed = asyncio.Event()
        self.appends = 0
        self.reads = 0

    def application(self) -> web.Application:
        app = web.Application(client_max_size=_MAX_RECORD_BYTES)
        app.router.add_post('/v1/streams/{stream}/records', self.append)
        app.router.add_get('/v1/streams/{stream}/records', self.read)
        app.router.add_get('/v1/instances', self.list_instances)
        app.router.add_post('/v1/instances/{name}', self.put_instance)
        app.router.add_delete('/v1/instances/{name}', self.delete_instance)
        app.router.add_put('/v1/leaving/{service}/{name}', self.put_leaving)
        app.router.add_delete(
            '/v1/leaving/{service}/{name}', self.delete_leaving
        )
        app.router.add_post('/faults', self.set_faults)
        app.router.add_get('/stats', self.stats)
        return app

    async def append(self, request: web.Request) -> web.Response:
        await self._fail_or_delay()
        body = await request.json()
        if self.faults.reject_appends:
            self.faults.reject_appends -= 1
            raise web.HTTPBadRequest
        self.appends += 1
        stream = self.streams.setdefault(request.match_info['stream'], Stream())
        offset = stream.append(body['data'])
        stream.expire(self.faults.keep)
        if self.faults.lose_answers:
            self.faults.lose_answers -= 1
            request.transport.abort()
        return web.json_response({'offset': offset})

    async def read(self, request: web.Request) -> web.Response:
        await self._fail_or_delay()
        self.reads += 1
        name = request.match_info['stream']
        stream = self.streams.setdefault(name, Stream())
        start = int(request.query.get('from', '0'))
        limit = int(request.query.get('limit', '1000'))
        wait_seconds = int(request.query.get('wait_ms', '0')) / 1000
        end = time.monotonic() + wait_seconds
        while start >= stream.next and time.monotonic() < end:
            await _wait(stream.changed, end - time.monotonic())
        if self.faults.outage:
            raise web.HTTPServiceUnavailable
        begin = max(start, stream.first)
        index = begin - stream.first
        records = [
            stream.records[position]
            for position in range(
                index, min(index + limit, len(stream.records))
            )
        ]
        return web.json_response(
            {
                'first': stream.first,
                'next': begin + len(records),
                'records': records,
            }
        )

    async def list_instances(self, request: web.Request) -> web.Response:
        await self._fail_or_delay()
        after = int(request.query.get('after', '-1'))
        wait_seconds = int(request.query.get('wait_ms', '0')) / 1000
        end = time.monotonic() + wait_seconds
        while self.version <= after and time.monotonic() < end:
            await _wait(self.view_changed, end - time.monotonic())
        if self.faults.outage:
            raise web.HTTPServiceUnavailable
        return web.json_response(
            {
                'version': self.version,
                'instances': list(self.instances.values()),
                'leaving_upstreams': sorted(self.leaving),
            }
        )

    async def put_instance(self, request: web.Request) -> web.Response:
        name = request.match_info['name']
        self.instances[name] = {**await request.json(), 'name': name}
        return self._view_change()

    async def delete_instance(self, request: web.Request) -> web.Response:
        self.instances.pop(request.match_info['name'], None)
        return self._view_change()

    async def put_leaving(self, request: web.Request) -> web.Response:
        self.leaving.add(_upstream_key(request))
        return self._view_change()

    async def delete_leaving(self, request: web.Request) -> web.Response:
        self.leaving.discard(_upstream_key(request))
        return self._view_change()

    async def set_faults(self, request: web.Request) -> web.Response:
        for name, setting in (await request.json()).items():
            setattr(self.faults, name, setting)
        for stream in self.streams.values():
            stream.expire(self.faults.keep)
        return web.json_response({})

    async def stats(self, _: web.Request) -> web.Response:
        return web.json_response({'appends': self.appends, 'reads': self.reads})

    def _view_change(self) -> web.Response:
        self.version += 1
        self.view_changed.set()
        self.view_changed = asyncio.Event()
        return web.json_response({'version': self.version})

    async def _fail_or_delay(self) -> None:
        if self.faults.delay_ms:
            await asyncio.sleep(self.faults.delay_ms / 1000)
        if self.faults.outage:
            raise web.HTTPServiceUnavailable


def _upstream_key(request: web.Request) -> str:
    return '{service}/{name}'.format(**request.match_info)


async def _wait(event: asyncio.Event, seconds: float) -> None:
    try:
        await asyncio.wait_for(event.wait(), seconds)
    except TimeoutError:
        return


def main(port: int, host: str = '127.0.0.1') -> None:
    """Serve until SIGINT or SIGTERM."""
    uvloop.install()
    web.run_app(
        Platform().application(),
        host=host,
        port=port,
        print=None,
        access_log=None,
        # Long polls in progress would otherwise delay the exit by a minute.
        shutdown_timeout=1,
    )


if __name__ == '__main__':
    fire.Fire(main)
