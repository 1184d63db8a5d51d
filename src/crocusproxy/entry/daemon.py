"""The life cycle of an entry instance and its components."""

import asyncio
from datetime import timedelta
from functools import partial
from random import SystemRandom

from aiohttp import ClientSession, TCPConnector

from ..clock import SystemClock
from ..event_loop.peer_timeout import own_paused_seconds
from ..http_server.input_limits import input_budget_of, receive_buffers_of
from ..membership.catalog import Catalog
from ..membership.domain_homes import DomainHomeTable
from ..membership.home_elector import HomeElector
from ..membership.member_client import MemberClient
from ..membership.member_list import MemberList
from ..placement.upstream_reach import UpstreamReach
from ..platform.config_completion import ConfigCompletion
from ..platform.directory import DIRECTORY_API
from ..platform.headers import HEADER_NAMES
from ..platform.members import MemberRegistration
from ..platform.relay import StoreRelay
from ..platform.store import StoreClient
from .addresses import find_addresses
from .background_tasks import BackgroundTasks
from .caller_port import open_caller_port
from .crash_watch import CrashWatch
from .dispatch_role import DispatchRole
from .dispatcher import Dispatcher
from .draining import drain_callers, refuse_remaining
from .entry_gauges import add_gauges
from .forwarding_connection import connect_forwarding
from .gateway import Gateway
from .home_tasks import home_tasks
from .joining import join
from .listeners import AddressList, Listeners
from .member_exchanges import connect_members
from .metrics import EntryMetrics
from .own_member import own_member
from .prober import Prober
from .process_end import create_application
from .quota_connection import connect_quotas
from .reach_check import ReachCheck
from .reload_signal import ReloadSignal
from .reloading import reload_from_file
from .remaining_connections import RemainingConnections
from .request_log import RequestLog
from .response_observer import ResponseObserver
from .role_tasks import RoleTasks
from .settings import EntrySettings
from .standby_reader import StandbyReader, follow_directly
from .unread_responses import budget_of as unread_budget_of
from .upstream_call import UpstreamClient
from .upstream_messages import UpstreamMessages
from .upstream_pool import create_pool

