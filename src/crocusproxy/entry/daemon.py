"""The life cycle of an entry instance and the parts that it runs."""

import asyncio
from collections.abc import Coroutine
from dataclasses import replace
from datetime import timedelta
from pathlib import Path
from random import SystemRandom
from typing import Any

from aiohttp import ClientSession, TCPConnector

from ..application import Application
from ..clock import Clock, SystemClock
from ..documents import read_document
from ..errors import InvalidDocumentError
from ..logs import log
from ..membership.catalog import Catalog
from ..membership.home_elector import HomeElector
from ..membership.member_client import MemberClient
from ..membership.member_list import MemberList
from ..placement.upstream_state import UpstreamState
from ..platform.directory import PATHS
from ..platform.headers import DIALECT
from ..platform.members import MemberRegistration
from ..platform.relay import StoreRelay
from ..platform.store import StoreClient
from ..platform.watch import ConfigWatch, UpstreamWatch
from ..protocol.home_feed import Member
from ..proxy.pool import ConnectionPool
from .caller_connection import CallerConnection
from .crash_watch import CrashWatch
from .dispatcher import Dispatcher
from .gateway import Gateway
from .home_forwarder import HomeForwarder
from .joining import join
from .listeners import AddressList, Listeners
from .metrics import EntryMetrics
from .prober import Prober
from .reload_signal import ReloadSignal
from .request_log import RequestLog
from .settings import EntrySettings
from .upstream_call import UpstreamClient
from .upstream_connection import MatchingConnection
from .upstream_messages import UpstreamMessages

PROGRAM = 'crocus-entry'
_STORE_TIMEOUT = timedelta(milliseconds=600)
_CONNECT_TIMEOUT = timedelta(seconds=1)
#: Upstreams close idle connections after a time of their own.
_IDLE_LIMIT = timedelta(seconds=8)
_SWEEP_SECONDS = 1.0
_BACKLOG = 512
#: The process ends this long before it would be killed.
_KILL_MARGIN = timedelta(milliseconds=300)
#: Share of the time to shut down during which every request is taken, and after
#: which only those that must end before the process does.
_TAKE_ALL = 0.4
#: Seconds before the end of the process at which the last response is due.
_LAST_RESPONSE_MARGIN = 0.5
#: Share of it after which new connections are refused.
_STOP_LISTENING = 0.7
_IDLE_CHECK_SECONDS = 0.02


