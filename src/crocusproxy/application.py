"""Life cycle and admin endpoints of all daemons."""

import asyncio
import gc
import os
import signal
import sys
from collections.abc import Awaitable, Callable, Iterable
from dataclasses import dataclass, field
from datetime import timedelta
from typing import NoReturn

import aiomisc
from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST, REGISTRY, generate_latest

from .clock import Clock, SystemClock
from .event_loop.input_first_loop import InputFirstLoop
from .event_loop.pause_monitor import PauseMonitor
from .http_server.server import DeliveringRunner, PortLimits, limit_site
from .logs import log
from .memory_limits import return_freed_memory

Hook = Callable[[], Awaitable[None]]
ReadinessCheck = Callable[[], str]

_SERVICE_UNAVAILABLE = 503
_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)
#: How long aiohttp waits for requests in progress by default.
_SHUTDOWN_TIMEOUT = timedelta(seconds=60)


@dataclass(slots=True)
class Application:
    """Runs a daemon from its start to its clean-up.

    ``on_start`` and ``on_ready`` hooks run in order. On SIGTERM or SIGINT the
    ``on_drain`` hooks run in order, with requests still being served, and then
    the ``on_stop`` hooks in reverse order. A signal during the start takes
    effect after it; one during the shutdown has no effect.

    ``drain_limit`` is the time from the signal until the drain hooks are
    cancelled, and ``close_limit`` the time from then until the stop hooks are,
    all together. If ``ends_process`` is set, the process then ends without the
    clean-up of the event loop and of the interpreter, after the ``on_exit``
    callbacks.
    """

    name: str
    drain_limit: timedelta = timedelta(seconds=60)
    close_limit: timedelta = timedelta(seconds=60)
    ends_process: bool = False
    clock: Clock = field(default_factory=SystemClock)
    on_start: list[Hook] = field(default_factory=list)
    on_ready: list[Hook] = field(default_factory=list)
    on_drain: list[Hook] = field(default_factory=list)
    on_stop: list[Hook] = field(default_factory=list)
    on_exit: list[Callable[[], None]] = field(default_factory=list)
    readiness: list[ReadinessCheck] = field(default_factory=list)
    draining: bool = False
    stop_requested_at: timedelta | None = None
    pauses: PauseMonitor = field(init=False)

    def __post_init__(self) -> None:
        """Create the monitor, which observes the loop from the start on."""
        self.pauses = PauseMonitor(self.clock)

    async def start(self) -> None:
        """Run the start hooks and then the ready hooks."""
        self.pauses.start()
        for hook in (*self.on_start, *self.on_ready):
            await hook()
        _freeze_startup_objects()
        log('started')

    async def stop(self) -> None:
        """Drain and stop; a failing hook does not prevent the others."""
        self.draining = True
        log('draining')
        await self._run_until(
            self.drain_limit, self.on_drain, 'drain_limit_passed'
        )
        await self._run_until(
            self.drain_limit + self.close_limit,
            reversed(self.on_stop),
            'close_limit_passed',
        )
        self.pauses.stop()
        log('stopped')

    def request_stop(self) -> None:
        """Start the shutdown time, unless it has started."""
        if self.stop_requested_at is None:
            self.stop_requested_at = self.clock.monotonic()

    def stopping_for(self) -> timedelta:
        """Return the time since the shutdown was requested."""
        if self.stop_requested_at is None:
            return timedelta()
        return self.clock.monotonic() - self.stop_requested_at

    def not_ready_reasons(self) -> tuple[str, ...]:
        """Return the reason codes if the program is not ready, or ()."""
        reasons = tuple(check() for check in self.readiness)
        draining = ('shutting_down',) if self.draining else ()
        return draining + tuple(reason for reason in reasons if reason)

    def admin_routes(self) -> list[web.RouteDef]:
        """Return the routes for /metrics, /healthz and /readyz."""
        return [
            web.get('/metrics', self._metrics),
            web.get('/healthz', _health),
            web.get('/readyz', self._ready),
        ]

    def run(self) -> None:
        """Run on a uvloop event loop until SIGTERM or SIGINT.

        With a loop of its own, aiomisc would start threads to end its thread
        pool, which no program uses. On a busy host that took up to 0.8 s, and
        the platform kills a process that ends late.
        """
        return_freed_memory()
        loop = InputFirstLoop()
        loop.pauses = self.pauses
        asyncio.set_event_loop(loop)
        service = _LifeCycle(self)
        try:  # noqa: WPS501 - also after a failed start
            with aiomisc.entrypoint(
                service, loop=loop, log_config=False, catch_signals=()
            ):
                loop.run_until_complete(service.run())
        finally:
            _ignore(*_STOP_SIGNALS)
            _close(loop)

    async def _run_until(
        self, limit: timedelta, hooks: Iterable[Hook], event: str
    ) -> None:
        """Run hooks, and log ``event`` if the shutdown takes ``limit``."""
        remaining = limit - self.stopping_for()
        try:
            async with asyncio.timeout(remaining.total_seconds()):
                await _run_all(hooks)
        except TimeoutError:
            log(event)

    async def _metrics(self, _: web.Request) -> web.Response:
        with self.pauses.step('metrics'):
            body = generate_latest(REGISTRY)
        return web.Response(
            body=body, headers={'Content-Type': CONTENT_TYPE_LATEST}
        )

    async def _ready(self, _: web.Request) -> web.Response:
        reasons = self.not_ready_reasons()
        status = _SERVICE_UNAVAILABLE if reasons else web.HTTPOk.status_code
        return web.json_response({'not_ready': reasons}, status=status)


