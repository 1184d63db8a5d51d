"""Pages that show past submissions and the service-level burn."""

import math
from dataclasses import dataclass

from aiohttp import web

from ..burn.rates import BurnRate
from ..config.history import verdict_text
from ..durations import format_duration
from ..errors import CrocusError
from ..protocol.burn_client import ServiceBurn, rate_text, read_burn
from .console import Console

#: Chart units per burn rate of 1, and the longest bar.
RATE_UNITS = 40
MAX_BAR = 200


@dataclass(frozen=True, slots=True)
class BurnLine:
    """One row and bar of a service's chart."""

    window: str
    good: int
    bad: int
    rate: str
    bar: float


@dataclass(frozen=True, slots=True)
class ServiceReport:
    """The texts of one service on the burn page."""

    service: str
    lines: tuple[BurnLine, ...]
    budget_left: str
    counted_since: str


class ReportPages:
    """History and burn."""

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
            await self.console.desk.current()
        except CrocusError as error:
            problem = str(error)
        entries = self.console.log.entries()
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
        """Show the burn of every service, and who did not answer."""
        follower = self.console.follower
        merged = await read_burn(
            self.console.session,
            follower.view,
            follower.document,
            self.console.clock.now(),
        )
        return self.console.page(
            request,
            'burn.html',
            missing=merged.missing,
            answered=merged.answered,
            reports=[report_of(one) for one in merged.services],
            rate_units=RATE_UNITS,
        )


def report_of(burn: ServiceBurn) -> ServiceReport:
    """Write the figures of one service as texts."""
    since = burn.figures.counted_since
    return ServiceReport(
        service=burn.service,
        lines=tuple(_line(rate) for rate in burn.figures.rates),
        budget_left=f'{burn.figures.budget_left:.1%}' if since else '',
        counted_since=since.strftime('%Y-%m-%d %H:%M UTC') if since else '',
    )


def _line(rate: BurnRate) -> BurnLine:
    bar = MAX_BAR if math.isinf(rate.rate) else rate.rate * RATE_UNITS
    return BurnLine(
        window=format_duration(rate.span),
        good=rate.good,
        bad=rate.bad,
        rate=rate_text(rate),
        bar=round(min(bar, MAX_BAR), 1),
    )