class EntryDaemon:
    """Opens the ports of one instance and owns its life cycle.

    The settings are read again from ``path`` on SIGHUP.
    """

    def __init__(
        self, settings: EntrySettings, path: str, reload_signal: ReloadSignal
    ) -> None:
        self.settings = settings
        self.path = path
        self.reload_signal = reload_signal
        self.clock = SystemClock()
        self.catalog = Catalog()
        self.metrics = EntryMetrics()
        self.messages = UpstreamMessages(DIALECT)
        self.crash_watch = CrashWatch(self.clock)
        self.pool = ConnectionPool(
            _CONNECT_TIMEOUT,
            _IDLE_LIMIT,
            on_crash=self.crash_watch.crashed,
            connection_type=MatchingConnection,
        )
        self.dispatcher = self._dispatcher()
        self.gateway = Gateway(
            self.catalog,
            self.dispatcher,
            DIALECT,
            self.clock,
            self.metrics,
            self.dispatcher.request_log,
        )
        self.listeners = Listeners(PATHS, self.addresses, self.not_ready)
        self.member_list = MemberList(_member(settings, self.clock))
        self.prober = self._prober()
        self.tasks: list[asyncio.Task[None]] = []
        self.home_tasks: list[asyncio.Task[None]] = []
        self._connect()

    async def start(self) -> None:
        """Join the other instances and open the ports."""
        self.loop = asyncio.get_running_loop()
        self.session = ClientSession(connector=TCPConnector(limit=0))
        self.store = StoreClient(
            self.session,
            self.settings.store,
            _STORE_TIMEOUT,
            lambda: self.elector.follower_addresses(),
        )
        self.elector = HomeElector(
            MemberClient(self.session),
            self.catalog,
            self.member_list,
            self.clock,
            self.start_home_tasks,
            self.stop_home_tasks,
        )
        self.gateway.forwarder = HomeForwarder(
            self.pool, self.messages, self.clock, self.home_address
        )
        self._watch_metrics()
        await self._open_ports()
        announcement = MemberRegistration(self.store, self.member_list)
        self._spawn(join(announcement, self.elector, self.settings.seeds))
        self._spawn(self.dispatcher.run_queues())
        self._spawn(self._sweep())
        self.reload_signal.connect(self._request_reload)

    def start_home_tasks(self) -> None:
        """Read the store and measure the upstreams, as the home does."""
        self.home_tasks = [
            self._spawn(
                ConfigWatch(self.store, self.catalog, self.clock).run()
            ),
            self._spawn(
                UpstreamWatch(self.store, self.catalog, self.clock).run()
            ),
            self._spawn(self.prober.run(self.dispatcher.placers.values)),
        ]

    def stop_home_tasks(self) -> None:
        """Leave reading and measuring to the home."""
        for task in self.home_tasks:
            task.cancel()
        self.home_tasks = []

    async def drain(self) -> None:
        """Serve until callers have had time to use other instances."""
        self.gateway.closing = True
        self.elector.leave()
        limit = self.settings.bounds.shutdown.total_seconds()
        now = self.clock.monotonic().total_seconds()
        ends_at = now + limit - _LAST_RESPONSE_MARGIN
        await asyncio.sleep(limit * _TAKE_ALL)
        self.gateway.ends_at = ends_at
        await asyncio.sleep(limit * (_STOP_LISTENING - _TAKE_ALL))
        self.server.close()
        for connection in tuple(self.gateway.connections):
            connection.close_gracefully()
        log('port_closed', in_flight=self.gateway.in_flight)
        while self.gateway.in_flight:
            await asyncio.sleep(_IDLE_CHECK_SECONDS)

    async def stop(self) -> None:
        """Close everything that was opened."""
        for task in tuple(self.tasks):
            task.cancel()
        await self.listeners.close()
        await self.session.close()
        self.pool.close()

    def addresses(self) -> AddressList:
        """Return where callers should connect."""
        home = self.elector.home
        if home is None or (self.elector.leaving and self.elector.leading):
            home = self.member_list.own
        longest = self.settings.bounds.max_validity
        validity = min(self.settings.validity, longest)
        return AddressList((home.callers,), validity)

    def reload(self) -> None:
        """Read the settings again; an unusable file changes nothing."""
        try:
            settings = read_document(EntrySettings, Path(self.path))
        except InvalidDocumentError as error:
            faults = '; '.join(str(fault) for fault in error.faults)
            log('settings_rejected', path=self.path, faults=faults)
            return
        fixed = replace(
            settings,
            store=self.settings.store,
            seeds=self.settings.seeds,
            validity=self.settings.validity,
            bounds=self.settings.bounds,
        )
        log('settings_reloaded', needs_restart=fixed != self.settings)
        self.settings = settings
        self.dispatcher.bounds = settings.bounds
        self.store.address = settings.store

    def home_address(self) -> str:
        """Return the address of another instance that is home, or nothing."""
        home = self.elector.home
        if home is None or home.name == self.member_list.own.name:
            return ''
        return home.callers

    def not_ready(self) -> str:
        """Return why this instance should get no requests, or nothing."""
        if self.application.draining:
            return 'shutting_down'
        if self.catalog.config is None or not self.catalog.is_complete:
            return 'no_configuration'
        return ''

    def on_load(self, upstream: UpstreamState, text: str) -> None:
        """Take in the load that an upstream has reported."""
        load = DIALECT.parse_load(text)
        if load is not None and load.slowdown is not None:
            upstream.report(
                load.slowdown, self.clock.monotonic().total_seconds()
            )

    def _dispatcher(self) -> Dispatcher:
        return Dispatcher(
            UpstreamClient(self.pool, self.messages, self.clock, self.on_load),
            self.settings.instance.failure_domain,
            self.settings.bounds,
            self.clock,
            SystemRandom(),
            self.metrics,
            RequestLog(self.clock),
            self.crash_watch,
        )

    def _prober(self) -> Prober:
        return Prober(
            self.pool,
            DIALECT,
            self.clock,
            self.on_load,
            lambda: self.dispatcher.last_request_at,
            self.settings.bounds.probes_per_second,
            self.metrics,
        )

    def _connect(self) -> None:
        """Let each part hear of what concerns it."""
        bounds = self.settings.bounds
        self.application = Application(PROGRAM, bounds.shutdown - _KILL_MARGIN)
        self.application.on_start.append(self.start)
        self.application.on_drain.append(self.drain)
        self.application.on_stop.append(self.stop)
        self.dispatcher.refresh = self.prober.refresh
        self.catalog.on_config.append(self.prober.apply_config)

    def _watch_metrics(self) -> None:
        placers = self.dispatcher.placers
        self.metrics.watch(
            lambda: self.gateway.in_flight,
            lambda: sum(len(placer.queue) for placer in placers.values()),
            lambda: self.catalog.config.version if self.catalog.config else 0,
            lambda: self.elector.epoch,
        )

    async def _open_ports(self) -> None:
        settings = self.settings
        relay = StoreRelay(self.session, settings.store, _STORE_TIMEOUT)
        member_routes = self.elector.server.routes()
        await self.listeners.open(settings.directory, settings.readiness)
        await self.listeners.add(
            settings.internal, [*member_routes, *relay.routes()]
        )
        await self.listeners.add(settings.control, member_routes)
        await self.listeners.add(
            settings.metrics, self.application.admin_routes()
        )
        loop = asyncio.get_running_loop()
        self.server = await loop.create_server(
            lambda: CallerConnection(self.gateway, loop),
            settings.callers.host,
            settings.callers.port,
            backlog=_BACKLOG,
        )

    def _request_reload(self) -> None:
        # A handler of the loop can be lost between two runs of it.
        if not self.loop.is_closed():
            self.loop.call_soon_threadsafe(self.reload)

    def _spawn(
        self, coroutine: Coroutine[Any, Any, None]
    ) -> 'asyncio.Task[None]':
        task = asyncio.get_running_loop().create_task(coroutine)
        task.add_done_callback(_log_failure)
        self.tasks.append(task)
        task.add_done_callback(self.tasks.remove)
        return task

    async def _sweep(self) -> None:
        while True:
            await asyncio.sleep(_SWEEP_SECONDS)
            self.pool.close_idle()
            now = self.clock.monotonic()
            for connection in tuple(self.gateway.connections):
                connection.close_if_idle(now)


def _member(settings: EntrySettings, clock: Clock) -> Member:
    capacity = settings.capacity
    return Member(
        settings.instance.name,
        settings.instance.failure_domain,
        f'{settings.internal.host}:{settings.internal.port}',
        f'{settings.callers.host}:{settings.callers.port}',
        round(capacity.cpu_share * capacity.cores, 2),
        round(clock.now().timestamp() * 1000),
    )


def _log_failure(task: 'asyncio.Task[None]') -> None:
    if not task.cancelled() and task.exception() is not None:
        log('task_failed', error=repr(task.exception()))
