"""Upstreams that write scripted bytes, and a parser of raw HTTP messages.

In contrast to ``standins.upstream``, a script can violate HTTP at any step.
"""

import asyncio
import json
from dataclasses import dataclass

OK = b'HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok'
NOT_RUN = (
    b'HTTP/1.1 503 Busy\r\nContent-Length: 4\r\nUpstream-Outcome: not-run\r\n'
    b'Retry-After: 7\r\n\r\nbusy'
)


@dataclass
class Message:
    """A parsed HTTP message; ``complete`` is whether its whole body arrived."""

    start_line: str
    headers: dict
    body: bytes
    complete: bool = True

    @property
    def status(self):
        return int(self.start_line.split()[1])

    @property
    def outcome(self):
        return self.headers.get('crocus-outcome')

    @property
    def code(self):
        return json.loads(self.body)['code']


async def read_message(reader):
    """Read one HTTP message with a Content-Length or chunked body."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode()
    start_line, *lines = head.strip().split('\r\n')
    headers = {}
    for line in lines:
        name, _, text = line.partition(': ')
        headers[name.lower()] = text
    message = Message(start_line, headers, b'')
    try:
        message.body = await _read_body(reader, headers)
    except asyncio.IncompleteReadError as error:
        message.body = error.partial
        message.complete = False
    return message


async def _read_body(reader, headers):
    if headers.get('transfer-encoding') != 'chunked':
        return await reader.readexactly(int(headers.get('content-length', 0)))
    body = b''
    while size := int(await reader.readuntil(b'\r\n'), 16):
        body += await reader.readexactly(size)
        await reader.readexactly(2)
    await reader.readexactly(2)
    return body


class ScriptedUpstream:
    """Runs ``script(upstream, reader, writer)`` for each connection."""

    def __init__(self, script):
        self.script = script
        self.requests = []
        self.connections = 0
        self.closed = asyncio.Event()
        self.writers = []

    async def start(self):
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        host, port = self.server.sockets[0].getsockname()[:2]
        self.address = f'{host}:{port}'

    async def serve(self, reader, writer):
        self.connections += 1
        self.writers.append(writer)
        try:
            await self.script(self, reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.closed.set()
        finally:
            writer.close()

    async def read(self, reader):
        request = await read_message(reader)
        self.requests.append(request)
        return request

    def kill(self):
        """Close the port and every connection, as a killed process does."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()


def answering(*responses, last=OK):
    """Return a script that sends ``responses`` in order, then ``last``."""
    remaining = list(responses)

    async def script(upstream, reader, writer):
        while True:
            await upstream.read(reader)
            writer.write(remaining.pop(0) if remaining else last)

    return script
