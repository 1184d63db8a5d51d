"""Stand-in for an upstream server with slots and a bounded queue.

Run with ``python -m standins.upstream --port 7100 --name u1``.

Every request occupies a slot for its service time. By the response headers a
caller can check that a response is complete and its own: ``X-Request-ID`` is
echoed, ``Upstream-Request-Mark`` is the SHA-256 of the request's body and
``Upstream-Response-Mark`` that of the response's body. ``Upstream-Time-Ms`` is
the time that the upstream spent on the request, including queueing. The query
parameters ``size`` (bytes) and ``chunked=1`` control the response body.
"""

import asyncio
import hashlib
import os
import random
import time
from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from dataclasses import asdict

import fire
import uvloop
from aiohttp import web

from .upstream_state import Counters, Faults

_DEFAULT_BODY_BYTES = 256
_MAX_BODY_BYTES = 64 * 1024 * 1024
_CRASH_STATUS = 70


class RefusedError(Exception):
    """The request was refused before it took a slot."""


class Upstream:
    """An HTTP server with ``slots`` and a queue of at most ``queue`` requests.

    ``service_ms`` is the mean service time. Service times are uniform in
    ``service_ms * (1 - spread, 1 + spread)``.
    """

    def __init__(
        self,
        name: str = 'u1',
        slots: int = 2,
        queue: int = 16,
        service_ms: float = 20,
        spread: float = 0.5,
        probe_ms: float = 1,
        seed: int = 1,
        crash: Callable[[int], None] = os._exit,
        sleep: Callable[[float], Awaitable[None]] = asyncio.sleep,
    ) -> None:
        self.name = name
        self.slots = slots
        self.queue = queue
        self.service_ms = service_ms
        self.spread = spread
        self.probe_ms = probe_ms
        self.random = random.Random(seed)
        self.crash = crash
        self.sleep = sleep
        self.free_slots = asyncio.Semaphore(slots)
        self.running = 0
        self.queued = 0
        self.faults = Faults()
        self.counters = Counters()
        self.drain_start: float | None = None

    def application(self) -> web.Application:
        """Return the handler; serve it with ``handler_cancellation=True``."""
        app = web.Application(client_max_size=_MAX_BODY_BYTES)
        app.router.add_get('/load', self.load)
        app.router.add_post('/admin/faults', self.set_faults)
        app.router.add_get('/admin/counters', self.show_counters)
        app.router.add_route('*', '/{path:.*}', self.work)
        app.on_response_prepare.append(self.add_load_report)
        app.on_shutdown.append(self.on_shutdown)
        return app

    async def work(self, request: web.Request) -> web.StreamResponse:
        self._count_arrival()
        try:
            return await self._work(request)
        except (asyncio.CancelledError, ConnectionError):
            self.counters.cancelled += 1
            raise

    async def _work(self, request: web.Request) -> web.StreamResponse:
        start = time.monotonic()
        body = await request.read()
        if self.faults.fail_fast:
            self._count_run(request)
            self.counters.failed_fast += 1
            return web.Response(status=500, headers=_echo(request))
        try:
            async with self.slot(request):
                self._count_run(request)
                await self._simulate_service()
        except RefusedError as refusal:
            return self._refuse(request, str(refusal))
        return await self._respond(request, body, start)

    async def load(self, request: web.Request) -> web.Response:
        """Respond to a probe, which occupies a slot like any request."""
        self.counters.probes += 1
        self.counters.probe_times.append(time.monotonic())
        try:
            async with self.slot(request):
                await self.sleep(self.probe_ms * self.faults.slow / 1000)
        except RefusedError as refusal:
            return self._refuse(request, str(refusal))
        response = web.json_response(self.load_report())
        header_bytes = sum(
            len(k) + len(v) + 4 for k, v in request.headers.items()
        )
        self.counters.probe_bytes += header_bytes + len(response.body)
        return response

    async def set_faults(self, request: web.Request) -> web.Response:
        for name, setting in (await request.json()).items():
            if not hasattr(self.faults, name):
                raise web.HTTPBadRequest(text=f'no such fault: {name}')
            setattr(self.faults, name, setting)
        self._update_drain_start()
        return web.json_response(asdict(self.faults))

    async def show_counters(self, _: web.Request) -> web.Response:
        report = {'name': self.name, 'running': self.running}
        return web.json_response(report | vars(self.counters))

    async def add_load_report(
        self, request: web.Request, response: web.StreamResponse
    ) -> None:
        if not self.faults.silent or request.path == '/load':
            metrics = ', '.join(
                f'named_metrics.{name}={figure}'
                for name, figure in self.load_report().items()
            )
            response.headers['Endpoint-Load-Metrics'] = f'TEXT {metrics}'
        if self.faults.drain:
            response.headers['Upstream-State'] = 'draining'

    async def on_shutdown(self, _: web.Application) -> None:
        self.faults.drain = 'refuse'
        self._update_drain_start()

    def load_report(self) -> dict:
        override = self.faults.reported_in_flight
        return {
            'in_flight': self.running if override is None else override,
            'slots': self.slots,
            'queued': self.queued,
        }

    @asynccontextmanager
    async def slot(self, request: web.Request) -> AsyncIterator[None]:
        """Hold a slot during the block.

        Raises:
            RefusedError: the queue is full, the deadline passed, or the
                upstream sheds or drains.
        """
        if self.faults.shed or self.faults.drain == 'refuse':
            raise RefusedError('shedding' if self.faults.shed else 'draining')
        if self.free_slots.locked() and self.queued >= self.queue:
            raise RefusedError('queue full')
        await self._wait_for_slot(request)
        self.running += 1
        self.counters.most_running = max(
            self.counters.most_running, self.running
        )
        try:
            yield
        finally:
            self.running -= 1
            self.free_slots.release()

    async def _wait_for_slot(self, request: web.Request) -> None:
        timeout_ms = request.headers.get('Crocus-Timeout-Ms')
        self.queued += 1
        try:
            async with asyncio.timeout(
                float(timeout_ms) / 1000 if timeout_ms else None
            ):
                await self.free_slots.acquire()
        except TimeoutError as error:
            raise RefusedError('deadline passed') from error
        finally:
            self.queued -= 1

    async def _simulate_service(self) -> None:
        width = self.random.uniform(-self.spread, self.spread)
        service_ms = self.service_ms * (1 + width) * self.faults.slow
        await self.sleep(service_ms / 1000)

    async def _respond(
        self, request: web.Request, body: bytes, start: float
    ) -> web.StreamResponse:
        size = int(request.query.get('size', _DEFAULT_BODY_BYTES))
        digest = hashlib.sha256(body).hexdigest()
        text = f'{self.name} {request.headers.get("X-Request-ID")} {digest} '
        content = text.encode().ljust(size, b'.')
        mark = hashlib.sha256(content).hexdigest()
        response = web.StreamResponse(headers=_echo(request))
        response.headers['Upstream-Request-Mark'] = digest
        response.headers['Upstream-Response-Mark'] = mark
        response.headers['Upstream-Time-Ms'] = f'{_ms_since(start):.3f}'
        response.headers['Upstream-Name'] = self.name
        if request.query.get('chunked'):
            response.enable_chunked_encoding()
        else:
            response.content_length = len(content)
        await response.prepare(request)
        if await self._write(request, response, content):
            request_id = request.headers.get('X-Request-ID', '')
            self.counters.sent[request_id].append(mark)
        return response

    async def _write(
        self,
        request: web.Request,
        response: web.StreamResponse,
        content: bytes,
    ) -> bool:
        """Write the body and return whether it was written completely."""
        half = len(content) // 2
        await response.write(content[:half])
        if self.faults.cut_body:
            self.faults.cut_body -= 1
            self.counters.cut += 1
            request.transport.close()
            return False
        await response.write(content[half:])
        await response.write_eof()
        self.counters.answered += 1
        return True

    def _refuse(self, request: web.Request, reason: str) -> web.Response:
        self.counters.refused += 1
        marks = {'Upstream-Outcome': 'not-run', 'Retry-After': '1'}
        headers = _echo(request) | marks
        return web.Response(status=503, text=reason, headers=headers)

    def _count_run(self, request: web.Request) -> None:
        if self.faults.crash_on and self.faults.crash_on in request.path:
            self.crash(_CRASH_STATUS)
        self.counters.runs += 1
        key = request.headers.get('Idempotency-Key')
        if key:
            self.counters.runs_by_key[key] += 1
        self.counters.runs_by_request[
            request.headers.get('X-Request-ID', '')
        ] += 1

    def _count_arrival(self) -> None:
        self.counters.last_arrival = time.monotonic()
        if self.drain_start is not None:
            self.counters.arrivals_after_drain += 1
            self.counters.last_arrival_after_drain_ms = _ms_since(
                self.drain_start
            )

    def _update_drain_start(self) -> None:
        if not self.faults.drain:
            self.drain_start = None
        elif self.drain_start is None:
            self.drain_start = time.monotonic()


def _echo(request: web.Request) -> dict[str, str]:
    request_id = request.headers.get('X-Request-ID')
    return {'X-Request-ID': request_id} if request_id else {}


def _ms_since(start: float) -> float:
    return (time.monotonic() - start) * 1000


def main(port: int, host: str = '127.0.0.1', **options: object) -> None:
    """Serve until SIGTERM, then finish the requests in progress.

    ``options`` are passed to ``Upstream``, for example ``--slots 2``.
    """
    uvloop.install()
    web.run_app(
        _make_application(options),
        host=host,
        port=port,
        print=None,
        access_log=None,
        handler_cancellation=True,
    )


async def _make_application(options: dict) -> web.Application:
    return Upstream(**options).application()


if __name__ == '__main__':
    fire.Fire(main)
