"""A process that probes one upstream: ``NAME PLATFORM UPSTREAM``."""

import asyncio
import sys
from random import Random

from aiohttp import ClientSession

from crocusproxy.clock import SystemClock
from crocusproxy.config.model import ProbeBudget, Upstream
from crocusproxy.measurement.budget import divide_budget
from crocusproxy.measurement.prober import Prober
from crocusproxy.measurement.renewer import RightsRenewer
from crocusproxy.measurement.rights import RightsHolder, RightsSettings
from crocusproxy.platform_client import PlatformClient

SETTINGS = RightsSettings(term='1s', guard='250ms', renew_every='200ms')
BUDGET = ProbeBudget(per_second=2)


async def start_probing(session, name, platform, address, reports):
    """Start and return a renewer and a prober; the caller stops them."""
    holder = RightsHolder(name, SETTINGS, Random(name))
    holder.configure({'s': divide_budget(BUDGET, 1)}, {'s': 1})
    clock = SystemClock()
    renewer = RightsRenewer(PlatformClient(session, platform), clock, holder)
    upstream = Upstream(name, 's', address, 'fd', 2)
    prober = Prober(
        holder,
        clock,
        lambda: (upstream,),
        lambda probed, load, at: reports.append((probed.name, load)),
    )
    await renewer.start()
    await prober.start()
    return renewer, prober


async def main(name, platform, address):
    async with ClientSession() as session:
        await start_probing(session, name, platform, address, [])
        await asyncio.Event().wait()


if __name__ == '__main__':
    asyncio.run(main(*sys.argv[1:]))
