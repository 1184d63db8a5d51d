"""The command ``burn``: the merged service-level burn of all instances."""

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
from .output import Result, table
from .system import System


async def burn(system: System) -> Result:
    """Show burn rates and error budgets, and who did not answer."""
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
    lines = [table(header, [_row(one) for one in merged.services])]
    if merged.missing:
        lines.append(f'no answer from: {", ".join(merged.missing)}')
    return '\n'.join(lines)


def _row(one: ServiceBurn) -> tuple[str, ...]:
    figures = one.figures
    since = figures.counted_since
    return (
        one.service,
        *(rate_text(rate) for rate in figures.rates),
        f'{figures.budget_left:.1%}' if since else NOTHING_COUNTED,
        since.isoformat(timespec='minutes') if since else NOTHING_COUNTED,
    )


def _exit_code(merged: MergedBurn) -> int:
    """Fail if nobody answered: the figures then say nothing."""
    nobody = merged.missing and not merged.answered
    return ExitCode.not_reachable if nobody else ExitCode.done
