"""Reads the request counts of all proxies and computes the burn rates."""

import asyncio
from dataclasses import dataclass
from datetime import datetime

from aiohttp import ClientError, ClientSession, ClientTimeout

from ..burn.rates import BurnFigures, BurnRate, burn_figures
from ..config.model import Document
from ..errors import NotReachableError
from ..membership.view import Instance, InstanceView
from .burn import BurnReport, merge_reports
from .codec import MalformedMessageError, decode

#: Shown in place of a figure if no requests were counted.
NOTHING_COUNTED = '-'

_OK = 200
_MAX_CONCURRENT_READS = 32
_READ_TIMEOUT = ClientTimeout(total=2)


@dataclass(frozen=True, slots=True)
class ServiceBurn:
    """Burn rates and error budget of one service, over all instances."""

    service: str
    figures: BurnFigures


@dataclass(frozen=True, slots=True)
class MergedBurn:
    """The burn of all services.

    ``answered`` and ``missing`` name the instances with and without a reply.
    """

    services: tuple[ServiceBurn, ...]
    answered: tuple[str, ...]
    missing: tuple[str, ...]


def rate_text(rate: BurnRate) -> str:
    """Format a burn rate, which is undefined without requests."""
    return f'{rate.rate:.2f}' if rate.good + rate.bad else NOTHING_COUNTED


async def read_burn(
    session: ClientSession,
    view: InstanceView,
    document: Document,
    now: datetime,
) -> MergedBurn:
    """Read and merge the reports of all proxies of the view.

    Services that are not in the document have no objective and are omitted.
    """
    read_slots = asyncio.Semaphore(_MAX_CONCURRENT_READS)
    instances = sorted(view.instances, key=lambda one: one.name)
    replies = await asyncio.gather(
        *(_read_or_none(session, one, read_slots) for one in instances)
    )
    reports = [report for report in replies if report is not None]
    counts = merge_reports(reports)
    return MergedBurn(
        services=tuple(
            ServiceBurn(
                name,
                burn_figures(counts.get(name, ()), service.objective, now),
            )
            for name, service in sorted(document.services.items())
        ),
        answered=_instance_names(instances, replies, has_reply=True),
        missing=_instance_names(instances, replies, has_reply=False),
    )


async def read_report(session: ClientSession, admin_address: str) -> BurnReport:
    """Return the counts of the proxy with the admin address ``admin_address``.

    Raises:
        NotReachableError: the proxy did not reply with a report.
        MalformedMessageError: the reply has an unexpected form.
    """
    url = f'http://{admin_address}/v1/burn'
    try:
        async with session.get(url, timeout=_READ_TIMEOUT) as response:
            if response.status != _OK:
                raise NotReachableError(f'{url}: {response.status}')
            body = await response.read()
    except (ClientError, TimeoutError, ValueError) as error:
        raise NotReachableError(f'{url}: {error}') from error
    return decode(BurnReport, body)


async def _read_or_none(
    session: ClientSession,
    instance: Instance,
    read_slots: asyncio.Semaphore,
) -> BurnReport | None:
    async with read_slots:
        try:
            return await read_report(session, instance.proxy_admin)
        except (NotReachableError, MalformedMessageError):
            return None


def _instance_names(
    instances: list[Instance],
    replies: list[BurnReport | None],
    has_reply: bool,
) -> tuple[str, ...]:
    return tuple(
        instance.name
        for instance, reply in zip(instances, replies, strict=True)
        if (reply is not None) == has_reply
    )
