"""Tests that the callers notice whole, cut and missing responses."""

import asyncio

import pytest

from soak.callers import read_response
from soak.link import connect_with_window
from soak.pipelining_callers import (
    BYTES_PER_SECOND,
    RECEIVE_BUFFER_BYTES,
    SlowReader,
)

BODY = b'x' * 20_000
HEAD = f'HTTP/1.1 200 OK\r\nContent-Length: {len(BODY)}\r\n\r\n'.encode()


def read_slowly(sent):
    """Return the responses to a slow reader, and the seconds they took."""

    async def serve(reader, writer):
        writer.write(sent)
        writer.close()

    async def run():
        server = await asyncio.start_server(serve, '127.0.0.1', 0)
        port = server.sockets[0].getsockname()[1]
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        reader, writer = await connect_with_window(
            f'127.0.0.1:{port}', RECEIVE_BUFFER_BYTES
        )
        source = SlowReader(reader)
        try:
            bodies = [(await read_response(source))[2] for _ in range(2)]
        finally:
            writer.close()
            server.close()
        return bodies, loop.time() - started_at

    return asyncio.run(run())


def test_slow_reader_gets_pipelined_responses_at_its_rate():
    bodies, seconds = read_slowly((HEAD + BODY) * 2)
    assert bodies == [BODY] * 2
    assert seconds >= 2 * len(BODY) / BYTES_PER_SECOND


def test_slow_reader_notices_a_cut_response():
    with pytest.raises(asyncio.IncompleteReadError):
        read_slowly(HEAD + BODY + HEAD + BODY[:-1])
