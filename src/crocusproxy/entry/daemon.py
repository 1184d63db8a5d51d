"""The life cycle of an entry instance and its components."""

import asyncio
from datetime import timedelta
from functools import partial
from pathlib import Path
from random import SystemRandom

from aiohttp import ClientSession, TCPConnector

from ..application import Application
from ..clock import SystemClock
from ..documents import read_document
from ..errors import InvalidDocumentError
from ..logs import log
from ..membership.catalog import Catalog
from ..membership.crash_exchange import CrashExchange
from ..membership.domain_homes import DomainHomeTable
from ..membership.home_elector import HomeElector
from ..membership.member_client import MemberClient
from ..membership.member_list import MemberList
from ..membership.quota_exchange import QuotaExchange
from ..membership.terms_exchange import TermsExchange
from ..placement.placer import ServicePlacer
from ..placement.upstream_reach import UpstreamReach
from ..platform.config_completion import ConfigCompletion
from ..platform.directory import DIRECTORY_API
from ..platform.headers import HEADER_NAMES
from ..platform.members import MemberRegistration
from ..platform.relay import StoreRelay
from ..platform.store import StoreClient
from ..proxy.pool import ConnectionPool
from .addresses import find_addresses
from .background_tasks import BackgroundTasks
from .caller_connection import CallerConnection
from .crash_watch import CrashWatch
from .dispatch_role import DispatchRole
from .dispatcher import Dispatcher
from .draining import drain_callers
from .gateway import Gateway
from .home_forwarder import HomeForwarder
from .home_tasks import home_tasks
from .joining import join
from .listeners import AddressList, Listeners
from .metrics import EntryMetrics
from .overflow import OverflowTargets
from .own_member import own_member
from .placement_metrics import PlacementCollector
from .prober import Prober
from .quota_connection import connect_quotas
from .reach_check import ReachCheck, ReachQueries
from .reload_signal import ReloadSignal
from .reloading import reload_settings
from .request_log import RequestLog
from .response_budget import budget_of
from .response_observer import ResponseObserver
from .settings import EntrySettings
from .upstream_call import UpstreamClient
from .upstream_connection import MatchingConnection
from .upstream_messages import UpstreamMessages

PROGRAM = 'crocus-entry'
_STORE_TIMEOUT = timedelta(milliseconds=600)
_CONNECT_TIMEOUT = timedelta(seconds=1)
#: Idle connections to upstreams are closed after this time. Upstreams also
#: close them, after a timeout of their own.
_UPSTREAM_IDLE_LIMIT = timedelta(seconds=8)
_CLOSE_IDLE_INTERVAL_SECONDS = 1.0
_BACKLOG = 512
#: The process exits this long before the platform would kill it.
_KILL_MARGIN = timedelta(milliseconds=300)


