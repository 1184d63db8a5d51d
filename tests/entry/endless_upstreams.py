"""Upstreams that send bytes without end, and the memory that this takes.

The upstreams run in threads, as their sends must not wait for callers in the
event loop of the test.
"""

import asyncio
import os
import socket
import sys
import threading
from collections import Counter
from pathlib import Path

from standins.processes import free_ports
from standins.slot_server import REQUEST_ID, SIGNATURE, SlotServer
from standins.store import StandInStore

from .test_process import (
    PORTS,
    RUN_ENTRY,
    Instance,
    publish_config,
    register,
)

MIB = 1024 * 1024
BLOCK = b'x' * 65536
#: Without the id of the request, it would be skipped as one to another request.
SIGNED = f'HTTP/1.1 200 OK\r\n{SIGNATURE}: s\r\n{REQUEST_ID}: %b\r\n'.encode()
#: The first bytes of a response and those that follow without end.
FORMS = {
    'chunks': (
        SIGNED + b'Transfer-Encoding: chunked\r\n\r\n',
        b'10000\r\n' + BLOCK + b'\r\n',
    ),
    'small chunks': (
        SIGNED + b'Transfer-Encoding: chunked\r\n\r\n',
        b'1\r\nx\r\n' * 10000,
    ),
    'no length': (SIGNED + b'\r\n', BLOCK),
    'encoded': (SIGNED + b'Content-Encoding: gzip\r\n\r\n', BLOCK),
    'false length': (SIGNED + b'Content-Length: 99999999999\r\n\r\n', BLOCK),
    'head': (b'HTTP/1.1 200 OK\r\n', b'X-More: ' + b'y' * 1000 + b'\r\n'),
}
ID_PREFIX = f'{REQUEST_ID}: '.encode()
ROUTES = (('/safe/', 'safe'), ('/once/', 'unsafe'))
DEADLINE_MS = 3000
#: Status of a request whose deadline has passed.
LATE = 504
REQUEST_INTERVAL_SECONDS = 0.05


class EndlessUpstream:
    """Answers each request, health checks excepted, without end."""

    def __init__(self, key, form, slots):
        self.key = key
        self.slots = slots
        self.first, self.block = FORMS[form]
        self.request_count = 0
        self.request_ids = set()
        self.sockets = set()
        self.listener = socket.create_server(('127.0.0.1', 0))
        self.address = f'127.0.0.1:{self.listener.getsockname()[1]}'

    def start(self):
        threading.Thread(target=self.accept, daemon=True).start()

    def accept(self):
        while True:
            try:
                connection, _ = self.listener.accept()
            except OSError:
                return
            self.sockets.add(connection)
            threading.Thread(
                target=self.serve, args=(connection,), daemon=True
            ).start()

    def serve(self, connection):
        try:
            while head := connection.recv(65536):
                self.respond(connection, head)
        except OSError:
            self.sockets.discard(connection)
            connection.close()

    def respond(self, connection, head):
        if b' /health ' in head:
            connection.sendall(b'HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n')
            return
        self.request_count += 1
        request_id = head.split(ID_PREFIX)[1].split(b'\r\n')[0]
        self.request_ids.add(request_id.decode())
        connection.sendall(self.first.replace(b'%b', request_id))
        while True:
            connection.sendall(self.block)

    def stop(self):
        self.listener.close()
        for connection in tuple(self.sockets):
            connection.close()


class LoggingInstance(Instance):
    """Writes its log to a file: a pipe that nobody reads would stop it."""

    async def start(self):
        self.write()
        with self.log_path.open('wb') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-c',
                RUN_ENTRY,
                env={**os.environ, 'CROCUSPROXY_BOOT': str(self.path)},
                stdout=log,
                stderr=log,
            )

    @property
    def log_path(self):
        return self.path.with_suffix('.log')

    async def finish(self):
        if self.process.returncode is None:
            self.process.kill()
        await self.process.wait()
        return self.log_path.read_text()


