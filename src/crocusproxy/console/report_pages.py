"""Pages that show past submissions, burn rates and error budgets."""

import math
from dataclasses import dataclass

from aiohttp import web

from ..burn.rates import BurnRate
from ..config.history import verdict_text
from ..durations import format_duration
from ..errors import CrocusError
from ..protocol.burn_client import ServiceBurn, rate_text, read_burn
from .console import Console

#: Length of the bar for a burn rate of 1 and of the longest bar, in SVG units.
UNITS_PER_RATE = 40
MAX_BAR_LENGTH = 200


@dataclass(frozen=True, slots=True)
class BurnRow:
    """One row of the table of a service, with its bar in the chart."""

    span: str
    good: int
    bad: int
    rate: str
    bar_length: float


@dataclass(frozen=True, slots=True)
class ServiceReport:
    """The figures of one service on the burn page, as texts."""

    service: str
    rows: tuple[BurnRow, ...]
    budget_left: str
    counted_since: str


class ReportPages:
    """The history page and the burn page."""

    def __init__(self, console: Console) -> None:
        self.console = console

    def routes(self) -> list[web.RouteDef]:
        """Return the routes of these pages."""
        return [
            web.get('/history', self.history),
            web.get('/burn', self.burn),
        ]

    async def history(self, request: web.Request) -> web.StreamResponse:
        """Show the newest submissions with their verdicts."""
        problem = ''
        try:
            # Adds the new submissions to the log.
            await self.console.change_publisher.current_document()
        except CrocusError as error:
            problem = str(error)
        entries = self.console.submission_log.entries()
        return self.console.page(
            request,
            'history.html',
            problem=problem,
            lines=[
                (entry, verdict_text(entry.verdict))
                for entry in reversed(entries)
            ],
        )

    async def burn(self, request: web.Request) -> web.StreamResponse:
        """Show burn rates and the instances without a response."""
        follower = self.console.follower
        merged = await read_burn(
            self.console.http_session,
            follower.view,
            follower.document,
            self.console.clock.now(),
        )
        return self.console.page(
            request,
            'burn.html',
            missing=merged.missing,
            answered=merged.answered,
            reports=[service_report(service) for service in merged.services],
            units_per_rate=UNITS_PER_RATE,
        )


def service_report(burn: ServiceBurn) -> ServiceReport:
    """Format the figures of one service."""
    since = burn.figures.counted_since
    return ServiceReport(
        service=burn.service,
        rows=tuple(_burn_row(rate) for rate in burn.figures.rates),
        budget_left=f'{burn.figures.budget_left:.1%}' if since else '',
        counted_since=since.strftime('%Y-%m-%d %H:%M UTC') if since else '',
    )


def _burn_row(rate: BurnRate) -> BurnRow:
    bar_length = (
        MAX_BAR_LENGTH if math.isinf(rate.rate) else rate.rate * UNITS_PER_RATE
    )
    return BurnRow(
        span=format_duration(rate.span),
        good=rate.good,
        bad=rate.bad,
        rate=rate_text(rate),
        bar_length=round(min(bar_length, MAX_BAR_LENGTH), 1),
    )
