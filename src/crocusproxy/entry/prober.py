"""Load probes for upstreams without a recently reported load."""

import asyncio
from collections.abc import Callable, Iterable
from math import inf

from ..clock import Clock
from ..logs import log
from ..placement.placer import ServicePlacer
from ..placement.upstream_reach import UpstreamReach
from ..placement.upstream_state import UpstreamState
from ..proxy.connection import BrokenResponseError, DeadlineError
from ..proxy.pool import ConnectionPool, NotOpenedError
from ..routes.model import RouteConfig
from .exchange import recorded_in
from .header_names import HeaderNames
from .metrics import EntryMetrics
from .probe_exchange import exchange_probe
from .response_observer import ResponseObserver
from .upstream_connection import MatchingConnection

_CHECK_INTERVAL_SECONDS = 0.02
#: Minimum time between the latest load report or probe of an upstream and the
#: next probe.
PROBE_INTERVAL_SECONDS = 0.3
#: Minimum time between probes of upstreams that may become cold, even if other
#: responses report the load, as only health responses state a warm-up.
WARM_UP_PROBE_INTERVAL_SECONDS = 0.5
#: The minimum while requests are queued and the upstream has a free slot.
QUEUE_PROBE_INTERVAL_SECONDS = 0.05
#: Probes stop when no request has arrived for this time.
MAX_IDLE_SECONDS = 0.5
PROBE_TIMEOUT_SECONDS = 0.25
#: Time that a choice waits for a probe before it uses the latest known load.
MAX_CHOICE_DELAY_SECONDS = 0.006
#: Share of the permitted probe rate that is used.
_RATE_SHARE = 0.5


class Prober:
    """Probes the upstreams that may be chosen next.

    ``observer`` receives each response, ``reach`` whether one arrived.
    ``last_request_at`` returns the monotonic second of the latest request.
    """

    def __init__(
        self,
        pool: ConnectionPool,
        header_names: HeaderNames,
        clock: Clock,
        observer: ResponseObserver,
        last_request_at: Callable[[], float],
        probes_per_second: float,
        metrics: EntryMetrics,
        reach: UpstreamReach,
    ) -> None:
        self.pool = pool
        self.header_names = header_names
        self.clock = clock
        self.observer = observer
        self.last_request_at = last_request_at
        self.metrics = metrics
        self.reach = reach
        rate = max(probes_per_second * _RATE_SHARE, 0.1)
        self.interval = max(PROBE_INTERVAL_SECONDS, 1 / rate)
        self.warm_up_interval = max(WARM_UP_PROBE_INTERVAL_SECONDS, 1 / rate)
        self.queue_interval = max(QUEUE_PROBE_INTERVAL_SECONDS, 1 / rate)
        self.health_paths: dict[str, str] = {}
        self.tasks: dict[str, asyncio.Task[None]] = {}

    def apply_config(self, config: RouteConfig) -> None:
        """Apply the health check paths of the services."""
        self.health_paths = {
            service.name: service.health_path for service in config.services
        }

    async def run(self, placers: Callable[[], Iterable[ServicePlacer]]) -> None:
        """Probe until cancelled."""
        while True:
            await asyncio.sleep(_CHECK_INTERVAL_SECONDS)
            now = self._now()
            if now - self.last_request_at() > MAX_IDLE_SECONDS:
                continue
            for placer in placers():
                path = self.health_paths.get(placer.service)
                if path is not None:
                    self._probe_stale(placer, path, now)

    async def refresh_load(self, service: str, state: UpstreamState) -> None:
        """Probe one upstream and wait briefly for its response."""
        path = self.health_paths.get(service)
        if path is not None:
            task = self.tasks.get(state.key) or self._start_probe(state, path)
            await asyncio.wait((task,), timeout=MAX_CHOICE_DELAY_SECONDS)

    def _probe_stale(
        self, placer: ServicePlacer, path: str, now: float
    ) -> None:
        for state in placer.upstreams.values():
            if (
                state.is_usable
                # A rate limit counts probes too; requests show the load.
                and state.rate_limit is None
                and not state.is_backing_off(now)
                and self._is_stale(placer, state, now)
            ):
                self._start_probe(state, path)

    def _is_stale(
        self, placer: ServicePlacer, state: UpstreamState, now: float
    ) -> bool:
        if state.terms.warm_up.rate:
            if now - state.probed_at >= self.warm_up_interval:
                return True
        interval = self.interval
        if placer.queue and state.has_slot and not state.is_cold:
            interval = self.queue_interval
        return now - max(state.reported_at, state.probed_at) >= interval

    def _start_probe(
        self, state: UpstreamState, path: str
    ) -> 'asyncio.Task[None]':
        state.probed_at = self._now()
        self.metrics.probes.inc()
        if state.rate_limit is not None:
            self.metrics.count_limited_send('probe')
        task = asyncio.create_task(self._probe(state, path))
        self.tasks[state.key] = task
        task.add_done_callback(lambda _: self.tasks.pop(state.key, None))
        return task

    async def _probe(self, state: UpstreamState, path: str) -> None:
        address = state.entry.address
        try:
            connection = await self.pool.take_or_open(
                address, '', PROBE_TIMEOUT_SECONDS
            )
        except NotOpenedError as error:
            self.reach.failed(state.key)
            self._record_failure(state, str(error))
            return
        assert isinstance(connection, MatchingConnection)
        try:
            with recorded_in(self.reach, state.key, connection):
                message = await exchange_probe(
                    connection,
                    state.entry,
                    path,
                    self.header_names,
                    PROBE_TIMEOUT_SECONDS,
                )
        except DeadlineError:
            # A busy upstream may respond late; an idle one has failed.
            if not state.in_flight:
                self.reach.failed(state.key)
                self._record_failure(state, 'no response in time')
        except (BrokenResponseError, OSError) as error:
            self._record_failure(state, str(error))
        else:
            self.observer.observe_probe(state, message)
        finally:
            self.pool.release(address, connection)

    def _record_failure(self, state: UpstreamState, reason: str) -> None:
        state.reported_at = -inf
        state.failed(self._now())
        log('probe_failed', upstream=state.key, reason=reason)

    def _now(self) -> float:
        return self.clock.monotonic().total_seconds()
