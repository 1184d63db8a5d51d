"""Guards against failures of start, reload, failover and shutdown."""

import asyncio
import json
import os
import signal
import sys
import time
from pathlib import Path

import pytest

from standins.processes import free_ports
from standins.slot_server import SlotServer
from standins.store import StandInStore

from ..platform.test_wire import CONFIG

PORTS = ('callers', 'directory', 'readiness', 'control', 'internal', 'metrics')
RUN_ENTRY = (
    'import sys; from crocusproxy.entry.main import main; sys.exit(main())'
)


class Instance:
    """One ``crocus-entry`` process with its settings file."""

    def __init__(self, name, folder, store, ports):
        self.name = name
        self.path = Path(folder) / f'{name}.yaml'
        self.ports = dict(zip(PORTS, ports, strict=True))
        self.store = store
        self.source = None
        self.process = None

    def write(self, **changes):
        settings = {
            'instance': {'name': self.name, 'failure_domain': 'a'},
            **{name: f'127.0.0.1:{port}' for name, port in self.ports.items()},
            'store': self.store.address,
            'source': self.source,
            'bounds': {'shutdown': '3s'},
            **changes,
        }
        self.path.write_text(json.dumps(settings))

    async def start(self):
        self.write()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-c',
            RUN_ENTRY,
            env={**os.environ, 'CROCUSPROXY_BOOT': str(self.path)},
            stdout=asyncio.subprocess.PIPE,
            stderr=asyncio.subprocess.STDOUT,
        )

    async def get(self, port, path, headers=''):
        reader, writer = await asyncio.open_connection(
            '127.0.0.1', self.ports[port]
        )
        writer.write(
            f'GET {path} HTTP/1.1\r\nHost: a.example\r\n{headers}'
            'Connection: close\r\n\r\n'.encode()
        )
        response = await reader.read()
        writer.close()
        head, _, body = response.partition(b'\r\n\r\n')
        return int(head.split()[1]), body

    async def send_request(self, request_id):
        return await self.get(
            'callers',
            '/y/1',
            f'X-Crocusproxy-Request-Id: {request_id}\r\n'
            'X-Crocusproxy-Deadline-Milliseconds: 900\r\n',
        )

    async def addresses(self):
        status, body = await self.get('directory', '/-/resolve?Name=a.example')
        return json.loads(body)['Addresses'] if status == 200 else []

    async def until_ready(self):
        async with asyncio.timeout(20):
            while True:
                try:
                    if (await self.get('readiness', '/-/readiness'))[0] == 200:
                        return
                except OSError:
                    pass
                await asyncio.sleep(0.05)

    async def finish(self):
        if self.process.returncode is None:
            self.process.kill()
        output, _ = await self.process.communicate()
        return output.decode()


def publish(store, version):
    publish_config(store, version, CONFIG)


def publish_config(store, version, document):
    store.put(
        'keyed.op',
        'config',
        json.dumps({**document, 'Version': f'{version:08x}'}).encode(),
    )


def register(store, server, service, sequence=1):
    entry = {
        'Address': server.address,
        'ServerInfo': {
            'Service': service,
            'Version': 'v1',
            'Zone': 'a',
            'Slots': server.slots,
        },
        'Status': {
            'State': 'ready',
            'Sequence': sequence,
            'WarmupRemainingMs': 0,
        },
        'born': 1700000000000,
    }
    store.put('keyed.servers', server.key, json.dumps(entry).encode())


def run_instances(tmp_path, scenario, count=1):
    """Run ``scenario`` and return the log lines of each instance."""

    async def run():
        store = await StandInStore().start()
        servers = [await SlotServer(f'i-{n}').start() for n in (1, 2)]
        store.first_servers = servers
        publish(store, 1)
        for server, service in zip(servers, ('s1', 's2'), strict=True):
            register(store, server, service)
        # One call, as two calls may return the same port.
        ports = free_ports(count * len(PORTS))
        instances = [
            Instance(f'n{number}', tmp_path, store, ports[number::count])
            for number in range(count)
        ]
        outputs = []
        for number, instance in enumerate(instances):
            instance.source = f'127.0.1.{number + 1}'
        try:
            for instance in instances:
                await instance.start()
            for instance in instances:
                await instance.until_ready()
            await scenario(store, *instances)
        finally:
            outputs = [await instance.finish() for instance in instances]
            for server in servers:
                server.stop()
            await store.stop()
        return [
            [json.loads(line) for line in output.splitlines()]
            for output in outputs
        ]

    return asyncio.run(run())


