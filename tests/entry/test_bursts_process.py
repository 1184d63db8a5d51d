"""Guards a real process against bursts of callers that read nothing."""

import asyncio
import json
import socket
from pathlib import Path

from ..platform.test_wire import CONFIG
from .test_gateway import SIGNATURE, raw_response
from .test_process import register, run_instances

BODY = b'x' * 30_000
CALLERS = 10
REQUESTS = 2000
ORDINARY_REQUESTS = 30
MAX_GROWTH_KB = 64 * 1024
SLOTS = 50
SECONDS_UNTIL_APPLIED = 2.5


def publish_long_timeouts(store):
    routes = [
        {**route, 'TimeoutMs': 5000, 'TargetLatencyMs': 2000}
        for route in CONFIG['Routes']
    ]
    document = {**CONFIG, 'Version': '00000002', 'Routes': routes}
    store.put('keyed.op', 'config', json.dumps(document).encode())


def head(request_id):
    return (
        'GET /y/1 HTTP/1.1\r\nHost: a.example\r\n'
        f'X-Crocusproxy-Request-Id: {request_id}\r\n'
        'X-Crocusproxy-Deadline-Milliseconds: 4000\r\n'
    )


async def send_burst(port, name):
    """Send a burst and read nothing, until cancelled."""
    loop = asyncio.get_running_loop()
    requests = (f'{head(f"{name}-{n}")}\r\n' for n in range(REQUESTS))
    with socket.socket() as connection:
        connection.setblocking(False)
        await loop.sock_connect(connection, ('127.0.0.1', port))
        await loop.sock_sendall(connection, ''.join(requests).encode())
        await asyncio.Event().wait()


async def read_log(instance):
    """Read the log, as a full pipe would stop the process."""
    while await instance.process.stdout.readline():
        continue


def memory_kb(process):
    lines = Path(f'/proc/{process.pid}/status').read_text().splitlines()
    (line,) = (line for line in lines if line.startswith('VmRSS'))
    return int(line.split()[1])


def test_ordinary_callers_are_served_beside_bursts(tmp_path):
    """Ten bursts left them without an answer for as long as they lasted."""

    async def scenario(store, instance):
        publish_long_timeouts(store)
        for server, service in zip(
            store.first_servers, ('s1', 's2'), strict=True
        ):
            server.slots = SLOTS
            server.response_script = lambda request_id: raw_response(
                request_id, BODY, extra_headers=SIGNATURE
            )
            register(store, server, service, sequence=2)
        await asyncio.sleep(SECONDS_UNTIL_APPLIED)
        reading = asyncio.create_task(read_log(instance))
        before_kb = memory_kb(instance.process)
        bursts = [
            asyncio.create_task(
                send_burst(instance.ports['callers'], f'burst{number}')
            )
            for number in range(CALLERS)
        ]
        for number in range(ORDINARY_REQUESTS):
            async with asyncio.timeout(5):
                status, body = await instance.send_request(f'r{number}')
            assert status == 200, (number, body)
            assert body == BODY
            assert memory_kb(instance.process) - before_kb < MAX_GROWTH_KB
            await asyncio.sleep(0.02)
        for burst in bursts:
            burst.cancel()
        reading.cancel()

    run_instances(tmp_path, scenario)
