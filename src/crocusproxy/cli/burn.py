"""The ``burn`` command: burn rates and error budgets over all instances."""

from ..burn.rates import SPANS
from ..clock import SystemClock
from ..durations import format_duration
from ..protocol import codec
from ..protocol.burn_client import (
    NOTHING_COUNTED,
    MergedBurn,
    ServiceBurn,
    rate_text,
    read_burn,
)
from .exits import ExitCode
from .output import Result, format_table
from .system import SystemClient


async def burn(system: SystemClient) -> Result:
    """Show burn rates, error budgets and the instances without a response."""
    merged = await read_burn(
        system.session,
        await system.view(),
        await system.document(),
        SystemClock().now(),
    )
    return Result(codec.to_plain(merged), _text(merged), _exit_code(merged))


def _text(merged: MergedBurn) -> str:
    header = (
        'service',
        *(format_duration(span) for span in SPANS),
        'budget left',
        'counted since',
    )
    lines = [
        format_table(header, [_row(service) for service in merged.services])
    ]
    if merged.missing:
        lines.append(f'no response from: {", ".join(merged.missing)}')
    return '\n'.join(lines)


def _row(service_burn: ServiceBurn) -> tuple[str, ...]:
    figures = service_burn.figures
    since = figures.counted_since
    return (
        service_burn.service,
        *(rate_text(rate) for rate in figures.rates),
        f'{figures.budget_left:.1%}' if since else NOTHING_COUNTED,
        since.isoformat(timespec='minutes') if since else NOTHING_COUNTED,
    )


def _exit_code(merged: MergedBurn) -> int:
    """Fail if no instance responded: the figures are then empty."""
    no_responses = merged.missing and not merged.answered
    return ExitCode.not_reachable if no_responses else ExitCode.done
