"""Guards against a process that doesn't start, reload, hand over or end."""

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
RUN = 'import sys; from crocusproxy.entry.main import main; sys.exit(main())'


class Instance:
    """One ``crocus-entry`` process with settings of its own."""

    def __init__(self, name, folder, store):
        self.name = name
        self.path = Path(folder) / f'{name}.yaml'
        self.ports = dict(zip(PORTS, free_ports(len(PORTS)), strict=True))
        self.store = store
        self.process = None

    def write(self, **changes):
        settings = {
            'instance': {'name': self.name, 'failure_domain': 'a'},
            **{name: f'127.0.0.1:{port}' for name, port in self.ports.items()},
            'store': self.store.address,
            'bounds': {'shutdown': '3s'},
            **changes,
        }
        self.path.write_text(json.dumps(settings))

    async def start(self):
        self.write()
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-c',
            RUN,
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
        answer = await reader.read()
        writer.close()
        head, _, body = answer.partition(b'\r\n\r\n')
        return int(head.split()[1]), body

    async def ask(self, request_id):
        return await self.get(
            'callers',
            '/y/1',
            f'X-Crocusproxy-Request-Id: {request_id}\r\n'
            'X-Crocusproxy-Deadline-Milliseconds: 900\r\n',
        )

    async def home(self):
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

    async def end(self):
        if self.process.returncode is None:
            self.process.kill()
        output, _ = await self.process.communicate()
        return output.decode()


def publish(store, version):
    store.put(
        'keyed.op',
        'config',
        json.dumps({**CONFIG, 'Version': f'{version:08x}'}).encode(),
    )


def register(store, server, service):
    entry = {
        'Address': server.address,
        'ServerInfo': {
            'Service': service,
            'Version': 'v1',
            'Zone': 'a',
            'Slots': server.slots,
        },
        'Status': {'State': 'ready', 'Sequence': 1, 'WarmupRemainingMs': 0},
        'born': 1700000000000,
    }
    store.put('keyed.servers', server.key, json.dumps(entry).encode())


def play(tmp_path, scenario, count=1):
    async def run():
        store = await StandInStore().start()
        servers = [await SlotServer(f'i-{n}').start() for n in (1, 2)]
        publish(store, 1)
        for server, service in zip(servers, ('s1', 's2'), strict=True):
            register(store, server, service)
        names = [f'n{number}' for number in range(count)]
        instances = [Instance(name, tmp_path, store) for name in names]
        outputs = []
        try:
            for instance in instances:
                await instance.start()
            for instance in instances:
                await instance.until_ready()
            await scenario(store, *instances)
        finally:
            outputs = [await instance.end() for instance in instances]
            for server in servers:
                server.stop()
            await store.stop()
        return [
            [json.loads(line) for line in output.splitlines()]
            for output in outputs
        ]

    return asyncio.run(run())


def test_request_is_served_and_the_process_ends_by_itself(tmp_path):
    async def scenario(store, one):
        assert (await one.ask('r1'))[0] == 200
        assert (await one.get('metrics', '/metrics'))[0] == 200
        one.process.send_signal(signal.SIGTERM)
        await asyncio.sleep(0.3)
        assert (await one.get('readiness', '/-/readiness'))[0] == 503
        assert (await one.ask('r2'))[0] == 200
        assert await asyncio.wait_for(one.process.wait(), 4) == 0

    (lines,) = play(tmp_path, scenario)
    events = [line['message_type'] for line in lines]
    assert events[-1] == 'stopped'
    assert 'call_ended' in events


def test_settings_are_read_again_and_a_bad_file_changes_nothing(tmp_path):
    async def scenario(store, one):
        one.write(validity='2s')
        one.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        _, body = await one.get('directory', '/-/resolve?Name=a')
        assert json.loads(body)['TtlS'] == 2
        one.path.write_text('{')
        one.process.send_signal(signal.SIGHUP)
        await asyncio.sleep(0.3)
        assert (await one.ask('r1'))[0] == 200

    (lines,) = play(tmp_path, scenario)
    events = [line['message_type'] for line in lines]
    assert 'settings_reloaded' in events
    assert 'settings_rejected' in events


def test_another_instance_takes_over_and_knows_the_configuration(tmp_path):
    async def scenario(store, one, other):
        (home,) = await one.home()
        assert await other.home() == [home]
        assert (await other.ask('r1'))[0] == 200
        publish(store, 5)
        await asyncio.sleep(0.3)
        first = one if str(one.ports['callers']) in home else other
        second = other if first is one else one
        first.process.kill()
        async with asyncio.timeout(8):
            while await second.home() == [home]:
                await asyncio.sleep(0.05)
        assert (await second.ask('r2'))[0] == 200

    outputs = play(tmp_path, scenario, count=2)
    versions = [
        line['version']
        for lines in outputs
        for line in lines
        if line['message_type'] == 'route_config_in_force'
    ]
    assert sorted(versions) == [1, 1, 5, 5]


def test_calls_to_the_store_do_not_grow_with_the_instances(tmp_path):
    async def scenario(store, *instances):
        before = store.calls
        began = time.monotonic()
        await asyncio.sleep(2)
        rate = (store.calls - before) / (time.monotonic() - began)
        assert rate < 4

    play(tmp_path, scenario, count=4)


@pytest.mark.parametrize(
    ('content', 'fault'),
    [
        ('{}', 'instance'),
        ('instance: {name: a, failure_domain: b}\ncallers: here', 'callers'),
    ],
)
def test_bad_settings_end_with_a_line_per_fault(tmp_path, content, fault):
    path = tmp_path / 'bad.yaml'
    path.write_text(content)

    async def run():
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            '-c',
            RUN,
            env={**os.environ, 'CROCUSPROXY_BOOT': str(path)},
            stderr=asyncio.subprocess.PIPE,
        )
        _, errors = await process.communicate()
        return process.returncode, errors.decode()

    code, errors = asyncio.run(run())
    assert code == 2
    assert fault in errors
