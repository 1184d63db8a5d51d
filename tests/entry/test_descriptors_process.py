"""Guards a real process against callers that take all its descriptors."""

import asyncio
import socket

from . import test_process
from .test_bursts_process import read_log
from .test_process import run_instances

DESCRIPTORS = 300
SILENT_CALLERS = 400
RUN_WITH_LIMIT = (
    'import resource; '
    f'resource.setrlimit(resource.RLIMIT_NOFILE, ({DESCRIPTORS}, '
    f'{DESCRIPTORS})); {test_process.RUN_ENTRY}'
)


async def connect_silent(port):
    connection = socket.socket()
    connection.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(connection, ('127.0.0.1', port))
    return connection


def test_callers_that_send_nothing_leave_descriptors_for_others(
    tmp_path, monkeypatch
):
    """New callers, upstreams and the directory got no connection."""
    monkeypatch.setattr(test_process, 'RUN_ENTRY', RUN_WITH_LIMIT)

    async def scenario(store, instance):
        reading = asyncio.create_task(read_log(instance))
        silent = []
        for _ in range(SILENT_CALLERS):
            silent.append(await connect_silent(instance.ports['callers']))
        for number in range(10):
            async with asyncio.timeout(3):
                status, _ = await instance.send_request(f'r{number}')
                assert status == 200
                assert await instance.addresses()
                assert (await instance.get('metrics', '/metrics'))[0] == 200
        reading.cancel()
        for connection in silent:
            connection.close()

    run_instances(tmp_path, scenario)
