"""A small deployment on loopback: store, servers, instances and clients.

It uses the standard library only. The store, the servers and the clients follow
the platform's pages and run in this process; each instance is a process of its
own, started with the command, the environment and the settings template of the
deploy file.
"""

import asyncio
import base64
import json
import os
import random
import re
import shlex
import signal
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
from collections import defaultdict
from pathlib import Path
from urllib.parse import parse_qsl, urlsplit

ROOT = Path(__file__).resolve().parents[2]
TROUBLE = os.environ.get('TROUBLE', '1') != '0'
HELD, BROKEN, NOT_RUN = 0, 1, 2
HOST = 'shop.example'
REGION = 'r1'
HEARTBEAT_S = 1.5
DRAIN_S = 2.0
GRACE_S = 6.0
CONFIG_PROPAGATION_S = 2.0
STABLE_S = 3.0
BOUNDS = {
    'SeedLagS': '3',
    'ReuseAfterS': '2',
    'StableWindowMs': '3000',
    'AcknowledgeMs': '4000',
    'CatchUpS': '4',
    'DrainMs': '2000',
    'GraceS': '6',
    'LossSlackMs': '200',
    'ConfigPropagationMs': '2000',
    'RevertSlackMs': '250',
    'OuterMs': '5000',
    'RetryBudgetRatio': '0.2',
    'BudgetWindowS': '10',
    'BudgetSlack': '58',
    'RecoveryS': '15',
    'ttl_max_s': '5',
    'ProbesPerS': '60',
}
REQUEST_ID = 'X-Crocusproxy-Request-Id'
SIGNATURE = 'X-Crocusproxy-Response-Signature'
DEADLINE = 'X-Crocusproxy-Deadline-Milliseconds'


class CaseFailed(Exception):
    """The case could not run; it says nothing about the rule."""


class Record:
    """Writes what was sent, answered and run to ``record.txt``."""

    def __init__(self, folder):
        self.started_at = time.monotonic()
        self.file = (Path(folder) / 'record.txt').open('w')

    def now(self):
        return time.monotonic() - self.started_at

    def write(self, text):
        self.file.write(f'{self.now():9.3f} s  {text}\n')
        self.file.flush()


async def read_head(reader):
    """Return the first line and the headers, with lower-case names."""
    head = await reader.readuntil(b'\r\n\r\n')
    lines = head.decode('latin-1').split('\r\n')
    headers = {}
    for line in lines[1:]:
        if line:
            name, _, text = line.partition(':')
            headers[name.strip().lower()] = text.strip()
    return lines[0], headers


async def read_body(reader, headers):
    if headers.get('transfer-encoding', '').lower() == 'chunked':
        body = b''
        while True:
            size = int((await reader.readline()).split(b';')[0], 16)
            body += await reader.readexactly(size)
            await reader.readexactly(2)
            if not size:
                return body
    return await reader.readexactly(int(headers.get('content-length', '0')))


def message(first_line, headers, body=b''):
    lines = [first_line, *(f'{name}: {text}' for name, text in headers)]
    lines.append(f'Content-Length: {len(body)}')
    return ('\r\n'.join(lines) + '\r\n\r\n').encode() + body


