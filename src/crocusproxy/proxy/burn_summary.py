"""Appends request counts per minute to the platform stream ``burn``.

Readers compute burn rates from the counts of good and bad requests: the rates
at which services use up the error budgets of their objectives.
"""

from collections.abc import Iterable
from dataclasses import replace
from datetime import datetime
from random import Random
from typing import Any, Protocol

from ..burn.windows import WINDOW, WindowCounts
from ..clock import Clock
from ..errors import AppendRejectedError, AppendUnknownError, CrocusError
from ..logs import log
from ..protocol import codec
from ..protocol.burn import BurnReport
from .metrics import ProxyMetrics

_STREAM = 'burn'


class StreamAppender(Protocol):
    """Appends records to a stream of the platform."""

    async def append(self, stream: str, data: dict[str, Any]) -> int:
        """Append one record and return its offset."""


class BurnSummaryWriter:
    """Writes the counts of each window at most once.

    An append with an unknown result is not retried, because readers would
    count its windows twice. After a definite failure, the windows are
    included in the next summary, unless the platform rejected the summary: one
    that contains them would be rejected again. Windows that start at or before
    ``written_until`` are not written again.
    """

    def __init__(
        self,
        metrics: ProxyMetrics,
        platform: StreamAppender,
        clock: Clock,
        random: Random,
    ) -> None:
        self.metrics = metrics
        self.platform = platform
        self.clock = clock
        self.random = random
        self.written_until: datetime = metrics.started_at - WINDOW

    async def run(self) -> None:
        """Write a summary each minute until cancelled."""
        # The random delay spreads instances that started at the same time.
        await self.clock.sleep(self.random.random() * WINDOW)
        while True:
            await self.clock.sleep(WINDOW)
            await self.write(self.clock.now())

    async def finish(self) -> None:
        """Write all unwritten windows, including the current one."""
        await self.write(self.clock.now() + WINDOW)

    async def write(self, now: datetime) -> None:
        """Write the windows that have ended by ``now``."""
        until = now - WINDOW
        report = self.metrics.burn_report()
        services = {
            name: self._unwritten(counts, until)
            for name, counts in report.services.items()
        }
        services = {
            name: windows for name, windows in services.items() if windows
        }
        if services and not await self._append(
            replace(report, services=services)
        ):
            return
        self.written_until = until

    async def _append(self, report: BurnReport) -> bool:
        try:
            await self.platform.append(_STREAM, codec.to_plain(report))
        except AppendUnknownError as error:
            log('burn_summary_unknown', error=str(error))
        except AppendRejectedError as error:
            log('burn_summary_rejected', error=str(error))
        except CrocusError as error:
            log('burn_summary_not_written', error=str(error))
            return False
        return True

    def _unwritten(
        self, counts: Iterable[WindowCounts], until: datetime
    ) -> tuple[WindowCounts, ...]:
        return tuple(
            entry
            for entry in counts
            if entry.length == WINDOW
            and self.written_until < entry.start <= until
        )