class EntryDaemon:
    """Connects the components of one instance and owns its life cycle.

    SIGHUP reloads the settings from ``path``.
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
        self.messages = UpstreamMessages(HEADER_NAMES)
        self.reach = UpstreamReach(self.clock)
        self.catalog.on_upstream.append(self.reach.apply_change)
        self.catalog.on_evacuation.append(self.reach.apply_evacuated)
        self.crash_watch = CrashWatch(self.clock, self.reach)
        self.pool = ConnectionPool(
            _CONNECT_TIMEOUT,
            _UPSTREAM_IDLE_LIMIT,
            on_crash=self.crash_watch.record_crash,
            connection_type=partial(
                MatchingConnection,
                budget=budget_of(self.settings.capacity.memory_mb),
            ),
            source=str(self.settings.source or ''),
        )
        self.observer = ResponseObserver(
            HEADER_NAMES, self.clock, self.catalog.terms
        )
        self.dispatcher = self._create_dispatcher()
        self.gateway = Gateway(
            self.catalog,
            self.dispatcher,
            HEADER_NAMES,
            self.clock,
            self.metrics,
            self.dispatcher.request_log,
        )
        self.quotas = connect_quotas(
            self.settings.bounds,
            self.clock,
            self.metrics,
            self.gateway.request_server,
            self.dispatcher,
        )
        self.listeners = Listeners(
            DIRECTORY_API, self.find_addresses, self.not_ready_reason
        )
        self.member_list = MemberList(own_member(settings, self.clock))
        self.domain_homes = DomainHomeTable()
        self.role = DispatchRole(
            self.domain_homes,
            lambda: self.elector.home,
            lambda: self.member_list.own,
        )
        self.prober = self._create_prober()
        self.tasks = BackgroundTasks()
        self.home_tasks = BackgroundTasks()
        self.probe_tasks = BackgroundTasks()
        self._connect_callbacks()

    async def start(self) -> None:
        """Open the ports and join the other instances."""
        self.loop = asyncio.get_running_loop()
        self.session = ClientSession(connector=TCPConnector(limit=0))
        self.store = StoreClient(
            self.session,
            self.settings.store,
            _STORE_TIMEOUT,
            lambda: self.elector.server.follower_addresses(),
            self.catalog.store_incarnation,
        )
        self.config_completion = ConfigCompletion(
            self.store, self.catalog, self.dispatcher.random
        )
        self._connect_members(MemberClient(self.session))
        self._connect_request_server()
        self._add_gauges()
        await self._open_ports()
        self._start_tasks()
        self.reload_signal.connect(self._request_reload)

    def start_home_tasks(self) -> None:
        """Start the tasks that only the home runs."""
        for task in home_tasks(
            self.store,
            self.elector,
            self.clock,
            self.dispatcher.random,
            self.reach_queries,
        ):
            self.home_tasks.spawn(task)
        self.update_role()

    def stop_home_tasks(self) -> None:
        """Stop the tasks that only the home runs."""
        self.home_tasks.cancel()
        self.update_role()

    def update_role(self) -> None:
        """Dispatch to the owned upstreams; probe them if this is a home."""
        is_dispatcher = self.role.is_dispatcher()
        self.dispatcher.assign_role(self.role, is_exclusive=is_dispatcher)
        self.dispatcher.hand_over()
        self.quota_exchange.set_role(
            is_dispatcher=is_dispatcher, others=self.role.other_domain_homes()
        )
        if not is_dispatcher:
            self.probe_tasks.cancel()
        elif not self.probe_tasks.tasks:
            self.probe_tasks.spawn(
                partial(self.prober.run, self.dispatched_placers)
            )

    def dispatched_placers(self) -> list[ServicePlacer]:
        """Return the placers of the services that are dispatched here."""
        return [
            placer
            for placer in self.dispatcher.placers.values()
            if self.role.dispatches(placer.service)
        ]

    async def drain(self) -> None:
        """Serve until callers have had time to switch to other instances."""
        self.gateway.is_draining = True
        self.elector.leave()
        await drain_callers(
            self.gateway, self.server, self.clock, self.settings.bounds.shutdown
        )

    async def stop(self) -> None:
        """Close everything that was opened."""
        for tasks in (self.tasks, self.home_tasks, self.probe_tasks):
            tasks.cancel()
        await self.listeners.close()
        await self.session.close()
        self.pool.close()

    def reload(self) -> None:
        """Reload the settings; an invalid file changes nothing."""
        try:
            settings = read_document(EntrySettings, Path(self.path))
        except InvalidDocumentError as error:
            faults = '; '.join(str(fault) for fault in error.faults)
            log('settings_rejected', path=self.path, faults=faults)
            return
        reload = reload_settings(self.settings, settings)
        log('settings_reloaded', needs_restart=reload.needs_restart)
        self.settings = reload.settings
        self.store.address = reload.settings.store
        self.dispatcher.hedged_calls.apply_settings(reload.settings.hedging)

    async def find_addresses(self, failure_domain: str) -> AddressList:
        """Return the address for callers of a failure domain."""
        settings = self.settings
        return await find_addresses(
            self.role,
            self.gateway.start_wait,
            failure_domain,
            min(settings.validity, settings.bounds.max_validity),
        )

    def not_ready_reason(self) -> str:
        """Return why the instance is not ready; empty if it is ready."""
        if self.application.draining:
            return 'shutting_down'
        if self.catalog.config is None or not self.catalog.is_complete:
            return 'no_configuration'
        return ''

    def _create_dispatcher(self) -> Dispatcher:
        return Dispatcher(
            UpstreamClient(
                self.pool, self.messages, self.clock, self.observer, self.reach
            ),
            self.settings.instance.failure_domain,
            self.settings.bounds,
            self.clock,
            SystemRandom(),
            self.metrics,
            RequestLog(self.clock),
            self.crash_watch,
            self.catalog.terms,
            self.reach,
        )

    def _connect_members(self, member_client: MemberClient) -> None:
        """Create the components that exchange messages with other members."""
        self.elector = HomeElector(
            member_client,
            self.catalog,
            self.member_list,
            self.clock,
            self.start_home_tasks,
            self.stop_home_tasks,
            self.domain_homes,
            self.reach.unreached_if_doubtful,
        )
        self.reach_check = ReachCheck(
            self.pool,
            self.catalog,
            HEADER_NAMES,
            self.clock,
            self.metrics,
            self.reach,
        )
        self.reach_queries = ReachQueries(
            member_client, self.settings.instance.name, self.reach_check
        )
        self.crash_exchange = CrashExchange(
            member_client, self.elector, self.crash_watch.apply_report
        )
        self.crash_watch.send_report = self.crash_exchange.send
        self.terms_exchange = TermsExchange(
            member_client, self.elector, self.catalog.terms
        )
        self.quota_exchange = QuotaExchange(
            member_client, self.member_list, self.quotas, self.clock
        )

    def _connect_request_server(self) -> None:
        """Let requests be forwarded to the instances that dispatch them."""
        request_server = self.gateway.request_server
        request_server.forwarder = HomeForwarder(
            self.pool,
            self.messages,
            self.clock,
            self.role.forwarding_address,
            self.observer.observe_relayed,
        )
        request_server.overflow_targets = OverflowTargets(
            self.role.other_domain_homes,
            self.dispatcher.random,
            self.role.is_shared,
        )

    def _start_tasks(self) -> None:
        registration = MemberRegistration(
            self.store, self.member_list, self.domain_homes
        )
        control = self.settings.control
        self.tasks.spawn(
            partial(
                join,
                registration,
                self.elector,
                self.settings.seeds,
                f'{control.host}:{control.port}',
                self.clock,
            )
        )
        self.tasks.spawn(self.dispatcher.run_queues)
        self.tasks.spawn(self._close_idle_connections)
        self.tasks.spawn(self.quota_exchange.run)
        self.tasks.spawn(self.config_completion.run)

    def _create_prober(self) -> Prober:
        return Prober(
            self.pool,
            HEADER_NAMES,
            self.clock,
            self.observer,
            lambda: self.dispatcher.last_request_at,
            self.settings.bounds.probes_per_second,
            self.metrics,
            self.reach,
        )

    def _connect_callbacks(self) -> None:
        """Create the application and register the components' callbacks."""
        bounds = self.settings.bounds
        self.application = Application(PROGRAM, bounds.shutdown - _KILL_MARGIN)
        self.application.on_start.append(self.start)
        self.application.on_drain.append(self.drain)
        self.application.on_stop.append(self.stop)
        self.dispatcher.selector.refresh_load = self.prober.refresh_load
        self.dispatcher.hedged_calls.apply_settings(self.settings.hedging)
        self.dispatcher.has_successor = lambda service: bool(
            self.role.forwarding_address(service)
        )
        self.reach.on_end_of_silence.append(self.dispatcher.end_backoffs)
        # An instance without a home is not the only one that dispatches.
        self.dispatcher.set_exclusive(is_exclusive=False)
        self.catalog.on_config.append(self.prober.apply_config)
        self.domain_homes.on_change.append(lambda _: self.update_role())

    def _add_gauges(self) -> None:
        placers = self.dispatcher.placers
        self.metrics.add_gauges(
            in_flight=lambda: self.gateway.in_flight,
            queued=lambda: sum(
                len(placer.queue) for placer in placers.values()
            ),
            config_version=lambda: (
                self.catalog.config.version if self.catalog.config else 0
            ),
            epoch=lambda: self.elector.epoch,
            limited_upstreams=lambda: sum(
                placer.limited_count() for placer in placers.values()
            ),
            unreached_upstreams=lambda: len(self.reach.unreached()),
            evacuated_domains=lambda: len(self.catalog.evacuated),
            cold_upstreams=lambda: sum(
                placer.cold_count() for placer in placers.values()
            ),
        )
        self.metrics.add_completion_gauge(self.config_completion.is_incomplete)
        self.metrics.registry.register(PlacementCollector(placers))

    async def _open_ports(self) -> None:
        settings = self.settings
        relay = StoreRelay(self.session, settings.store, _STORE_TIMEOUT)
        member_routes = self.elector.server.routes()
        await self.listeners.open(settings.directory, settings.readiness)
        await self.listeners.add(
            settings.internal,
            [
                *member_routes,
                *self.crash_exchange.routes(),
                *self.terms_exchange.routes(),
                *self.quota_exchange.routes(),
                *self.reach_check.routes(),
                *relay.routes(),
            ],
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
        # uvloop's add_signal_handler can miss a signal between two runs of the
        # loop, so the handler is set with signal.signal.
        if not self.loop.is_closed():
            self.loop.call_soon_threadsafe(self.reload)

    async def _close_idle_connections(self) -> None:
        while True:
            await asyncio.sleep(_CLOSE_IDLE_INTERVAL_SECONDS)
            self.pool.close_idle()
            now = self.clock.monotonic()
            for connection in tuple(self.gateway.connections):
                connection.enforce_timeouts(now)