class Store:
    """The platform's store: keyed topics with one partition."""

    def __init__(self, record):
        self.record = record
        self.records = defaultdict(list)
        self.changed = asyncio.Event()
        self.address = ''

    async def start(self):
        self.server = await asyncio.start_server(
            self._serve, '127.0.0.1', 0, limit=1 << 22
        )
        self.address = (
            '127.0.0.1:%d' % (self.server.sockets[0].getsockname()[1])
        )
        return self

    def put(self, topic, key, content):
        """Write a record as the operator or a server; return when."""
        name = key.encode()
        self._append(topic, bytes((len(name),)) + name + content)
        return self.record.now()

    def _append(self, topic, record):
        self.records[topic].append(record)
        self.changed.set()
        self.changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(' ')
                parts = urlsplit(target)
                query = dict(parse_qsl(parts.query))
                await asyncio.sleep(0.004)
                status, kind, answer = await self._answer(
                    method, parts.path, query, body
                )
                writer.write(
                    message(
                        f'HTTP/1.1 {status}', [('Content-Type', kind)], answer
                    )
                )
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError, ValueError):
            pass
        finally:
            writer.close()

    async def _answer(self, method, path, query, body):
        plain, json_kind = 'application/octet-stream', 'application/json'
        topic = query.get('Topic', '')
        records = self.records[topic]
        if (method, path) == ('POST', '/-/log-append'):
            if topic in {'keyed.op', 'keyed.servers'}:
                return '403 Forbidden', json_kind, b'{}'
            offset, position = len(records), 0
            while position < len(body):
                (length,) = struct.unpack_from('>I', body, position)
                position += 4
                self._append(topic, body[position : position + length])
                position += length
            answer = {'Offset': offset, 'End': len(records)}
            return '200 OK', json_kind, json.dumps(answer).encode()
        if (method, path) == ('GET', '/-/log-read'):
            start = int(query['From'])
            await self._wait_beyond(records, start, query)
            answer = struct.pack('>QQ', len(records), 0)
            for record in records[start:]:
                answer += struct.pack('>I', len(record)) + record
            return '200 OK', plain, answer
        if (method, path) == ('GET', '/-/log-newest'):
            answer = self._newest(records, query.get('after', ''))
            return '200 OK', json_kind, json.dumps(answer).encode()
        return '404 Not Found', json_kind, b'{}'

    async def _wait_beyond(self, records, start, query):
        end = time.monotonic() + int(query.get('WaitMs', '0')) / 1000
        while len(records) <= start and time.monotonic() < end:
            try:
                async with asyncio.timeout(end - time.monotonic()):
                    await self.changed.wait()
            except TimeoutError:
                return

    def _newest(self, records, after):
        items = {}
        for offset, record in enumerate(records):
            end = 1 + record[0]
            key = record[1:end].decode()
            items.pop(key, None)
            if record[end:]:
                text = base64.b64encode(record[end:]).decode()
                items[key] = {'Key': key, 'Value': text, 'Offset': offset}
        listed = [item for key, item in sorted(items.items()) if key > after]
        return {
            'items': listed[:500],
            'HasMore': len(listed) > 500,
            'End': len(records),
        }


class Link:
    """A proxy that can drop all bytes (``silent``) or reset connections.

    A connection on which bytes were dropped stays silent for good.
    """

    def __init__(self, target, host='127.0.0.1'):
        self.target = target
        self.host = host
        self.mode = 'ok'
        self.writers = set()
        #: Loop time at which bytes last came from the client.
        self.used_at = 0.0

    async def start(self, port=0):
        self.server = await asyncio.start_server(self._serve, self.host, port)
        self.address = '%s:%d' % self.server.sockets[0].getsockname()[:2]
        return self

    def set_mode(self, mode):
        self.mode = mode
        if mode == 'reset':
            for writer in tuple(self.writers):
                writer.transport.abort()

    async def _serve(self, reader, writer):
        if self.mode == 'reset':
            writer.transport.abort()
            return
        while self.mode == 'silent':
            await asyncio.sleep(0.05)
        host, _, port = self.target.rpartition(':')
        try:
            other_reader, other_writer = await asyncio.open_connection(
                host, int(port)
            )
        except OSError:
            writer.transport.abort()
            return
        self.writers |= {writer, other_writer}
        await asyncio.gather(
            self._forward(reader, other_writer, is_client=True),
            self._forward(other_reader, writer),
        )
        self.writers -= {writer, other_writer}

    async def _forward(self, reader, writer, is_client=False):
        is_silent = False
        try:
            while chunk := await reader.read(65536):
                if is_client:
                    self.used_at = asyncio.get_running_loop().time()
                is_silent = is_silent or self.mode == 'silent'
                if not is_silent:
                    writer.write(chunk)
                    await writer.drain()
        except OSError:
            pass
        if not is_silent:
            writer.close()


