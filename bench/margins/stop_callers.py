"""Callers that use an instance in different ways until it ends."""

import asyncio
import socket
from collections.abc import Awaitable, Callable
from itertools import count
from random import Random

from soak.callers import read_response
from soak.operator import HOST
from standins.slot_server import REQUEST_ID, SlotServer

DEADLINE_MS = 900
BODY_BYTES = 30_000
#: Requests whose id starts with it are answered with ``BODY_BYTES``.
LARGE = 'large'
_PIPELINED = 6
_BUSY_PAUSE_SECONDS = 0.03
_PIPELINE_PAUSE_SECONDS = 0.2
_RECEIVE_BUFFER_BYTES = 4096
_READ_BYTES = 2048
_READ_PAUSE_SECONDS = 0.05
_CLOSED = (OSError, asyncio.IncompleteReadError, ValueError, IndexError)
_numbers = count()

Caller = Callable[[str, Random], Awaitable[None]]


def answer_large(server: SlotServer) -> None:
    """Have an upstream of the soak answer some requests with large bodies."""
    usual_script = server.response_script

    def script(request_id: str) -> bytes | None:
        if request_id.startswith(LARGE):
            return server.response(request_id, b'.' * BODY_BYTES)
        return usual_script(request_id) if usual_script else None

    server.response_script = script


def encode_request(path: str, prefix: str = 'r') -> bytes:
    return (
        f'GET {path} HTTP/1.1\r\nHost: {HOST}\r\n'
        f'{REQUEST_ID}: {prefix}-{next(_numbers)}\r\n'
        f'X-Crocusproxy-Deadline-Milliseconds: {DEADLINE_MS}\r\n\r\n'
    ).encode()


async def stay_idle(address: str, _: Random) -> None:
    """Send one request, and keep the connection until it is closed."""
    reader, writer = await _connect(address)
    try:
        writer.write(encode_request('/safe/'))
        while await reader.read(_READ_BYTES):
            continue
    finally:
        writer.close()


async def send_in_sequence(address: str, random: Random) -> None:
    """Send one request after the other."""
    reader, writer = await _connect(address)
    try:
        while True:
            writer.write(encode_request(random.choice(('/safe/', '/move/'))))
            await read_response(reader)
            await asyncio.sleep(random.random() * _BUSY_PAUSE_SECONDS)
    finally:
        writer.close()


async def pipeline(address: str, random: Random) -> None:
    """Send several requests at a time."""
    reader, writer = await _connect(address)
    try:
        while True:
            for _ in range(_PIPELINED):
                writer.write(encode_request('/safe/'))
            for _ in range(_PIPELINED):
                await read_response(reader)
            await asyncio.sleep(random.random() * _PIPELINE_PAUSE_SECONDS)
    finally:
        writer.close()


async def read_slowly(address: str, _: Random) -> None:
    """Pipeline requests for large bodies, and read some 40 kB a second."""
    host, _, port = address.rpartition(':')
    loop = asyncio.get_running_loop()
    with socket.socket() as connection:
        connection.setblocking(False)
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, _RECEIVE_BUFFER_BYTES
        )
        await loop.sock_connect(connection, (host, int(port)))
        for _ in range(_PIPELINED):
            await loop.sock_sendall(connection, encode_request('/safe/', LARGE))
        while await loop.sock_recv(connection, _READ_BYTES):
            await asyncio.sleep(_READ_PAUSE_SECONDS)


#: Names of mixtures of callers at an instance, and how many of each kind.
MIXTURES: dict[str, tuple[tuple[Caller, int], ...]] = {
    'idle': ((stay_idle, 4),),
    'busy': ((send_in_sequence, 6),),
    'pipelining': ((send_in_sequence, 2), (pipeline, 4)),
    'slow': ((read_slowly, 3),),
    'all': (
        (stay_idle, 2),
        (send_in_sequence, 3),
        (pipeline, 2),
        (read_slowly, 2),
    ),
}


def start_callers(
    address: str, mixture: str, random: Random
) -> list[asyncio.Task[None]]:
    """Start the callers of a mixture, which go on until cancelled."""
    return [
        asyncio.create_task(_call_again(caller, address, random))
        for caller, number in MIXTURES[mixture]
        for _ in range(number)
    ]


async def _call_again(caller: Caller, address: str, random: Random) -> None:
    while True:
        try:
            await caller(address, random)
        except _CLOSED:
            await asyncio.sleep(_PIPELINE_PAUSE_SECONDS)


async def _connect(
    address: str,
) -> tuple[asyncio.StreamReader, asyncio.StreamWriter]:
    host, _, port = address.rpartition(':')
    return await asyncio.open_connection(host, int(port))
