"""Sends probes to upstreams; checks each immediately before its send."""

import asyncio
from collections.abc import Callable, Iterable
from datetime import timedelta
from typing import Any, ClassVar

from aiohttp import (
    ClientError,
    ClientRequest,
    ClientResponse,
    ClientResponseError,
    ClientSession,
    ClientTimeout,
    TCPConnector,
)
from aiohttp.connector import Connection

from ..clock import Clock
from ..config.model import Upstream
from ..errors import CrocusError
from .budget import PROBE_BYTES
from .load_report import HEADER, ReportedLoad, parse_load
from .rights import RightsHolder

_TIMEOUT = ClientTimeout(total=0.25)
# Passes the service to the request class; removed before the send.
_SERVICE_HEADER = 'Crocus-Probed-Service'
_MAX_LINE_BYTES = 512
_MAX_HEADERS = 16
# Number of probes charged for a response over the limits, in addition to the
# probe itself.
_OVERSIZED_RESPONSE_PROBES = _MAX_LINE_BYTES * _MAX_HEADERS // PROBE_BYTES
# Counted for the request of a probe, in addition to its response.
_REQUEST_BYTES = 256

ProbePlan = Callable[[], Iterable[Upstream]]
ReportListener = Callable[[Upstream, ReportedLoad, timedelta], None]


class ProbeNotAllowedError(CrocusError):
    """No right permits a probe at this moment."""

    code = 'probe_not_allowed'


class _CheckedRequest(ClientRequest):
    """Checks for a right after connecting, immediately before the send."""

    prober: 'ClassVar[Prober]'

    async def send(self, conn: Connection) -> ClientResponse:
        service = self.headers.pop(_SERVICE_HEADER)
        if not self.prober.spend_probe(service):
            raise ProbeNotAllowedError(
                f'no right permits a probe of service {service}'
            )
        return await super().send(conn)


class Prober:
    """Probes the upstreams that ``plan`` returns, as far as rights permit.

    ``plan`` returns upstreams of all services, the most useful of each service
    first; it is called once per ``interval``. ``on_report`` receives each
    report with its arrival time.
    """

    def __init__(
        self,
        holder: RightsHolder,
        clock: Clock,
        plan: ProbePlan,
        on_report: ReportListener,
        interval: timedelta = timedelta(milliseconds=100),
    ) -> None:
        self.holder = holder
        self.clock = clock
        self.plan = plan
        self.on_report = on_report
        self.interval = interval
        self.session: ClientSession | None = None
        self.in_progress: set[str] = set()
        self.tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        """Open the session and start probing."""
        self.session = ClientSession(
            # With a new connection per probe, late data of one probe cannot be
            # read as the response to another.
            connector=TCPConnector(force_close=True),
            request_class=self._request_class(),
            timeout=_TIMEOUT,
            max_line_size=_MAX_LINE_BYTES,
            max_field_size=_MAX_LINE_BYTES,
            max_headers=_MAX_HEADERS,
            read_bufsize=_MAX_LINE_BYTES,
        )
        self._spawn(self._run())

    async def stop(self) -> None:
        """Cancel the probes in progress and close the session."""
        for task in tuple(self.tasks):
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)
        if self.session:
            await self.session.close()

    async def probe(self, upstream: Upstream) -> ReportedLoad | None:
        """Send one probe; return None if not allowed or without a report."""
        if self.session is None:
            return None
        try:
            async with self.session.get(
                f'http://{upstream.address}/load',
                headers={_SERVICE_HEADER: upstream.service},
                allow_redirects=False,
            ) as response:
                extra = _exchange_bytes(response) // PROBE_BYTES
                self.holder.charge(upstream.service, extra)
                return parse_load(response.headers.get(HEADER, ''))
        except (ProbeNotAllowedError, TimeoutError):
            return None
        except ClientResponseError:
            # The response exceeds the session limits; its size is unknown.
            self.holder.charge(upstream.service, _OVERSIZED_RESPONSE_PROBES)
            return None
        except ClientError:
            return None

    def spend_probe(self, service: str) -> bool:
        """Spend one probe of a right; return False if none is due now."""
        return self.holder.spend_probe(service, self.clock.monotonic())

    def _request_class(self) -> type[ClientRequest]:
        return type('_Request', (_CheckedRequest,), {'prober': self})

    async def _run(self) -> None:
        while True:
            for upstream in self.plan():
                service = upstream.service
                if upstream.key not in self.in_progress and (
                    self.holder.can_probe(service, self.clock.monotonic())
                ):
                    self.in_progress.add(upstream.key)
                    self._spawn(self._probe_and_report(upstream))
            await self.clock.sleep(self.interval)

    async def _probe_and_report(self, upstream: Upstream) -> None:
        report = await self.probe(upstream)
        self.in_progress.discard(upstream.key)
        if report:
            self.on_report(upstream, report, self.clock.monotonic())

    def _spawn(self, coroutine: Any) -> None:
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


def _exchange_bytes(response: ClientResponse) -> int:
    header_bytes = sum(
        len(name) + len(text) for name, text in response.raw_headers
    )
    body_bytes = response.content_length
    if body_bytes is None:
        body_bytes = PROBE_BYTES  # chunked, size unknown
    return _REQUEST_BYTES + header_bytes + body_bytes