_STORE_TIMEOUT = timedelta(milliseconds=600)
_CLOSE_IDLE_INTERVAL_SECONDS = 1.0
#: Shares of the descriptors that other instances may take.
_INTERNAL_SHARE = 0.15
_CONTROL_SHARE = 0.06


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
        self.remaining_connections = RemainingConnections()
        self.application = create_application(
            settings.bounds.shutdown, self.clock
        )
        self._add_hooks()
        self.catalog = Catalog()
        self.catalog.step = self.application.pauses.step
        self.metrics = EntryMetrics()
        self.messages = UpstreamMessages(HEADER_NAMES)
        self.reach = UpstreamReach(
            self.clock, paused_seconds=own_paused_seconds
        )
        self.catalog.on_upstream.append(self.reach.apply_change)
        self.catalog.on_evacuation.append(self.reach.apply_evacuated)
        self.crash_watch = CrashWatch(self.clock, self.reach)
        self.pool = create_pool(settings, self.crash_watch.record_crash)
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
        memory_mb = settings.capacity.memory_mb
        self.gateway.unread_responses = unread_budget_of(memory_mb)
        self.gateway.input_budget = input_budget_of(memory_mb)
        self.gateway.receive_buffers = receive_buffers_of(memory_mb)
        self.quotas = connect_quotas(
            self.settings.bounds,
            self.clock,
            self.metrics,
            self.gateway.request_server,
            self.dispatcher,
        )
        self.listeners = Listeners(
            DIRECTORY_API,
            self.find_addresses,
            self.not_ready_reason,
            self.gateway.input_budget,
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
        self.role_tasks = RoleTasks(self.role, self.dispatcher, self.prober)
        self._connect_callbacks()

    async def start(self) -> None:
        """Open the ports and join the other instances."""
        self.loop = asyncio.get_running_loop()
        self.session = ClientSession(connector=TCPConnector(limit=0))
        self.store = StoreClient(
            self.session,
            self.settings.store,
            _STORE_TIMEOUT,
            lambda: self.elector.server.relay_addresses(),
            self.catalog.store_incarnation,
            self.clock,
        )
        self.config_completion = ConfigCompletion(
            self.store, self.catalog, self.dispatcher.random
        )
        self._connect_members(MemberClient(self.session))
        connect_forwarding(
            self.gateway.request_server,
            self.pool,
            self.messages,
            self.clock,
            self.role,
            self.observer,
            self.dispatcher.random,
            self.catalog,
        )
        add_gauges(
            self.metrics,
            self.gateway,
            self.dispatcher.placers,
            self.elector,
            self.reach,
        )
        self.metrics.add_completion_gauge(self.config_completion.is_incomplete)
        await self._open_ports()
        self._start_tasks()
        self.reload_signal.connect(self._request_reload)

    async def drain(self) -> None:
        """Serve until callers have had time to switch to other instances."""
        self.gateway.is_draining = True
        self.elector.leave()
        self.tasks.spawn(self.elector.announce_departure)
        await drain_callers(
            self.gateway,
            self.server,
            self.clock,
            self.settings.bounds.shutdown - self.application.stopping_for(),
        )

    async def stop(self) -> None:
        """Close everything that was opened.

        Connections to upstreams close last: otherwise requests at work there
        would get a response of this instance.
        """
        self.reload_signal.disconnect()
        await refuse_remaining(self.gateway)
        self.remaining_connections.record(self.gateway.connections)
        self.tasks.cancel()
        self.role_tasks.cancel()
        await asyncio.gather(self.listeners.close(), self.session.close())
        self.pool.close()

    def reload(self) -> None:
        """Reload the settings; an invalid file changes nothing."""
        with self.application.pauses.step('reload'):
            self.settings = reload_from_file(self.settings, self.path)
        self.store.address = self.settings.store
        self.dispatcher.hedged_calls.apply_settings(self.settings.hedging)

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
            self.role_tasks.start_home_tasks,
            self.role_tasks.stop_home_tasks,
            self.domain_homes,
            self.reach.unreached_if_doubtful,
        )
        reach_check = ReachCheck(
            self.pool,
            self.catalog,
            HEADER_NAMES,
            self.clock,
            self.metrics,
            self.reach,
        )
        self.exchanges = connect_members(
            member_client,
            self.elector,
            self.member_list,
            self.domain_homes,
            reach_check,
            self.crash_watch,
            self.catalog,
            self.quotas,
            self.clock,
        )
        self.role_tasks.connect(
            self.exchanges.quotas,
            partial(
                home_tasks,
                self.store,
                self.elector,
                self.clock,
                self.dispatcher.random,
                self.exchanges.reach_queries,
                self.settings.bounds.upstream_heartbeat,
            ),
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
        self.tasks.spawn(self.exchanges.quotas.run)
        self.tasks.spawn(self.config_completion.run)
        self.tasks.spawn(
            StandbyReader(
                self.elector,
                self.clock,
                partial(
                    follow_directly,
                    self.store,
                    self.catalog,
                    self.clock,
                    self.dispatcher.random,
                ),
                own_paused_seconds,
            ).run
        )

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

    def _add_hooks(self) -> None:
        self.application.on_start.append(self.start)
        self.application.on_drain.append(self.drain)
        self.application.on_stop.append(self.stop)
        self.application.on_exit.append(self.remaining_connections.leave)

    def _connect_callbacks(self) -> None:
        """Register the callbacks of the components."""
        self.dispatcher.selector.refresh_load = self.prober.refresh_load
        self.dispatcher.hedged_calls.apply_settings(self.settings.hedging)
        self.dispatcher.has_successor = lambda service: bool(
            self.role.forwarding_address(service)
        )
        self.reach.on_end_of_silence.append(self.dispatcher.end_backoffs)
        # An instance without a home is not the only one that dispatches.
        self.dispatcher.set_exclusive(is_exclusive=False)
        self.catalog.on_config.append(self.prober.apply_config)
        self.domain_homes.on_change.append(
            lambda _: self.role_tasks.update_role()
        )

    async def _open_ports(self) -> None:
        settings = self.settings
        relay = StoreRelay(self.session, settings.store, _STORE_TIMEOUT)
        member_routes = self.elector.server.routes()
        await self.listeners.open(settings.directory, settings.readiness)
        for listen, routes, share in (
            (
                settings.internal,
                [*self.exchanges.routes(), *relay.routes()],
                _INTERNAL_SHARE,
            ),
            (settings.control, [], _CONTROL_SHARE),
        ):
            await self.listeners.add(listen, [*member_routes, *routes], share)
        await self.listeners.add(
            settings.metrics, self.application.admin_routes()
        )
        self.server = await open_caller_port(self.gateway, settings.callers)

    def _request_reload(self) -> None:
        # uvloop's add_signal_handler can miss a signal between two runs of the
        # loop, so the handler is set with signal.signal.
        if not self.loop.is_closed():
            self.loop.call_soon_threadsafe(self.reload)

    async def _close_idle_connections(self) -> None:
        while True:
            await asyncio.sleep(_CLOSE_IDLE_INTERVAL_SECONDS)
            self.pool.close_idle()
            await self.gateway.enforce_timeouts()
