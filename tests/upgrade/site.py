"""A site whose instances run two builds, its upstreams and its callers."""

import asyncio
import json
import os
import signal
import sys
from itertools import count
from random import Random

from standins.processes import free_ports
from standins.slot_server import SlotServer
from standins.store import StandInStore

from ..entry.test_process import PORTS, RUN_ENTRY, Instance
from .builds import SYSTEM

HOST = 'a.example'
#: The last of five instances of a failure domain follows its domain home and
#: not the home itself.
DOMAINS = ('a', 'b', 'a', 'b', 'b', 'b', 'b')
#: With fewer slots of a service in each failure domain, there are no domain
#: homes.
SLOTS = 32
CALLERS = 6
PAUSE_SECONDS = (0.01, 0.04)
#: Share of requests for which a caller does not ask the directory first.
FORWARDED_SHARE = 0.3
VALIDITY_SECONDS = 0.5
#: Longer than the host may leave a process without a core.
TIMEOUT_MS = 1500
SETTLE_SECONDS = 3.0
#: A request has ended long before.
MAX_REQUEST_SECONDS = 10.0
SETTINGS = {
    'bounds': {'shutdown': '2s'},
    'validity': f'{VALIDITY_SECONDS}s',
}


class Replaceable(Instance):
    """An instance whose process may run either build; logs go to files."""

    def __init__(self, name, folder, store, ports, domain):
        super().__init__(name, folder, store, ports)
        self.domain = domain
        self.seeds = ()
        self.logs = []
        self.build = None
        self.is_replaced = False

    def write(self, **changes):
        super().write(
            instance={'name': self.name, 'failure_domain': self.domain},
            seeds=self.seeds,
            **SETTINGS,
        )

    async def start_build(self, build):
        self.build = build
        self.write()
        self.logs.append(self.path.with_suffix(f'.{len(self.logs)}.log'))
        with self.logs[-1].open('wb') as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                '-c',
                RUN_ENTRY,
                env={
                    **os.environ,
                    **SYSTEM['roles']['entry']['env'],
                    'PYTHONPATH': str(build),
                    'CROCUSPROXY_BOOT': str(self.path),
                },
                stdout=log,
                stderr=asyncio.subprocess.STDOUT,
            )

    async def replace(self, build):
        """End the process as the platform does and start one of ``build``."""
        self.is_replaced = True
        self.process.send_signal(signal.SIGTERM)
        assert await asyncio.wait_for(self.process.wait(), 4) == 0
        await self.start_build(build)
        await self.until_ready()
        self.is_replaced = False

    @property
    def callers(self):
        return f'127.0.0.1:{self.ports["callers"]}'

    async def resolve(self, domain):
        """Return the address for callers of a failure domain, if any."""
        query = f'/-/resolve?Name=a&Zone={domain}'
        status, body = await self.get('directory', query)
        addresses = json.loads(body)['Addresses'] if status == 200 else ()
        return addresses[0] if addresses else ''

    def events(self, log=-1):
        """Return the log lines of a process, the latest one by default."""
        lines = self.logs[log].read_text().splitlines()
        return [json.loads(line) for line in lines if line.startswith('{')]

    def home(self):
        """Return the name of the home that this instance follows or is."""
        for line in reversed(self.events()):
            if line['message_type'] == 'home_taken_over':
                return self.name
            if line['message_type'] == 'home_followed':
                return line['home']
        return ''

    async def gauge(self, name):
        _, body = await self.get('metrics', '/metrics')
        (line,) = [
            line
            for line in body.decode().splitlines()
            if line.startswith(f'{name} ')
        ]
        return float(line.split()[1])