def test_process_serves_a_request_and_exits_after_sigterm(tmp_path):
    async def scenario(store, instance):
        assert (await instance.send_request('r1'))[0] == 200
        assert (await instance.get('metrics', '/metrics'))[0] == 200
        instance.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        assert (await instance.get('readiness', '/-/readiness'))[0] == 503
        assert (await instance.send_request('r2'))[0] == 200
        assert await asyncio.wait_for(instance.process.wait(), 4) == 0

    (lines,) = run_instances(tmp_path, scenario)
    events = [line['message_type'] for line in lines]
    assert events[-1] == 'stopped'
    assert 'call_ended' in events


def test_sighup_reloads_settings_and_ignores_an_invalid_file(tmp_path):
    async def scenario(store, instance):
        instance.write(validity='2s')
        instance.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        _, body = await instance.get('directory', '/-/resolve?Name=a')
        assert json.loads(body)['TtlS'] == 2
        instance.path.write_text('{')
        instance.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        assert (await instance.send_request('r1'))[0] == 200

    (lines,) = run_instances(tmp_path, scenario)
    events = [line['message_type'] for line in lines]
    assert 'settings_reloaded' in events
    assert 'settings_rejected' in events


def test_new_home_has_the_latest_configuration(tmp_path):
    async def scenario(store, instance, other):
        (home,) = await instance.addresses()
        assert await other.addresses() == [home]
        assert (await other.send_request('r1'))[0] == 200
        publish(store, 5)
        await asyncio.sleep(0.3)
        home_instance = (
            instance if str(instance.ports['callers']) in home else other
        )
        follower = other if home_instance is instance else instance
        home_instance.process.kill()
        async with asyncio.timeout(8):
            while await follower.addresses() == [home]:
                await asyncio.sleep(0.05)
        assert (await follower.send_request('r2'))[0] == 200

    outputs = run_instances(tmp_path, scenario, count=2)
    versions = [
        line['version']
        for lines in outputs
        for line in lines
        if line['message_type'] == 'route_config_in_force'
    ]
    assert sorted(versions) == [1, 1, 5, 5]


def test_requests_are_served_while_the_store_is_restored(tmp_path):
    """A configuration of the copy, or a lost list, would cost requests."""

    async def scenario(store, instance, other):
        copy = store.copy()
        publish(store, 5)
        await asyncio.sleep(0.3)
        store.is_unavailable = True
        await asyncio.sleep(0.3)
        store.restore(copy)
        store.is_unavailable = False
        for number in range(20):
            one = (instance, other)[number % 2]
            assert (await one.send_request(f'r{number}'))[0] == 200
            await asyncio.sleep(0.1)
        publish(store, 7)
        await asyncio.sleep(0.5)

    outputs = run_instances(tmp_path, scenario, count=2)
    for lines in outputs:
        versions = [
            line['version']
            for line in lines
            if line['message_type'] == 'route_config_in_force'
        ]
        assert versions == [1, 5, 7]
        (restored,) = [
            line for line in lines if line['message_type'] == 'store_restored'
        ]
        assert (restored['previous'], restored['incarnation']) == (1, 2)


def test_store_call_rate_is_independent_of_the_instance_count(tmp_path):
    async def scenario(store, *instances):
        calls_before = store.calls
        started_at = time.monotonic()
        await asyncio.sleep(2)
        rate = (store.calls - calls_before) / (time.monotonic() - started_at)
        assert rate < 4

    run_instances(tmp_path, scenario, count=4)


@pytest.mark.parametrize(
    ('content', 'fault'),
    [
        ('{}', 'instance'),
        ('instance: {name: a, failure_domain: b}\ncallers: here', 'callers'),
    ],
)
def test_invalid_settings_exit_with_a_line_per_fault(tmp_path, content, fault):
    path = tmp_path / 'bad.yaml'
    path.write_text(content)

    async def run():
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-c',
            RUN_ENTRY,
            env={**os.environ, 'CROCUSPROXY_BOOT': str(path)},
            stderr=asyncio.subprocess.PIPE,
        )
        _, errors = await process.communicate()
        return process.returncode, errors.decode()

    code, errors = asyncio.run(run())
    assert code == 2
    assert fault in errors
