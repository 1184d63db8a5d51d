"""A cut between one instance and the store while servers leave."""

import asyncio
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

from bed import (  # noqa: E402
    DRAIN_S,
    TROUBLE,
    CaseFailed,
    config,
    run_case,
)

ZONES = ('z1', 'z2', 'z3')
SERVICES = ('alpha', 'beta')
SERVERS_PER_ZONE = 6
CLIENTS_PER_ZONE = 14
WORK_S = 0.4
CUT_S = 5.5
#: How long the servers that leave serve on after their entries are removed, by
#: zone.
SERVES_ON_S = {'z1': 2.6, 'z2': 2.6, 'z3': 4.0}


async def send_requests(bed, zone, outcomes, fronts):
    while True:
        front = await bed.resolve(zone)
        for _ in range(4):
            rid = bed.new_id()
            fronts[rid] = front
            _, status = await bed.request(front, '/order/1', 'POST', rid=rid)
            outcomes[rid] = status


async def leave(server):
    """Leave without a report of draining; return the acknowledgement."""
    at = server.unregister()
    asyncio.get_running_loop().call_later(
        SERVES_ON_S[server.zone], server.close
    )
    return at


async def scenario(bed):
    routes = [('/order/', 'unsafe', 'alpha'), ('/item/', 'safe', 'beta')]
    await bed.start(config(routes, SERVICES))
    for service in SERVICES:
        for zone in ZONES:
            for _ in range(SERVERS_PER_ZONE):
                await bed.add_server(service, zone, work=WORK_S)
    await bed.wait_ready()
    await asyncio.sleep(6)
    homes = {await bed.resolve(zone) for zone in ZONES}
    reader = bed.reader()
    bed.record.write(f'{reader.name} reads the store')
    if len(homes) < len(ZONES) or reader.front in homes:
        raise CaseFailed('each zone should have an instance of its own')
    outcomes, fronts = {}, {}
    bed.tasks += [
        asyncio.create_task(send_requests(bed, zone, outcomes, fronts))
        for zone in ZONES
        for _ in range(CLIENTS_PER_ZONE)
    ]
    await asyncio.sleep(4)
    if set(outcomes.values()) != {200}:
        raise CaseFailed('not all requests are served before the disruption')
    if TROUBLE:
        reader.link.set_mode('silent')
        bed.record.write(f'{reader.name} is cut off from the store')
    await asyncio.sleep(0.3)
    leaving = {}
    for zone in ZONES:
        server = next(
            one
            for one in bed.servers
            if one.service == 'alpha' and one.zone == zone
        )
        leaving[server.id] = await leave(server)
    await asyncio.sleep(CUT_S - 0.3)
    reader.link.set_mode('ok')
    bed.record.write('the cut has ended')
    await asyncio.sleep(2)
    lost = [rid for rid, status in outcomes.items() if status != 200]
    bed.record.write(f'requests without a success: {len(lost)}')
    return [
        f'{rid}, taken by {bed.instance_at(fronts[rid]).name}, reached server '
        f'{server.id} {at - leaving[server.id]:.3f} s after it was gone'
        for rid, at, server in bed.arrivals()
        if at > leaving.get(server.id, at) + DRAIN_S
        and fronts.get(rid) in homes
    ]


run_case(FOLDER, [*ZONES, *ZONES], scenario)
