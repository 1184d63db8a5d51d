"""SIGTERM of an instance while its clients have pipelined requests."""

import asyncio
import signal
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / 'lib'))

from bed import (  # noqa: E402
    DEADLINE,
    GRACE_S,
    HOST,
    REQUEST_ID,
    SIGNATURE,
    TROUBLE,
    CaseFailed,
    config,
    message,
    read_body,
    read_head,
    run_case,
)

CONNECTIONS = 8
PIPELINED = 3
WORK_S = 0.4
DEADLINE_MS = 2500


async def pipeline(bed, front, outcomes):
    """Send some safe requests behind one another; read their answers."""
    host, _, port = front.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    rids = []
    for _ in range(PIPELINED):
        rid = bed.new_id()
        rids.append(rid)
        outcomes[rid] = 'no answer, the connection ended'
        writer.write(
            message(
                'GET /read/1 HTTP/1.1',
                [
                    ('Host', HOST),
                    (REQUEST_ID, rid),
                    (DEADLINE, str(DEADLINE_MS)),
                ],
            )
        )
        bed.record.write(f'{rid} sent to {front}: GET /read/1 (pipelined)')
        await asyncio.sleep(0.05)
    try:
        for rid in rids:
            first, headers = await read_head(reader)
            await read_body(reader, headers)
            signed = SIGNATURE.lower() in headers
            outcomes[rid] = f'{first}{", of a server" if signed else ""}'
            closes = headers.get('connection', '') == 'close'
            bed.record.write(
                f'{rid} answered: {outcomes[rid]}'
                f'{" (Connection: close)" if closes else ""}'
            )
    except (asyncio.IncompleteReadError, ConnectionError):
        bed.record.write(f'connection of {rids} has ended')
    finally:
        writer.close()


async def scenario(bed):
    await bed.start(config([('/read/', 'safe', 'alpha')]))
    for number in range(6):
        await bed.add_server('alpha', f'z{number % 3 + 1}', work=WORK_S)
    await bed.wait_ready()
    await asyncio.sleep(2)
    front = await bed.resolve('z1')
    home = bed.instance_at(front)
    for _ in range(5):
        _, status = await bed.request(front, '/read/0')
        if status != 200:
            raise CaseFailed(f'status {status} before the disruption')
    outcomes = {}
    clients = [
        asyncio.create_task(pipeline(bed, front, outcomes))
        for _ in range(CONNECTIONS)
    ]
    await asyncio.sleep(0.3)
    terminated_at = bed.record.now()
    if TROUBLE:
        home.send_signal(signal.SIGTERM)
    await asyncio.gather(*clients)
    if bed.record.now() - terminated_at > GRACE_S * 5 / 6:
        raise CaseFailed('the clients took too long')
    passed_on = {rid for rid, at, _ in bed.arrivals()}
    return [
        f'{rid} was passed on to a server, and its connection ended without '
        'an answer to it'
        for rid, outcome in outcomes.items()
        if outcome.startswith('no answer') and rid in passed_on
    ]


run_case(FOLDER, ['z1', 'z2', 'z3'], scenario)
