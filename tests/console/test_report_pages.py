"""Guards against a burn page that hides instances or fails on high rates."""

import math
from datetime import datetime, timezone

from crocusproxy.burn.rates import SPANS, BurnFigures, BurnRate
from crocusproxy.console.report_pages import MAX_BAR_LENGTH, service_report
from crocusproxy.membership.view import Instance, InstanceView
from crocusproxy.protocol.burn_client import ServiceBurn
from tests.console.harness import EXAMPLE, with_console


def test_long_bars_stay_inside_the_chart():
    rates = zip(SPANS, (0, 1000, math.inf), strict=True)
    figures = BurnFigures(
        tuple(BurnRate(span, rate, 1, 1) for span, rate in rates),
        -5,
        datetime(2026, 1, 1, tzinfo=timezone.utc),
    )
    report = service_report(ServiceBurn('redaccion', figures))
    assert [row.bar_length for row in report.rows] == [
        0,
        MAX_BAR_LENGTH,
        MAX_BAR_LENGTH,
    ]
    assert report.budget_left == '-500.0%'


@with_console
async def test_burn_page_lists_instances_without_response(
    platform, open_browser
):
    browser = await open_browser()
    follower = platform.daemon.follower
    follower.document = EXAMPLE
    follower.view = InstanceView(
        1, (Instance('i7', 'fd1', 'live', '', '127.0.0.1:9', '', ''),)
    )
    page = await browser.get('/burn')
    assert 'No response from: i7' in page
    assert 'No requests have been counted.' in page
    assert 'Budget left' not in page


@with_console
async def test_pages_stay_readable_during_a_platform_outage(
    platform, open_browser
):
    browser = await open_browser()
    await browser.publish(await browser.preview(homes='2'))
    platform.daemon.follower.document = EXAMPLE
    platform.faults.outage = True
    for path in ('/', '/services/redaccion', '/history'):
        page = await browser.get(path)
        assert 'The platform cannot be read' in page
        assert 'redaccion' in page