class MemorySystem:
    """Instances with endless and sound upstreams of one service."""

    def __init__(self, folder, form, endless_count, count=4, sound_count=1):
        ports = free_ports(count * len(PORTS))
        self.store = StandInStore()
        self.instances = [
            LoggingInstance(
                f'n{number}', folder, self.store, ports[number::count]
            )
            for number in range(count)
        ]
        self.endless = [
            EndlessUpstream(f'endless-{number}', form, slots=8)
            for number in range(endless_count)
        ]
        self.sound = [
            SlotServer(f'sound-{number}', slots=8, work=0.01)
            for number in range(sound_count)
        ]
        self.statuses = Counter()
        self.late_ids = set()
        self.outputs = []
        self.peaks_before = []
        #: Largest growth of an instance, in bytes, after the end.
        self.growth_bytes = 0

    async def __aenter__(self):
        await self.store.start()
        publish_config(self.store, 1, config())
        for upstream in self.endless:
            upstream.start()
        for upstream in self.sound:
            await upstream.start()
        for upstream in (*self.endless, *self.sound):
            register(self.store, upstream, 's')
        for number, instance in enumerate(self.instances):
            instance.source = f'127.0.1.{number + 1}'
            await instance.start()
        for instance in self.instances:
            await instance.until_ready()
        self.peaks_before = [peak_bytes(one) for one in self.instances]
        return self

    async def __aexit__(self, *error):
        self.growth_bytes = self.growth()
        self.outputs = [await one.finish() for one in self.instances]
        for upstream in (*self.endless, *self.sound):
            upstream.stop()
        await self.store.stop()

    def growth(self):
        """Return the largest growth of an instance since the start."""
        peaks = [peak_bytes(one) for one in self.instances]
        return max(
            peak - before
            for peak, before in zip(peaks, self.peaks_before, strict=True)
        )

    async def measure(self, seconds):
        """Send requests for some time; return the largest growth in bytes."""
        loop = asyncio.get_running_loop()
        end = loop.time() + seconds
        async with asyncio.TaskGroup() as group:
            while loop.time() < end:
                for instance in self.instances:
                    for prefix, _ in ROUTES:
                        group.create_task(self.count_request(instance, prefix))
                await asyncio.sleep(REQUEST_INTERVAL_SECONDS)
        return self.growth()

    async def count_request(self, instance, prefix):
        try:
            status, _ = await self.send(instance, prefix)
        except (OSError, IndexError):
            status = 'lost'
        self.statuses[status] += 1

    async def send(self, instance, prefix):
        """Send a request and return the status and the body."""
        request_id = f'r{self.statuses["sent"]}'
        self.statuses['sent'] += 1
        status, body = await instance.get(
            'callers',
            f'{prefix}x',
            f'X-Crocusproxy-Request-Id: {request_id}\r\n'
            f'X-Crocusproxy-Deadline-Milliseconds: {DEADLINE_MS}\r\n',
        )
        if status == LATE:
            self.late_ids.add(request_id)
        return status, body


def config():
    """Return a configuration with a service for safe and unsafe requests."""
    return {
        'Routes': [
            {
                'Name': f'r-{kind}',
                'Host': 'a.example',
                'PathPrefix': prefix,
                'Kind': kind,
                'TimeoutMs': DEADLINE_MS,
                'TargetLatencyMs': 800,
                'Priority': 1,
                'Service': 's',
                'Attempts': 2,
            }
            for prefix, kind in ROUTES
        ],
        'Services': [
            {'Name': 's', 'HealthCheckPath': '/health', 'MaxConnections': 220}
        ],
        'Limits': {
            'MaxHeaderBytes': 16384,
            'MaxBodyBytes': 67108864,
            'HeaderTimeoutMs': 3000,
            'IdleTimeoutMs': 15000,
        },
    }


def peak_bytes(instance):
    """Return the most resident memory that a process has had."""
    text = Path(f'/proc/{instance.process.pid}/status').read_text()
    (line,) = [one for one in text.splitlines() if one.startswith('VmHWM')]
    return int(line.split()[1]) * 1024