class Server:
    """A server of a service: slots, a queue, health, entries in the store.

    ``work`` is the seconds that a request takes. A request whose connection
    closes is dropped. ``runs`` has the start of each run, by request id.
    """

    def __init__(
        self, store, record, service, zone, work=0.05, slots=6, queue=24
    ):
        self.store = store
        self.record = record
        self.id = 'i-%08x' % random.SystemRandom().getrandbits(32)
        self.service = service
        self.zone = zone
        self.work = work
        self.slots = slots
        self.queue = queue
        self.state = 'ready'
        self.sequence = 0
        self.running = 0
        self.waiting = 0
        self.arrivals = []
        self.ended = {}
        self.free = asyncio.Semaphore(slots)
        self.tasks = set()
        self.writers = set()
        self.is_registered = False

    async def start(self, address=None):
        host, port = '127.0.0.1', 0
        if address:
            host, _, port = address.rpartition(':')
        self.server = await asyncio.start_server(self._serve, host, int(port))
        self.address = '%s:%d' % self.server.sockets[0].getsockname()[:2]
        return self

    def register(self):
        self.is_registered = True
        self.beats = asyncio.create_task(self._beat())
        self.write_entry()

    def write_entry(self):
        self.sequence += 1
        entry = {
            'Address': self.address,
            'ServerInfo': {
                'Service': self.service,
                'Version': 'v1',
                'Zone': self.zone,
                'Slots': self.slots,
            },
            'Status': {
                'State': self.state,
                'Sequence': self.sequence,
                'WarmupRemainingMs': 0,
            },
        }
        return self.store.put(
            'keyed.servers', self.id, json.dumps(entry).encode()
        )

    async def _beat(self):
        await asyncio.sleep(HEARTBEAT_S * random.random())
        while self.is_registered:
            self.write_entry()
            await asyncio.sleep(HEARTBEAT_S)

    def drain(self):
        """Report ``draining``; return the time of the acknowledgement."""
        self.state = 'draining'
        at = self.write_entry()
        self.record.write(f'server {self.id} is draining (acknowledged)')
        return at

    def unregister(self):
        """Remove the entry; return the time of the acknowledgement."""
        self.is_registered = False
        at = self.store.put('keyed.servers', self.id, b'')
        self.record.write(f'entry of server {self.id} removed (acknowledged)')
        return at

    def close(self):
        """End; connections in use are broken off."""
        self.is_registered = False
        self.server.close()
        for writer in tuple(self.writers):
            writer.transport.abort()
        self.record.write(f'server {self.id} has ended')

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while True:
                first, headers = await read_head(reader)
                body = await read_body(reader, headers)
                method, target, _ = first.split(' ')
                if target == '/health':
                    writer.write(self._health())
                    continue
                closed = asyncio.ensure_future(reader.read(1))
                answer = await self._answer(
                    method, target, headers, body, closed
                )
                if answer is None:
                    return
                # The client of this connection sends one request at a time.
                if not closed.done():
                    closed.cancel()
                    await asyncio.gather(closed, return_exceptions=True)
                writer.write(answer)
                await writer.drain()
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def load(self):
        return (
            'X-Crocusproxy-Server-Load',
            f'{self.running},{self.waiting},{self.slots},100',
        )

    def _health(self):
        return message(
            'HTTP/1.1 200 OK',
            [('X-Crocusproxy-Instance-Id', self.id), self.load()],
        )

    async def _answer(self, method, target, headers, body, closed):
        rid = headers.get(REQUEST_ID.lower(), '')
        expected = headers.get('x-crocusproxy-expected-instance', self.id)
        self.arrivals.append((rid, self.record.now(), method, target))
        self.record.write(f'{rid} reaches server {self.id} ({self.service})')
        if expected != self.id:
            return self._refusal('421 Misdirected Request', rid)
        if self.waiting >= self.queue:
            return self._refusal('503 Service Unavailable', rid)
        deadline = int(headers.get(DEADLINE.lower(), '60000')) / 1000
        self.waiting += 1
        run = asyncio.ensure_future(self._run(rid))
        done, _ = await asyncio.wait(
            {run, closed},
            timeout=deadline,
            return_when=asyncio.FIRST_COMPLETED,
        )
        if run in done:
            return self._success(rid, method, target, body)
        run.cancel()
        await asyncio.gather(run, return_exceptions=True)
        if closed in done:
            self.ended[rid] = 'dropped, its connection closed'
            self.record.write(f'{rid} dropped by server {self.id}: closed')
            return None
        self.ended[rid] = '504 deadline'
        self.record.write(f'{rid} ends at server {self.id}: 504 deadline')
        return message(
            'HTTP/1.1 504 Gateway Timeout',
            [(REQUEST_ID, rid), (SIGNATURE, 's'), self.load()],
        )

    async def _run(self, rid):
        is_waiting = True
        try:
            async with self.free:
                self.waiting -= 1
                is_waiting = False
                self.running += 1
                self.ended.setdefault(rid, 'running')
                self.record.write(f'{rid} runs at server {self.id}')
                try:
                    await asyncio.sleep(self.work)
                finally:
                    self.running -= 1
        finally:
            self.waiting -= is_waiting

    def _success(self, rid, method, target, body):
        self.ended[rid] = '200'
        self.record.write(f'{rid} ends at server {self.id}: 200')
        return message(
            'HTTP/1.1 200 OK',
            [(REQUEST_ID, rid), (SIGNATURE, f's.{self.id}'), self.load()],
            f'{self.id} {rid} {method} {target} {len(body)}'.encode(),
        )

    def _refusal(self, status, rid):
        return message(
            f'HTTP/1.1 {status}',
            [(REQUEST_ID, rid), ('X-Crocusproxy-Not-Executed', '1')],
        )


