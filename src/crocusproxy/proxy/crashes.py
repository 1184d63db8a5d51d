"""Detects crashes of upstreams and reports them to the other homes.

A request in flight during a crash is a suspect until an upstream answers it. If
it is also in flight when a second upstream crashes, the suspect is confirmed,
and requests with the same fingerprint are refused for a limited time.
"""

import asyncio
from collections.abc import Awaitable, Callable

from aiohttp import ClientError, ClientSession, ClientTimeout, web

from ..clock import Clock
from ..config.model import Document
from ..logs import log
from ..membership.view import Instance
from ..protocol.codec import MalformedMessageError, decode, encode
from ..protocol.crashes import CrashReport
from ..routing.crash import CrashSuspects, latest_ages, reported_crash
from .inbound import InboundRequest
from .problems import RefusalError

_SEND_TIMEOUT = ClientTimeout(total=1)

#: Sends a report to the other homes of a service.
ReportSender = Callable[[str, CrashReport], Awaitable[None]]


class CrashWatch:
    """Refuses requests that have crashed two upstreams.

    ``send_report``, if set, sends each detected crash to the other homes.
    """

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self.tracker = CrashSuspects()
        self.send_report: ReportSender | None = None
        self.document = Document()
        self.tasks: set[asyncio.Task[None]] = set()

    def check(self, inbound: InboundRequest) -> None:
        """Raise RefusalError for a request that crashes upstreams."""
        now = self.clock.monotonic()
        self.tracker.expire(now)
        if not self.tracker.confirmed_until:
            return
        remaining = self.tracker.refused_for(inbound.fingerprint(), now)
        if remaining:
            raise RefusalError('request_suspected', retry_after=remaining)

    def fingerprint(self, inbound: InboundRequest) -> str:
        """Return the fingerprint of a request, or '' without any suspects.

        It hashes the body, so it is computed only when it is needed.
        """
        self.tracker.expire(self.clock.monotonic())
        return inbound.fingerprint() if self.tracker.suspects else ''

    def record_answered(self, inbound: InboundRequest) -> None:
        """Stop suspecting a request whose complete response has arrived."""
        self.tracker.expire(self.clock.monotonic())
        if self.tracker.suspects or self.tracker.confirmed_until:
            self.tracker.answered(inbound.fingerprint())

    def report_crash(
        self, address: str, inbounds: tuple[InboundRequest, ...]
    ) -> None:
        """Apply a crash and report it to the other homes.

        ``inbounds`` are the requests that were in flight at ``address``.
        """
        service = inbounds[0].service
        now = self.clock.monotonic()
        ages = latest_ages(
            ((inbound.fingerprint(), inbound.sent_at) for inbound in inbounds),
            now,
        )
        report = CrashReport(
            self._upstream_key(service, address),
            tuple(ages.keys()),
            tuple(ages.values()),
        )
        self.apply_report(report)
        if self.send_report is not None:
            task = asyncio.ensure_future(self.send_report(service, report))
            self.tasks.add(task)
            task.add_done_callback(self.tasks.discard)

    def apply_report(self, report: CrashReport) -> None:
        """Apply a crash that this or another instance has detected."""
        now = self.clock.monotonic()
        crash = reported_crash(
            report.upstream, report.fingerprints, report.ages, now
        )
        confirmed = self.tracker.crashed(crash)
        log(
            'upstream_crashed',
            upstream=report.upstream,
            in_flight=len(report.fingerprints),
            confirmed=sorted(confirmed),
        )

    async def receive(self, request: web.Request) -> web.Response:
        """Serve ``POST /v1/crashes``."""
        try:
            report = decode(CrashReport, await request.read())
        except MalformedMessageError as error:
            raise web.HTTPBadRequest(text=str(error)) from error
        self.apply_report(report)
        return web.Response(status=web.HTTPNoContent.status_code)

    def _upstream_key(self, service: str, address: str) -> str:
        for upstream in self.document.upstreams_of(service):
            if upstream.address == address:
                return upstream.key
        # The upstream is no longer in the configuration.
        return f'{service}/{address}'


async def post_report(
    session: ClientSession, homes: tuple[Instance, ...], report: CrashReport
) -> None:
    """Send a crash report to each home once; failures are only logged."""
    body = encode(report)
    for home in homes:
        url = f'http://{home.proxy_admin}/v1/crashes'
        try:
            response = await session.post(url, data=body, timeout=_SEND_TIMEOUT)
        except (ClientError, TimeoutError) as error:
            log('crash_not_shared', home=home.name, error=repr(error))
        else:
            response.release()
