"""The daemon ``crocus-proxy``."""

import asyncio
import uuid
from contextlib import suppress
from random import SystemRandom

import fire
from aiohttp import ClientSession, web

from ..application import Application, serve
from ..clock import SystemClock
from ..http_server.server import limit_site
from ..ledger.ledger import Ledger
from ..ledger.results import LedgerSettings
from ..logs import log, start_logging
from ..measurement.renewer import RightsRenewer
from ..measurement.rights import RightsHolder, RightsSettings
from ..platform_client import PlatformClient
from ..protocol.codec import encode
from ..protocol.crashes import CrashReport
from ..protocol.feed import FeedClient
from ..protocol.follow import FeedFollower
from ..settings import load_or_exit
from .burn_summary import BurnSummaryWriter
from .claims import claim_horizon
from .core import ProxyCore
from .crashes import post_report
from .frontend import caller_server
from .metrics import ProxyMetrics
from .probing import ProbeController
from .settings import ProxySettings

_PROGRAM = 'crocus-proxy'
_BACKLOG = 1024
_IDLE_CHECK_SECONDS = 1
#: Time for callers to receive the end of their connections before the process
#: ends.
_CLOSE_SECONDS = 1


class ProxyDaemon:
    """Owns the ports, tasks and life cycle of one proxy process."""

    def __init__(self, settings: ProxySettings) -> None:
        self.settings = settings
        self.clock = SystemClock()
        self.application = Application(_PROGRAM, settings.drain_limit)
        self.burn_writer: BurnSummaryWriter | None = None
        self.probe_controller: ProbeController | None = None
        self.tasks: list[asyncio.Task[None]] = []
        self.metrics = ProxyMetrics(self.clock, settings.instance.name)
        self.application.on_start.append(self.start)
        self.application.on_drain.append(self.drain)
        self.application.on_stop.append(self.stop)

    async def start(self) -> None:
        """Create the components, follow the feeds and open both ports."""
        settings = self.settings
        self.session = ClientSession()
        self.platform = self._new_platform_client()
        self.ledger = self._new_ledger()
        self.core = ProxyCore(
            settings, self.clock, SystemRandom(), self.metrics, self.ledger
        )
        self.follower = FeedFollower(
            tuple(
                FeedClient(self.session, address) for address in settings.feeds
            ),
            self.clock,
        )
        self._connect_feeds()
        if self.platform is not None:
            await self._start_platform_tasks(self.platform)
        await self.follower.start()
        self.tasks.append(asyncio.create_task(self._close_idle_connections()))
        await self._listen()

    async def drain(self) -> None:
        """Stop accepting connections and wait until callers have responses.

        Callers may cache an earlier locate response that lists this instance,
        so the port stays open until such responses have expired.
        """
        self.core.frontend.is_draining = True
        await self.clock.sleep(self.settings.locate_validity)
        await self.server.close_port(self.site)
        log('port_closed', in_flight=self.metrics.in_flight)
        await self.core.frontend.idle.wait()
        await self.server.wait_until_acknowledged()

    async def stop(self) -> None:
        """Stop all tasks and close all ports and connections."""
        await self._close_callers()
        for task in self.tasks:
            task.cancel()
        await self.follower.stop()
        await self._stop_platform_tasks()
        self.core.pool.close()
        await self.session.close()
        await self.admin_runner.cleanup()

    async def _close_callers(self) -> None:
        await self.server.wait_until_read()
        await self.runner.cleanup()
        with suppress(TimeoutError):
            async with asyncio.timeout(_CLOSE_SECONDS):
                await self.server.wait_until_delivered()

    def _connect_feeds(self) -> None:
        self.core.drain_broadcaster.connect(self.session)
        self.core.crash_watch.send_report = self._share_crash_report
        self.core.frontend.not_ready_reason = self.follower.not_ready_reason
        self.application.readiness.append(self.follower.not_ready_reason)
        self.follower.on_document.append(self.core.apply_document)
        self.follower.on_view.append(self.core.apply_view)

    async def _start_platform_tasks(self, platform: PlatformClient) -> None:
        if self.ledger is not None:
            await self.ledger.start()
        self.probe_controller = self._new_probe_controller(platform)
        await self.probe_controller.start()
        self.burn_writer = BurnSummaryWriter(
            self.metrics, platform, self.clock, self.core.random
        )
        self.tasks.append(asyncio.create_task(self.burn_writer.run()))

    async def _stop_platform_tasks(self) -> None:
        if self.probe_controller is not None:
            await self.probe_controller.stop()
        if self.burn_writer is not None:
            await self.burn_writer.finish()
        if self.ledger is not None:
            await self.ledger.stop()

    def _new_platform_client(self) -> PlatformClient | None:
        address = self.settings.platform.address
        return PlatformClient(self.session, address) if address else None

    def _new_ledger(self) -> Ledger | None:
        if self.platform is None:
            return None
        retention = self.settings.platform.retention
        settings = LedgerSettings(retention, claim_horizon(retention))
        return Ledger(self.platform, self.clock, settings)

    def _new_probe_controller(
        self, platform: PlatformClient
    ) -> ProbeController:
        # The name is unique per process: a restarted process must not reuse
        # its predecessor's rights, since it doesn't know when the last probe
        # was sent.
        name = f'{self.settings.instance.name}-{uuid.uuid4().hex}'
        holder = RightsHolder(name, RightsSettings(), self.core.random)
        renewer = RightsRenewer(platform, self.clock, holder)
        controller = ProbeController(self.core, holder, renewer, self.clock)
        self.follower.on_document.append(controller.apply_document)
        return controller

    async def _listen(self) -> None:
        admin = web.Application()
        admin.add_routes(self.application.admin_routes())
        admin.add_routes(
            [
                web.get('/v1/burn', self._get_burn),
                web.post('/v1/drains', self.core.drain_broadcaster.receive),
                web.post('/v1/crashes', self.core.crash_watch.receive),
            ]
        )
        listen = self.settings.admin
        self.admin_runner = await serve(admin, listen.host, listen.port)
        self.server = caller_server(
            self.core.frontend.handle, self.settings.limits
        )
        self.runner = web.ServerRunner(self.server)
        await self.runner.setup()
        listen = self.settings.listen
        self.site = web.TCPSite(
            self.runner, listen.host, listen.port, backlog=_BACKLOG
        )
        await self.site.start()
        limit_site(self.site)
        # With port 0 in the settings, the operating system chooses the ports.
        log(
            'listening',
            port=self.runner.addresses[0][1],
            admin_port=self.admin_runner.addresses[0][1],
        )

    async def _close_idle_connections(self) -> None:
        while True:
            await asyncio.sleep(_IDLE_CHECK_SECONDS)
            self.core.pool.close_idle()

    async def _share_crash_report(
        self, service: str, report: CrashReport
    ) -> None:
        service_config = self.core.reader.services.get(service)
        if service_config is not None:
            homes = self.core.forwarder.other_homes(service_config)
            await post_report(self.session, homes, report)

    async def _get_burn(self, _: web.Request) -> web.Response:
        report = encode(self.metrics.burn_report())
        return web.Response(body=report, content_type='application/json')


def run(settings: str) -> None:
    """Run the proxy with the given settings file until SIGTERM."""
    loaded = load_or_exit(ProxySettings, settings)
    start_logging(_PROGRAM, loaded.instance.name)
    ProxyDaemon(loaded).application.run()


def main() -> None:
    """Run the command line."""
    fire.Fire(run)
