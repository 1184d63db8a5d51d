"""Sends probes to upstreams; each is checked immediately before its send."""

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
# Names the service to the request class; it is removed before the send.
_SERVICE = 'Crocus-Probed-Service'
_LONGEST_LINE = 512
_MOST_HEADERS = 16
_MOST_PROBES_CHARGED = _LONGEST_LINE * _MOST_HEADERS // PROBE_BYTES
_REQUEST_BYTES = 256

Plan = Callable[[], Iterable[Upstream]]
ReportListener = Callable[[Upstream, ReportedLoad, timedelta], None]


class ProbeNotAllowedError(CrocusError):
    """No right permits a probe at this moment."""

    code = 'probe_not_allowed'


class _CheckedRequest(ClientRequest):
    """Asks for permission after connecting, right before the send."""

    prober: 'ClassVar[Prober]'

    async def send(self, conn: Connection) -> ClientResponse:
        service = self.headers.pop(_SERVICE)
        if not self.prober.may_probe(service):
            raise ProbeNotAllowedError(f'no right for {service}')
        return await super().send(conn)


class Prober:
    """Probes the upstreams that ``plan`` names, as far as rights permit.

    ``plan`` returns the upstreams of all services, the most useful of each
    first. ``on_report`` receives each report and when it arrived.
    """

    def __init__(
        self,
        holder: RightsHolder,
        clock: Clock,
        plan: Plan,
        on_report: ReportListener,
        interval: timedelta = timedelta(milliseconds=100),
    ) -> None:
        self.holder = holder
        self.clock = clock
        self.plan = plan
        self.on_report = on_report
        self.interval = interval
        self.session: ClientSession | None = None
        self.running: set[str] = set()
        self.tasks: set[asyncio.Task[Any]] = set()

    async def start(self) -> None:
        """Open the session and start to probe."""
        self.session = ClientSession(
            # A connection per probe leaves no late data behind.
            connector=TCPConnector(force_close=True),
            request_class=self._request_class(),
            timeout=_TIMEOUT,
            max_line_size=_LONGEST_LINE,
            max_field_size=_LONGEST_LINE,
            max_headers=_MOST_HEADERS,
            read_bufsize=_LONGEST_LINE,
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
        """Send one probe; None if it was not allowed or gave no report."""
        if self.session is None:
            return None
        try:
            async with self.session.get(
                f'http://{upstream.address}/load',
                headers={_SERVICE: upstream.service},
                allow_redirects=False,
            ) as response:
                extra = _size(response) // PROBE_BYTES
                self.holder.charge(upstream.service, extra)
                return parse_load(response.headers.get(HEADER, ''))
        except (ProbeNotAllowedError, TimeoutError):
            return None
        except ClientResponseError:
            # A response beyond the limits above; how large is not known.
            self.holder.charge(upstream.service, _MOST_PROBES_CHARGED)
            return None
        except ClientError:
            return None

    def may_probe(self, service: str) -> bool:
        """Spend one probe of a right, if one is due at this moment."""
        return self.holder.may_probe(service, self.clock.monotonic())

    def _request_class(self) -> type[ClientRequest]:
        return type('_Request', (_CheckedRequest,), {'prober': self})

    async def _run(self) -> None:
        while True:
            for upstream in self.plan():
                service = upstream.service
                if upstream.key not in self.running and (
                    self.holder.could_probe(service, self.clock.monotonic())
                ):
                    self.running.add(upstream.key)
                    self._spawn(self._probe_and_report(upstream))
            await self.clock.sleep(self.interval)

    async def _probe_and_report(self, upstream: Upstream) -> None:
        report = await self.probe(upstream)
        self.running.discard(upstream.key)
        if report:
            self.on_report(upstream, report, self.clock.monotonic())

    def _spawn(self, work: Any) -> None:
        task = asyncio.create_task(work)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)


def _size(response: ClientResponse) -> int:
    head = sum(len(name) + len(text) for name, text in response.raw_headers)
    body = response.content_length
    if body is None:
        body = PROBE_BYTES  # chunked: its size is not known
    return _REQUEST_BYTES + head + body