class Site:
    """Two failure domains; a caller has a key of the account ``main``."""

    def __init__(self, folder, build):
        self.folder = folder
        self.build = build
        self.store = StandInStore()
        self.random = Random(1)
        self.version = 0
        self.key = ''
        self.servers = {}
        self.started_at = count(1700000000000)
        self.request_numbers = count()
        self.instances = []
        self.outcomes = {}
        self.callers = []
        self.is_stopping = False

    async def start(self):
        await self.store.start()
        self.publish()
        ports = free_ports(len(DOMAINS) * len(PORTS))
        for number, domain in enumerate(DOMAINS):
            instance = Replaceable(
                f'n{number}',
                self.folder,
                self.store,
                ports[number :: len(DOMAINS)],
                domain,
            )
            self.instances.append(instance)
        seeds = [f'127.0.0.1:{one.ports["control"]}' for one in self.instances]
        for instance in self.instances:
            instance.source = f'127.0.1.{int(instance.name[1:]) + 1}'
            instance.seeds = seeds[:3]
        # The first instance becomes home, so that the order of homes is known.
        for group in (self.instances[:1], self.instances[1:]):
            for instance in group:
                await instance.start_build(self.build)
            for instance in group:
                await instance.until_ready()
        # With upstreams listed earlier, the domain homes would be those that
        # happen to be ready first.
        for domain in 'ab':
            for number in (1, 2):
                await self.add_server(f's1-{domain}{number}', 's1', domain, 16)
            await self.add_server(f's2-{domain}', 's2', domain, SLOTS)
        await self.until(self.is_split, 'no domain homes')
        self.callers = [
            asyncio.create_task(self.call_steadily('ab'[number % 2]))
            for number in range(CALLERS)
        ]

    async def stop(self):
        """Let the callers finish their requests, and kill all instances.

        A request in flight at a home that is killed would be a lost forward.
        """
        self.is_stopping = True
        if self.callers:
            await asyncio.wait(self.callers, timeout=MAX_REQUEST_SECONDS)
        for caller in self.callers:
            caller.cancel()
        for instance in self.instances:
            if instance.process and instance.process.returncode is None:
                instance.process.kill()
                await instance.process.wait()
        for server in self.servers.values():
            server.stop()
        await self.store.stop()

    async def add_server(self, key, service, domain, slots):
        """Start and list an upstream, in place of an earlier one if any.

        Return the time of its start.
        """
        server = await SlotServer(key, slots=slots, work=0.01).start()
        earlier = self.servers.get(key)
        server.runs = earlier.runs if earlier else []
        self.servers[key] = server
        started_at = next(self.started_at)
        entry = {
            'Address': server.address,
            'ServerInfo': {
                'Service': service,
                'Version': 'v1',
                'Zone': domain,
                'Slots': slots,
            },
            'Status': {'State': 'ready', 'Sequence': 1, 'WarmupRemainingMs': 0},
            'born': started_at,
        }
        self.store.put('keyed.servers', key, json.dumps(entry).encode())
        return started_at

    def publish(self):
        """Publish a version that adds a key of the account and removes one.

        Callers use the key that this version and the one before have.
        """
        self.version += 1
        self.key = f'key-{self.version - 1}'
        routes = [
            {
                'Name': prefix,
                'Host': HOST,
                'PathPrefix': f'/{prefix}/',
                'Kind': kind,
                'TimeoutMs': TIMEOUT_MS,
                'TargetLatencyMs': 200,
                'Priority': 1,
                'Service': service,
                'Attempts': 2,
            }
            for prefix, kind, service in (
                ('safe', 'safe', 's1'),
                ('once', 'unsafe', 's1'),
                ('held', 'unsafe', 's2'),
            )
        ]
        keys = [self.key, f'key-{self.version}']
        config = {
            'Version': f'{self.version:08x}',
            'Routes': routes,
            'Services': [
                {
                    'Name': name,
                    'HealthCheckPath': '/health',
                    'MaxConnections': 220,
                }
                for name in ('s1', 's2')
            ],
            'Limits': {
                'MaxHeaderBytes': 16384,
                'MaxBodyBytes': 1000,
                'HeaderTimeoutMs': 3000,
                'IdleTimeoutMs': 15000,
            },
            'Tenants': [
                {
                    'Name': 'main',
                    'ApiKeys': keys,
                    'RatePerS': 1000,
                    'Burst': 1000,
                }
            ],
        }
        self.store.put('keyed.op', 'config', json.dumps(config).encode())

    def find(self, name):
        """Return the instance with this name."""
        (instance,) = [one for one in self.instances if one.name == name]
        return instance

    def present(self):
        """Return the instances that are not being replaced."""
        return [one for one in self.instances if not one.is_replaced]

    async def call_steadily(self, domain):
        while not self.is_stopping:
            await asyncio.sleep(self.random.uniform(*PAUSE_SECONDS))
            address = await self.choose_address(domain)
            kind = self.random.choice(('safe', 'once'))
            request_id = f'{kind}-{next(self.request_numbers)}'
            self.outcomes[request_id] = await self.request(
                address, f'/{kind}/', request_id
            )

    async def choose_address(self, domain):
        instance = self.random.choice(self.present())
        if self.random.random() >= FORWARDED_SHARE:
            return await instance.resolve(domain) or instance.callers
        return instance.callers

    async def is_split(self):
        """Return whether the failure domains have homes of their own."""
        homes = {
            domain: {await one.resolve(domain) for one in self.instances}
            for domain in 'ab'
        }
        sizes = [len(addresses) for addresses in homes.values()]
        return sizes == [1, 1] and homes['a'] != homes['b']

    async def dispatcher_of(self, domain):
        """Return the instance that dispatches, once all name the same one."""
        found = set()

        async def is_agreed():
            found.clear()
            for instance in self.instances:
                found.add(await instance.resolve(domain))
            return len(found) == 1

        await self.until(is_agreed, f'{found} dispatch for {domain}')
        (one,) = [one for one in self.instances if one.callers in found]
        return one

    async def request(self, address, path, request_id, key=None):
        """Return the status and body of a response, or the failure."""
        host, _, port = address.rpartition(':')
        method = 'GET' if path == '/safe/' else 'POST'
        key = self.key if key is None else key
        try:
            reader, writer = await asyncio.open_connection(host, port)
            writer.write(
                f'{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n'
                f'X-Crocusproxy-Request-Id: {request_id}\r\n'
                f'X-Crocusproxy-Deadline-Milliseconds: {TIMEOUT_MS}\r\n'
                f'Authorization: Bearer {key}\r\n'
                'Content-Length: 0\r\nConnection: close\r\n\r\n'.encode()
            )
            response = await reader.read()
            writer.close()
        except OSError as error:
            return repr(error)
        head, _, body = response.partition(b'\r\n\r\n')
        return head.decode().partition('\r\n')[0], body.decode()

    async def until(self, condition, description):
        """Return once ``condition`` holds; fail after some seconds."""
        try:
            async with asyncio.timeout(SETTLE_SECONDS):
                while not await condition():
                    await asyncio.sleep(0.05)
        except TimeoutError:
            raise AssertionError(description) from None
