"""Fetches the burn counts of all proxies and computes the burn per service."""

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

#: Shown in place of a figure without requests behind it.
NOTHING_COUNTED = '-'

_OK = 200
_CONCURRENT_READS = 32
_READ_TIMEOUT = ClientTimeout(total=2)


@dataclass(frozen=True, slots=True)
class ServiceBurn:
    """Burn rates and error budget of one service over all instances."""

    service: str
    figures: BurnFigures


@dataclass(frozen=True, slots=True)
class MergedBurn:
    """The burn of all services; ``missing`` names instances without answer."""

    services: tuple[ServiceBurn, ...]
    answered: tuple[str, ...]
    missing: tuple[str, ...]


def rate_text(rate: BurnRate) -> str:
    """Write a burn rate; without any request there is none."""
    return f'{rate.rate:.2f}' if rate.good + rate.bad else NOTHING_COUNTED


async def read_burn(
    session: ClientSession,
    view: InstanceView,
    document: Document,
    now: datetime,
) -> MergedBurn:
    """Ask every proxy of the view, and merge what they answer.

    Services that are not in the document have no objective and are left out.
    """
    limit = asyncio.Semaphore(_CONCURRENT_READS)
    instances = sorted(view.instances, key=lambda one: one.name)
    answers = await asyncio.gather(
        *(_read_or_none(session, one, limit) for one in instances)
    )
    reports = [report for report in answers if report is not None]
    counts = merge_reports(reports)
    return MergedBurn(
        services=tuple(
            ServiceBurn(
                name,
                burn_figures(counts.get(name, ()), service.objective, now),
            )
            for name, service in sorted(document.services.items())
        ),
        answered=_names(instances, answers, present=True),
        missing=_names(instances, answers, present=False),
    )


async def read_report(session: ClientSession, admin: str) -> BurnReport:
    """Return the counts of the proxy with the admin address ``admin``.

    Raises:
        NotReachableError: the proxy did not answer.
        MalformedMessageError: the answer has another form.
    """
    url = f'http://{admin}/v1/burn'
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
    limit: asyncio.Semaphore,
) -> BurnReport | None:
    async with limit:
        try:
            return await read_report(session, instance.proxy_admin)
        except (NotReachableError, MalformedMessageError):
            return None


def _names(
    instances: list[Instance],
    answers: list[BurnReport | None],
    present: bool,
) -> tuple[str, ...]:
    return tuple(
        instance.name
        for instance, answer in zip(instances, answers, strict=True)
        if (answer is not None) == present
    )
