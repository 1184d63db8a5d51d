"""Stand-in for a platform server with slots and a health endpoint."""

import asyncio

SIGNATURE = 'X-Crocusproxy-Response-Signature'
REQUEST_ID = 'X-Crocusproxy-Request-Id'


class SlotServer:
    """Runs requests in ``slots`` and sends scripted responses.

    ``response_script`` takes the request id and returns raw bytes to send, or
    None for a proper response; if it raises ConnectionError, the connection is
    closed without a response. ``work`` is the usual service time in seconds and
    ``slowdown`` the present one in percent of it. ``runs`` lists the ids of the
    requests that were run, ``heads`` the head and body of each arrival.
    ``terms`` are additional header lines of all responses, ``arrival_times``
    the loop times at which requests and probes arrived. New connections from
    the IP addresses in ``refused_sources`` are reset.
    """

    def __init__(self, key='i-1', slots=2, work=0.0, slowdown=100):
        self.key = key
        self.slots = slots
        self.work = work
        self.slowdown = slowdown
        self.response_script = None
        self.terms = ()
        self.health_status = '200 OK'
        self.arrival_times = []
        self.running = 0
        self.runs = []
        self.heads = []
        self.probes = 0
        self.closed_while_running = 0
        self.opened = 0
        self.refused_sources = set()
        self.writers = set()
        self.server = None
        self.address = ''

    async def start(self):
        self.server = await asyncio.start_server(self.serve, '127.0.0.1', 0)
        port = self.server.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'
        return self

    def stop(self):
        # A fault can stop a server of the soak before it has started.
        if self.server is not None:
            self.server.close()

    def cut_off(self, source, *, keeps_open=False):
        """Reset the connections from an IP address, or only new ones."""
        self.refused_sources.add(source)
        for writer in () if keeps_open else tuple(self.writers):
            if writer.get_extra_info('peername')[0] == source:
                writer.transport.abort()

    async def serve(self, reader, writer):
        if writer.get_extra_info('peername')[0] in self.refused_sources:
            writer.transport.abort()
            return
        self.opened += 1
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                await self.answer(head.decode(), reader, writer)
                self.closed_while_running += reader.at_eof()
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def answer(self, head, reader, writer):
        headers = dict(
            line.split(': ', 1) for line in head.split('\r\n')[1:] if line
        )
        body = await reader.readexactly(int(headers.get('Content-Length', 0)))
        self.arrival_times.append(asyncio.get_running_loop().time())
        if head.startswith('GET /health '):
            self.probes += 1
            writer.write(
                self.response('', b'', health=True, status=self.health_status)
            )
            return
        self.heads.append((head, body))
        expected = headers.get('X-Crocusproxy-Expected-Instance', self.key)
        request_id = headers[REQUEST_ID]
        if expected != self.key:
            writer.write(self.refusal(421, 'Misdirected Request', request_id))
        elif self.running >= self.slots:
            writer.write(self.refusal(503, 'Service Unavailable', request_id))
        else:
            await self.run(request_id, writer)

    async def run(self, request_id, writer):
        self.running += 1
        self.runs.append(request_id)
        try:
            scripted = (
                self.response_script(request_id)
                if self.response_script
                else None
            )
            await asyncio.sleep(self.work * self.slowdown / 100)
        finally:
            self.running -= 1
        if scripted is None:
            scripted = self.response(request_id, request_id.encode())
        writer.write(scripted)
        await writer.drain()

    def response(self, request_id, body, health=False, status='200 OK'):
        lines = [
            f'HTTP/1.1 {status}',
            f'Content-Length: {len(body)}',
            f'X-Crocusproxy-Server-Load: {self.running},0,{self.slots},'
            f'{self.slowdown}',
            *self.terms,
        ]
        if health:
            lines.append(f'X-Crocusproxy-Instance-Id: {self.key}')
        else:
            lines.append(f'{REQUEST_ID}: {request_id}')
            lines.append(f'{SIGNATURE}: s')
        return '\r\n'.join((*lines, '', '')).encode() + body

    def refusal(self, status, reason, request_id):
        lines = (
            f'HTTP/1.1 {status} {reason}',
            'Content-Length: 0',
            'X-Crocusproxy-Not-Executed: 1',
            f'{REQUEST_ID}: {request_id}',
            *self.terms,
        )
        return '\r\n'.join((*lines, '', '')).encode()
