"""A small deployment on loopback addresses: store, servers and instances.

The store and the servers run here, the instances as processes of their own with
the command of the deploy file. The settings are those of the template, with the
figures of a site of 14 machines.
"""

import asyncio
import ctypes
import json
import os
import signal
import subprocess
import sys
import tempfile
import threading
import time
import traceback
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
sys.path.insert(0, str(ROOT))

from standins.processes import free_ports  # noqa: E402
from standins.store import StandInStore  # noqa: E402

HOST = 'board.example'
REQUEST_ID = 'X-Crocusproxy-Request-Id'
DEADLINE = 'X-Crocusproxy-Deadline-Milliseconds'
SIGNATURE = 'X-Crocusproxy-Response-Signature'
EXPECTED = 'X-Crocusproxy-Expected-Instance'
NOT_RUN = 'X-Crocusproxy-Not-Executed'
HEARTBEAT_SECONDS = 1.5
#: A case that takes longer could not run.
MAX_SECONDS = 115
READY_SECONDS = 20
PORTS = ('callers', 'directory', 'readiness', 'control', 'internal', 'metrics')
#: Set to 0, a case runs without its disruption.
HAS_TROUBLE = os.environ.get('TROUBLE', '1') != '0'


LIBC = ctypes.CDLL(None)
PR_SET_PDEATHSIG = 1


def end_with_parent():
    """Have the kernel kill this process when its parent ends."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


class CannotRunError(Exception):
    """The case could not run, which says nothing about the rule."""


class Record:
    """Lines on what was sent, answered and run, with the time of each."""

    def __init__(self, folder):
        self.path = Path(folder) / 'record.txt'
        self.started_at = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.started_at

    def add(self, text):
        self.lines.append(f'{self.now():8.3f} {text}')

    def write(self):
        self.path.write_text('\n'.join((*self.lines, '')))


class LogCollector:
    """Copies what a process writes to its standard output to a file.

    While ``is_reading`` is not set, it reads nothing, like a collector that is
    stopped or waits for its own storage.
    """

    def __init__(self, read_end, path):
        self.read_end = read_end
        self.path = path
        self.is_reading = threading.Event()
        self.is_reading.set()
        threading.Thread(target=self.run, daemon=True).start()

    def run(self):
        with self.path.open('ab') as log, open(self.read_end, 'rb', 0) as pipe:
            while True:
                self.is_reading.wait()
                lines = pipe.read(65536)
                if not lines:
                    return
                log.write(lines)
                log.flush()


class Instance:
    """One instance as a process."""

    def __init__(self, bed, number, ports, zone):
        self.bed = bed
        self.name = f'front-{zone}-{number}'
        self.zone = zone
        self.addresses = {
            name: f'127.0.0.1:{port}'
            for name, port in zip(PORTS, ports, strict=True)
        }
        self.settings = bed.folder / f'{self.name}.yaml'
        self.log = bed.folder / f'{self.name}.log'
        self.process = None

    @property
    def callers(self):
        return self.addresses['callers']

    def start(self, seeds):
        self.seeds = seeds
        settings = {
            'instance': {'name': self.name, 'failure_domain': self.zone},
            **self.addresses,
            'store': self.bed.store.address,
            'seeds': seeds,
            'bounds': {
                'budget_ratio': 0.2,
                'budget_slack': 58,
                'budget_window': '10s',
                'shutdown': '6s',
                'probes_per_second': 60,
                'max_validity': '5s',
                'upstream_heartbeat': '1500ms',
            },
            'capacity': {
                'cpu_share': 0.86,
                'cores': 1,
                'memory_mb': 300,
                'link_mbps': 1000.0,
            },
        }
        self.settings.write_text(json.dumps(settings))
        self.spawn()

    def spawn(self):
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment |= {
            'CROCUSPROXY_BOOT': str(self.settings),
            'PYTHONPATH': str(ROOT / 'target' / 'deps'),
            'SSL_CERT_FILE': '/dev/null',
            'AIOMISC_NO_PLUGINS': '1',
        }
        read_end, write_end = os.pipe()
        with self.log.open('ab') as errors:
            self.process = subprocess.Popen(
                ('python3', '-S', '-m', 'crocusproxy.entry.main'),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=write_end,
                stderr=errors,
                preexec_fn=end_with_parent,
            )
        os.close(write_end)
        self.collector = LogCollector(read_end, self.log)
        self.bed.record.add(f'start {self.name}')

    def send(self, number):
        self.bed.record.add(f'{signal.Signals(number).name} {self.name}')
        self.process.send_signal(number)

    async def is_ready(self):
        return await http_status(
            self.addresses['readiness'], '/-/readiness'
        ) == 200

    async def wait_ready(self):
        ends_at = time.monotonic() + READY_SECONDS
        while time.monotonic() < ends_at:
            if await self.is_ready():
                return
            await asyncio.sleep(0.05)
        raise CannotRunError(f'{self.name} is not ready')

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
        if self.process is not None:
            self.process.wait()


async def http_status(address, path, seconds=1):
    """Return the status of a GET, 0 without a response."""
    try:
        async with asyncio.timeout(seconds):
            response = await http_get(address, path)
    except (OSError, EOFError, TimeoutError, ValueError):
        return 0
    return response[0]


async def http_get(address, path, headers=()):
    """Return status and body of a GET on a connection of its own."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        lines = (f'GET {path} HTTP/1.1', f'Host: {address}', *headers)
        writer.write('\r\n'.join((*lines, 'Connection: close', '', '')).encode())
        return await read_response(reader)
    finally:
        writer.close()