class _LifeCycle(aiomisc.Service):
    def __init__(self, application: Application) -> None:
        super().__init__()
        self.application = application
        self.stopping = asyncio.Event()

    async def start(self) -> None:
        # aiomisc installs its handlers only after the start and removes them
        # before the shutdown; a signal outside that time kills the process.
        # uvloop's add_signal_handler loses a signal between two loop runs.
        for number in _STOP_SIGNALS:
            signal.signal(number, self._request_stop)
        await self.application.start()

    async def run(self) -> None:
        """Wait for a signal and shut down.

        aiomisc would begin the shutdown several runs of the loop later, each
        of which takes long under load.
        """
        await self.stopping.wait()
        await self.application.stop()
        if self.application.ends_process:
            _end_process(self.application.on_exit)

    def _request_stop(self, *_: object) -> None:
        # The shutdown time runs also while the loop is busy.
        self.application.request_stop()
        if not self.loop.is_closed():
            self.loop.call_soon_threadsafe(self.stopping.set)


def _freeze_startup_objects() -> None:
    """Exclude the objects that exist after the start from garbage collection.

    Modules and their tables are most of a daemon's objects, and each full
    collection that traverses them delays the requests in progress. The little
    garbage among them stays, since a collection now would delay the first
    requests.
    """
    gc.freeze()
    gc.enable()


def _end_process(callbacks: Iterable[Callable[[], None]]) -> NoReturn:
    """End the process with exit code 0.

    To free the objects of the interpreter takes a large part of the time that
    the platform leaves a process after its drain.
    """
    for callback in callbacks:
        try:
            callback()
        except Exception as error:  # noqa: BLE001 - the process ends anyway
            log('shutdown_hook_failed', error=repr(error))
    sys.stdout.flush()
    sys.stderr.flush()
    os._exit(0)  # noqa: WPS437 - the only function that skips the clean-up


def _ignore(*numbers: signal.Signals) -> None:
    """Ignore signals while the interpreter ends, when handlers are removed."""
    for number in numbers:
        signal.signal(number, signal.SIG_IGN)


def _close(loop: asyncio.AbstractEventLoop) -> None:
    """Cancel the remaining tasks and close the loop."""
    loop.run_until_complete(_cancel_other_tasks())
    loop.run_until_complete(loop.shutdown_asyncgens())
    loop.close()


async def _cancel_other_tasks() -> None:
    tasks = asyncio.all_tasks() - {asyncio.current_task()}
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def _run_all(hooks: Iterable[Hook]) -> None:
    for hook in hooks:
        try:
            await hook()
        except Exception as error:  # noqa: BLE001 - clean-up continues
            log('shutdown_hook_failed', error=repr(error))


async def serve(
    handler: web.Application,
    host: str,
    port: int,
    shutdown_timeout: timedelta = _SHUTDOWN_TIMEOUT,
    limits: PortLimits | None = None,
) -> web.AppRunner:
    """Serve ``handler`` and return its runner, which the caller cleans up.

    The clean-up waits for requests in progress for up to ``shutdown_timeout``.
    """
    runner = DeliveringRunner(
        handler,
        limits or PortLimits(),
        access_log=None,
        shutdown_timeout=shutdown_timeout.total_seconds(),
    )
    await runner.setup()
    site = web.TCPSite(runner, host, port)
    await site.start()
    limit_site(site)
    return runner


async def _health(_: web.Request) -> web.Response:
    return web.json_response({'status': 'ok'})