class Instance:
    """A process of the deploy file; ``ip`` is a loopback address of its own."""

    def __init__(self, bed, number, zone):
        self.bed = bed
        self.name = f'front-{number:02}'
        self.zone = zone
        self.ip = f'127.{bed.net}.0.{number}'
        self.process = None
        self.front = f'{self.ip}:{bed.port}'
        self.ready = f'{self.ip}:{bed.port + 1}'
        self.control = f'{self.ip}:{bed.port + 2}'
        self.directory = f'{self.ip}:{bed.port + 3}'
        self.settings_path = bed.folder / f'{self.name}.yaml'
        self.log_path = bed.folder / f'{self.name}.log'

    async def prepare(self):
        self.link = await Link(self.bed.store.address).start()

    def write_settings(self):
        bed = self.bed
        boot = {
            'Node': self.name,
            'Role': 'entry',
            'MachineClass': 'front',
            'Serves': ['front', 'control', 'directory'],
            'IpAddress': self.ip,
            'Zone': self.zone,
            'Region': REGION,
            'Listen': {
                'Front': self.front,
                'Ready': self.ready,
                'Control': self.control,
                'Directory': self.directory,
            },
            'InternalPorts': [bed.port + 10, bed.port + 25],
            'Seeds': [one.control for one in bed.instances[:3]],
            'Limits': {
                'CpuShare': 0.86,
                'Cores': 1,
                'MemoryMb': 300,
                'FdLimit': 4100,
                'LinkMbps': 1000.0,
            },
            'HeartbeatMs': int(HEARTBEAT_S * 1000),
            'Bounds': BOUNDS | bed.bounds,
            'Platform': {'Address': self.link.address},
        }
        template = (ROOT / bed.role['template']).read_text()
        self.settings_path.write_text(render(template, boot))

    def spawn(self):
        bed = self.bed
        self.write_settings()
        environment = {
            name: os.environ[name]
            for name in ('PATH', 'HOME', 'LANG')
            if name in os.environ
        }
        environment |= bed.role.get('env', {})
        environment['PYTHONPATH'] = str(ROOT / 'target' / 'deps')
        environment['CROCUSPROXY_BOOT'] = str(self.settings_path)
        with self.log_path.open('ab') as log:
            self.process = subprocess.Popen(
                shlex.split(bed.role['run']),
                cwd=ROOT,
                env=environment,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
                start_new_session=True,
            )
        bed.record.write(f'{self.name} started')

    def send_signal(self, number):
        self.process.send_signal(number)
        self.bed.record.write(f'{self.name} gets {signal.Signals(number).name}')

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()

    async def is_ready(self):
        try:
            async with asyncio.timeout(1):
                status, _, _ = await call(self.ready, '/-/readiness')
        except (OSError, TimeoutError, asyncio.IncompleteReadError):
            return False
        return status == 200