async def read_response(reader):
    """Return status, headers and body of the next response."""
    head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
    first, *lines = head.split('\r\n')
    headers = dict(
        line.split(': ', 1) for line in lines if ': ' in line
    )
    body = await reader.readexactly(int(headers.get('Content-Length', 0)))
    return int(first.split(' ')[1]), body, headers


class Bed:
    """The store, the servers and the instances of a case.

    ``routes`` are those of the configuration; see ``route``.
    """

    def __init__(self, folder, instances=3, zones=('a', 'b', 'c')):
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self.temporary.name)
        self.store = StandInStore()
        self.zones = zones
        self.instance_count = instances
        self.instances = []
        self.servers = []
        self.tasks = set()
        self.version = 0
        self.limits = {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 67108864,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        }

    async def __aenter__(self):
        await self.store.start()
        return self

    async def __aexit__(self, *_):
        for task in self.tasks:
            task.cancel()
        for instance in self.instances:
            instance.end()
        for server in self.servers:
            server.stop()
        await self.store.stop()
        self.record.write()
        self.temporary.cleanup()

    def publish(self, routes):
        """Write a configuration, as the operator does."""
        self.version += 3
        services = sorted(
            {route['Service'] for route in routes if 'Service' in route}
        )
        document = {
            'Version': f'{self.version:08x}',
            'Routes': routes,
            'Services': [
                {
                    'Name': name,
                    'HealthCheckPath': '/health',
                    'MaxConnections': 220,
                    'Protocol': 'h1',
                    'Tls': False,
                }
                for name in services
            ],
            'Limits': self.limits,
        }
        self.store.put('keyed.op', 'config', json.dumps(document).encode())
        self.record.add(f'configuration {self.version} acknowledged')

    def register(self, server):
        """Write the entry of a server."""
        server.sequence += 1
        entry = {
            'Address': server.address,
            'ServerInfo': {
                'Service': server.service,
                'Version': 'v1',
                'Zone': server.zone,
                'Slots': server.slots,
            },
            'Status': {
                'State': server.state,
                'Sequence': server.sequence,
                'WarmupRemainingMs': 0,
            },
            'born': server.born,
        }
        self.store.put('keyed.servers', server.key, json.dumps(entry).encode())

    async def add_server(self, server):
        """Start a server that reports to the store."""
        server.record = self.record
        await server.start()
        self.servers.append(server)
        self.register(server)
        return server

    async def start_instances(self):
        """Start all instances and wait until they are ready."""
        ports = free_ports(self.instance_count * len(PORTS))
        for number in range(self.instance_count):
            zone = self.zones[number % len(self.zones)]
            part = ports[number :: self.instance_count]
            self.instances.append(Instance(self, number + 1, part, zone))
        seeds = [one.addresses['control'] for one in self.instances[:3]]
        self.spawn(self._heartbeats())
        for instance in self.instances:
            instance.start(seeds)
        for instance in self.instances:
            await instance.wait_ready()
        await asyncio.sleep(1)

    def spawn(self, coroutine):
        task = asyncio.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)
        return task

    async def home(self):
        """Return the instance that the directory names to callers."""
        for instance in self.instances:
            try:
                async with asyncio.timeout(1):
                    status, body, _ = await http_get(
                        instance.addresses['directory'],
                        f'/-/resolve?Name={HOST}&Region=r&Zone={instance.zone}',
                    )
            except (OSError, EOFError, TimeoutError):
                continue
            if status != 200:
                continue
            named = json.loads(body)['Addresses'][0]
            for one in self.instances:
                if one.callers == named:
                    return one
        raise CannotRunError('the directory names no instance')

    async def _heartbeats(self):
        while True:
            await asyncio.sleep(HEARTBEAT_SECONDS)
            for server in self.servers:
                if server.is_registered:
                    self.register(server)


