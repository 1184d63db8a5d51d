"""Guards against programs that fail to start, fail over or stop."""

import json
import signal
import subprocess
import sys
import time
from contextlib import ExitStack
from pathlib import Path
from urllib.error import URLError
from urllib.request import Request, urlopen

import pytest
from aiohttp.test_utils import unused_port

PROGRAMS = Path(sys.executable).parent
EXAMPLE = 'examples/redaccion.yaml'
TIMEOUT_SECONDS = 20
SETTINGS = """
instance: {{name: {name}, failure_domain: mza-centro}}
listen: {{host: 127.0.0.1, port: {port}}}
platform: {{address: '127.0.0.1:{platform}', retention: 1h}}
peers: {peers}
"""


@pytest.fixture
def stack():
    with ExitStack() as processes:
        yield processes


def start(stack, *command):
    process = subprocess.Popen(command, stderr=subprocess.DEVNULL)
    stack.callback(process.wait)
    stack.callback(process.kill)
    return process


def get(port, path, body=None):
    data = None if body is None else json.dumps(body).encode()
    headers = {'Content-Type': 'application/json'}
    request = Request(f'http://127.0.0.1:{port}{path}', data, headers)
    with urlopen(request, timeout=TIMEOUT_SECONDS) as response:
        return json.load(response)


def wait_for(condition):
    """Retry until the condition holds; processes take time to start."""
    end = time.monotonic() + TIMEOUT_SECONDS
    while time.monotonic() < end:
        try:
            if condition():
                return
        except URLError:
            pass
        time.sleep(0.05)
    raise AssertionError('not reached in time')


def crocusctl(*arguments):
    command = (PROGRAMS / 'crocusctl', *arguments, '--json')
    completed = subprocess.run(
        command, capture_output=True, timeout=TIMEOUT_SECONDS
    )
    return completed.returncode, json.loads(completed.stdout)


def test_a_publication_survives_an_outage_and_a_replaced_instance(
    stack, tmp_path
):
    platform = unused_port()
    start(
        stack, sys.executable, '-m', 'standins.platform', f'--port={platform}'
    )
    wait_for(lambda: get(platform, '/stats'))

    def daemon(name, peers=()):
        port = unused_port()
        file = tmp_path / f'{name}.yaml'
        text = SETTINGS.format(
            name=name, port=port, platform=platform, peers=json.dumps(peers)
        )
        file.write_text(text)
        return port, start(stack, PROGRAMS / 'crocus-config', str(file))

    port, process = daemon('one')
    wait_for(lambda: get(port, '/healthz'))
    with pytest.raises(URLError):
        get(port, '/readyz')
    code, accepted = crocusctl(
        'publish', EXAMPLE, '--platform', f'127.0.0.1:{platform}'
    )
    assert (code, accepted['generation']) == (0, 1)
    wait_for(lambda: get(port, '/readyz') == {'not_ready': []})

    get(platform, '/faults', {'outage': True})
    other, replacement = daemon('two', [f'127.0.0.1:{port}'])
    wait_for(lambda: get(other, '/readyz') == {'not_ready': []})
    process.send_signal(signal.SIGTERM)
    assert process.wait(TIMEOUT_SECONDS) == 0
    code, shown = crocusctl('show', '--config', f'127.0.0.1:{other}')
    assert (code, shown['generation']) == (0, 1)
    assert len(shown['upstreams']) == 4
    replacement.send_signal(signal.SIGTERM)
    assert replacement.wait(TIMEOUT_SECONDS) == 0