def render(template, fields):
    """Fill in the placeholders that the project's template uses."""

    def find(path, scope):
        found = scope
        for step in path.split('.'):
            if isinstance(found, list):
                found = found[int(step)] if int(step) < len(found) else None
            elif isinstance(found, dict):
                found = found.get(step)
            else:
                return None
        return found

    def section(match):
        chosen = find(match[1], fields)
        return '' if chosen is None else match[2].replace('{{.}}', str(chosen))

    def field(match):
        path, _, form = match[1].partition('|')
        chosen = find(path, fields)
        if form == 'json':
            return json.dumps(chosen)
        return '' if chosen is None else str(chosen)

    text = re.sub(r'\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}', section, template)
    return re.sub(r'\{\{([\w.|]+)\}\}', field, text)


async def call(address, path, method='GET', headers=(), body=b''):
    """Make one call on a new connection; return status, headers and body."""
    host, _, port = address.rpartition(':')
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(
            message(
                f'{method} {path} HTTP/1.1', [('Host', HOST), *headers], body
            )
        )
        first, answer_headers = await read_head(reader)
        answer = await read_body(reader, answer_headers)
        return int(first.split(' ')[1]), answer_headers, answer
    finally:
        writer.close()


class Bed:
    """Store, instances and servers of one case."""

    def __init__(self, folder, instance_zones, bounds):
        self.bounds = bounds
        deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
        (self.role,) = deploy['roles'].values()
        self.record = Record(folder)
        self.temporary = tempfile.TemporaryDirectory()
        self.folder = Path(self.temporary.name)
        self.net = random.SystemRandom().randint(16, 250)
        self.port = random.SystemRandom().randint(12_000, 30_000)
        self.store = Store(self.record)
        self.servers = []
        self.instances = []
        self.instances = [
            Instance(self, number + 1, zone)
            for number, zone in enumerate(instance_zones)
        ]
        self.version = 0
        self.request_count = 0
        self.tasks = []

    async def start(self, config):
        if not (ROOT / 'target/deps/crocusproxy').exists():
            raise CaseFailed('run the build of the deploy file first')
        await self.store.start()
        self.publish(config)
        for instance in self.instances:
            await instance.prepare()
        for instance in self.instances:
            instance.spawn()

    def publish(self, config):
        """Write the next version; return the time of the acknowledgement."""
        self.version += 3
        config = {'Version': f'{self.version:08x}', **config}
        at = self.store.put('keyed.op', 'config', json.dumps(config).encode())
        self.record.write(f'configuration {self.version} acknowledged')
        return at

    async def add_server(self, service, zone, register=True, **options):
        server = Server(self.store, self.record, service, zone, **options)
        await server.start()
        self.servers.append(server)
        if register:
            server.register()
        return server

    async def wait_ready(self, seconds=20):
        end = time.monotonic() + seconds
        for instance in self.instances:
            while not await instance.is_ready():
                if instance.process.poll() is not None:
                    raise CaseFailed(f'{instance.name} has ended')
                if time.monotonic() > end:
                    raise CaseFailed(f'{instance.name} is not ready')
                await asyncio.sleep(0.1)
        self.record.write('all instances are ready')

    async def resolve(self, zone, instance=None):
        """Return the address that the directory names for a zone."""
        for one in [instance] if instance else self.instances:
            if one.process.poll() is not None:
                continue
            try:
                async with asyncio.timeout(1):
                    status, _, body = await call(
                        one.directory,
                        f'/-/resolve?Name={HOST}&Region={REGION}&Zone={zone}',
                    )
            except (OSError, TimeoutError, asyncio.IncompleteReadError):
                continue
            if status == 200:
                return json.loads(body)['Addresses'][0]
        raise CaseFailed('no directory names an address')

    def instance_at(self, front):
        return next(one for one in self.instances if one.front == front)

    def reader(self):
        """Return the instance that reads the store."""
        return max(self.instances, key=lambda one: one.link.used_at)

    def new_id(self):
        self.request_count += 1
        return '%06x%010x' % (
            self.request_count,
            random.SystemRandom().getrandbits(40),
        )

    async def request(
        self,
        front,
        path,
        method='GET',
        deadline_ms=3000,
        rid=None,
        body=b'',
        headers=(),
    ):
        """Send a request on a new connection; return its id and the status.

        The status is 0 if the connection ended without a complete answer, and
        -1 if there was no connection.
        """
        rid = rid or self.new_id()
        self.record.write(f'{rid} sent to {front}: {method} {path}')
        headers = [
            (REQUEST_ID, rid),
            (DEADLINE, str(deadline_ms)),
            *headers,
        ]
        status = 0
        try:
            async with asyncio.timeout(deadline_ms / 1000 + 2):
                status, answer_headers, _ = await call(
                    front, path, method, headers, body
                )
                signed = SIGNATURE.lower() in answer_headers
                text = f'{status}{" of a server" if signed else ""}'
        except ConnectionRefusedError:
            status, text = -1, 'no connection'
        except (OSError, TimeoutError, asyncio.IncompleteReadError) as error:
            text = f'no complete answer ({type(error).__name__})'
        self.record.write(f'{rid} answered: {text}')
        return rid, status

    def arrivals(self):
        """Return (id, time, server) of all arrivals, by time."""
        found = [
            (rid, at, server)
            for server in self.servers
            for rid, at, *_ in server.arrivals
        ]
        return sorted(found, key=lambda arrival: arrival[1])

    async def stop(self):
        for instance in self.instances:
            instance.end()
        keep = os.environ.get('KEEP_LOGS')
        if keep:
            for instance in self.instances:
                if instance.log_path.exists():
                    target = Path(keep) / instance.log_path.name
                    target.write_bytes(instance.log_path.read_bytes())
        self.temporary.cleanup()