class Server:
    """A sound server with slots; ``work`` returns its service time.

    Subclasses change ``handle``. ``runs`` are the ids of the requests that it
    began to work on, in order.
    """

    def __init__(self, key, service, zone='a', slots=6, work=0.1):
        self.key = key
        self.service = service
        self.zone = zone
        self.slots = slots
        self.work = work
        self.running = 0
        self.state = 'ready'
        self.sequence = 0
        self.born = int(time.time() * 1000)
        self.is_registered = True
        self.runs = []
        self.arrivals = []
        self.writers = set()
        self.listening = None
        self.address = ''
        self.record = None

    async def start(self, port=0):
        self.listening = await asyncio.start_server(
            self.serve, '127.0.0.1', port, limit=1 << 20
        )
        port = self.listening.sockets[0].getsockname()[1]
        self.address = f'127.0.0.1:{port}'

    def stop(self):
        if self.listening is not None:
            self.listening.close()
        for writer in tuple(self.writers):
            writer.transport.abort()

    async def serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                head = await reader.readuntil(b'\r\n\r\n')
                await self.receive(head.decode('latin-1'), reader, writer)
        except (asyncio.IncompleteReadError, ConnectionError):
            return
        finally:
            self.writers.discard(writer)
            writer.close()

    async def receive(self, head, reader, writer):
        first, *lines = head.split('\r\n')
        headers = dict(line.split(': ', 1) for line in lines if line)
        body = await reader.readexactly(int(headers.get('Content-Length', 0)))
        if first.startswith('GET /health '):
            writer.write(self.response('200 OK', ''))
            return
        request_id = headers[REQUEST_ID]
        self.arrivals.append(request_id)
        if headers.get(EXPECTED, self.key) != self.key:
            writer.write(self.not_run('421 Misdirected Request', request_id))
        elif self.running >= self.slots:
            writer.write(self.not_run('503 Service Unavailable', request_id))
        else:
            await self.run(first, request_id, body, writer)

    async def run(self, first, request_id, body, writer):
        self.running += 1
        self.runs.append(request_id)
        self.record.add(f'{self.key} runs {request_id} ({first})')
        try:
            await self.handle(first, request_id, body, writer)
        finally:
            self.running -= 1

    async def handle(self, first, request_id, body, writer):
        await asyncio.sleep(self.work)
        writer.write(self.response('200 OK', request_id, b'board'))

    def load(self):
        return f'X-Crocusproxy-Server-Load: {self.running},0,{self.slots},100'

    def response(self, status, request_id, body=b''):
        lines = [
            f'HTTP/1.1 {status}',
            f'Content-Length: {len(body)}',
            self.load(),
        ]
        if request_id:
            lines += [f'{REQUEST_ID}: {request_id}', f'{SIGNATURE}: s']
        else:
            lines.append(f'X-Crocusproxy-Instance-Id: {self.key}')
        return '\r\n'.join((*lines, '', '')).encode() + body

    def not_run(self, status, request_id):
        lines = (
            f'HTTP/1.1 {status}',
            'Content-Length: 0',
            f'{NOT_RUN}: 1',
            f'{REQUEST_ID}: {request_id}',
        )
        return '\r\n'.join((*lines, '', '')).encode()


def route(name, service, kind, timeout_ms, attempts=2, **more):
    """Return one route; its path prefix is its name."""
    return {
        'Name': name,
        'Host': HOST,
        'PathPrefix': f'/{name}/',
        'Kind': kind,
        'TimeoutMs': timeout_ms,
        'TargetLatencyMs': timeout_ms / 2,
        'Priority': 1,
        'Service': service,
        'Attempts': attempts,
        **more,
    }


class CallerConnection:
    """A kept connection of a client."""

    def __init__(self, address):
        self.address = address

    async def open(self):
        host, _, port = self.address.rpartition(':')
        self.reader, self.writer = await asyncio.open_connection(
            host, int(port)
        )
        return self

    def close(self):
        self.writer.close()

    async def send(
        self, path, request_id, method='GET', body=b'', deadline_ms=3000
    ):
        """Send a request and return status, body and headers."""
        lines = [
            f'{method} {path} HTTP/1.1',
            f'Host: {HOST}',
            f'{REQUEST_ID}: {request_id}',
            f'{DEADLINE}: {deadline_ms}',
        ]
        if method == 'POST':
            lines.append(f'Content-Length: {len(body)}')
        self.writer.write('\r\n'.join((*lines, '', '')).encode())
        if body:
            self.writer.write(body)
        await self.writer.drain()
        return await read_response(self.reader)


async def run_limited(case, folder):
    """Return the result of a case, which has a limited time."""
    async with asyncio.timeout(MAX_SECONDS):
        return await case(folder)


def main(case, folder):
    """Run a case and exit with 1 if the rule was broken, 0 if it held."""
    try:
        broken = asyncio.run(run_limited(case, folder))
    except Exception:  # an error of the case says nothing about the rule
        traceback.print_exc()
        sys.exit(2)
    print('broken' if broken else 'held')
    sys.exit(1 if broken else 0)
