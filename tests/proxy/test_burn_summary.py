"""Guards against burn windows that are lost or counted twice."""

from datetime import timedelta
from random import Random

from prometheus_client import CollectorRegistry

from crocusproxy.burn.windows import WINDOW
from crocusproxy.clock import ManualClock
from crocusproxy.config.model import Service
from crocusproxy.errors import (
    AppendRejectedError,
    AppendUnknownError,
    PlatformUnavailableError,
)
from crocusproxy.proxy.burn_summary import BurnSummaryWriter
from crocusproxy.proxy.metrics import ProxyMetrics


class Platform:
    def __init__(self):
        self.records = []
        self.error = None

    async def append(self, stream, record):
        if isinstance(self.error, AppendUnknownError) or not self.error:
            self.records.append(record)
        if self.error:
            raise self.error

    def good_counts(self):
        return [
            entry['good']
            for record in self.records
            for entry in record['services']['s']
        ]


async def test_each_window_is_written_once_despite_append_failures():
    clock, platform = ManualClock(), Platform()
    metrics = ProxyMetrics(clock, 'i1', CollectorRegistry())
    writer = BurnSummaryWriter(metrics, platform, clock, Random(1))

    async def minute(good, error=None):
        for _ in range(good):
            metrics.record_finished(
                Service('s'), 'answered', '', timedelta(), 200
            )
        clock.advance(WINDOW)
        platform.error = error
        await writer.write(clock.now())

    await minute(1)
    await minute(2, PlatformUnavailableError('down'))
    await minute(3, AppendUnknownError('lost'))
    await minute(0)
    await minute(9, AppendRejectedError('blocks later summaries'))
    await minute(4)
    assert platform.good_counts() == [1, 2, 3, 4]
    metrics.record_finished(Service('s'), 'answered', '', timedelta(), 200)
    await writer.finish()
    await writer.finish()
    assert platform.good_counts() == [1, 2, 3, 4, 1]