def config(routes, services=('alpha',), tenants=None):
    """Return a configuration without its version.

    ``routes`` are (path prefix, kind, service) with optional other fields.
    """
    document = {
        'Routes': [
            {
                'Name': f'r-{prefix.strip("/")}',
                'Host': HOST,
                'PathPrefix': prefix,
                'Kind': kind,
                'TimeoutMs': 3000,
                'TargetLatencyMs': 800,
                'Priority': 1,
                'Service': service,
                'Attempts': 2,
                **(more[0] if more else {}),
            }
            for prefix, kind, service, *more in routes
        ],
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
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 67108864,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
    }
    if tenants is not None:
        document['Tenants'] = tenants
    return document


def run_case(folder, zones, scenario, limit_s=110, bounds=None):
    """Run a scenario; exit with 1 if it returns faults, 0 if it held."""

    async def main():
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
        bed = Bed(folder, zones, bounds or {})
        bed.record.write(f'TROUBLE={int(TROUBLE)}')
        try:
            async with asyncio.timeout(limit_s):
                faults = await scenario(bed)
        finally:
            for task in bed.tasks:
                task.cancel()
            await bed.stop()
        for fault in faults:
            bed.record.write(f'BROKEN: {fault}')
        bed.record.write('the rule was broken' if faults else 'the rule held')
        return faults

    try:
        faults = asyncio.run(main())
    except (Exception, asyncio.CancelledError) as error:
        print(f'the case could not run: {error!r}')
        sys.exit(NOT_RUN)
    for fault in faults[:10]:
        print(f'BROKEN: {fault}')
    print(f'{len(faults)} faults')
    sys.exit(BROKEN if faults else HELD)
