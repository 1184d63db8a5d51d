"""Settings files, configuration and addresses of the demo."""

import hashlib
from dataclasses import dataclass
from pathlib import Path

import yaml

from .processes import free_ports

DOMAINS = ('mza-centro', 'sjuan-norte', 'slu-oeste')
SERVICE = 'redaccion'
SLOTS = 2
SERVICE_MS = 20
PROBES_PER_SECOND = 2
#: Short, so that callers turn to other homes within the demo.
VALIDITY = '1s'
OPERATOR = 'demo'
TOKEN = 'demo-token'


@dataclass(frozen=True)
class InstanceAddresses:
    """An entry instance; addresses have the form IP:port."""

    name: str
    failure_domain: str
    proxy: str
    proxy_admin: str
    locator: str
    config: str
    console: str


@dataclass(frozen=True)
class UpstreamAddress:
    name: str
    failure_domain: str
    address: str


@dataclass(frozen=True)
class Layout:
    """All addresses of one run, on ports that were free when it started."""

    platform: str
    instances: tuple[InstanceAddresses, ...]
    upstreams: tuple[UpstreamAddress, ...]


def new_layout(instances: int = 3, upstreams: int = 4) -> Layout:
    """Choose free loopback ports for everything."""
    ports = free_ports(1 + 5 * instances + upstreams)
    addresses = iter([f'127.0.0.1:{port}' for port in ports])
    return Layout(
        next(addresses),
        tuple(
            InstanceAddresses(
                f'i{number + 1}',
                DOMAINS[number % len(DOMAINS)],
                *(next(addresses) for _ in range(5)),
            )
            for number in range(instances)
        ),
        tuple(
            UpstreamAddress(
                f'u{number + 1}',
                DOMAINS[number % len(DOMAINS)],
                next(addresses),
            )
            for number in range(upstreams)
        ),
    )


def configuration(layout: Layout, homes: int = 2) -> dict:
    """Return the document that the operator publishes."""
    service = {
        'deadline': '2s',
        'homes': homes,
        'probe_budget': {
            'per_second': PROBES_PER_SECOND,
            'bytes_per_second': 4096,
        },
        'upstreams': {
            upstream.name: {
                'address': upstream.address,
                'failure_domain': upstream.failure_domain,
                'slots': SLOTS,
            }
            for upstream in layout.upstreams
        },
    }
    return {'services': {SERVICE: service}}


def settings(layout: Layout, one: InstanceAddresses) -> dict[str, dict]:
    """Return the settings of each program on instance ``one``."""
    identity = {'name': one.name, 'failure_domain': one.failure_domain}
    peers = [other.config for other in layout.instances if other != one]
    follows = {'instance': identity, 'feeds': [one.config, *peers]}
    operator = {
        'name': OPERATOR,
        'token_sha256': hashlib.sha256(TOKEN.encode()).hexdigest(),
    }
    return {
        'crocus-config': {
            'instance': identity,
            'listen': _listen(one.config),
            'platform': {'address': layout.platform},
            'peers': peers,
        },
        'crocus-proxy': follows
        | {
            'listen': _listen(one.proxy),
            'admin': _listen(one.proxy_admin),
            'platform': {'address': layout.platform},
            'locate_validity': VALIDITY,
        },
        'crocus-locator': follows
        | {
            'listen': _listen(one.locator),
            'nearest': [name for name in DOMAINS if name != one.failure_domain],
            'locate_validity': VALIDITY,
        },
        'crocus-console': {
            'instance': identity,
            'listen': _listen(one.console),
            'platform': {'address': layout.platform},
            'feeds': follows['feeds'],
            'operators': [operator],
            'secure_cookies': False,
        },
    }


def write_yaml(path: Path, document: dict) -> Path:
    path.write_text(yaml.safe_dump(document, sort_keys=False))
    return path


def _listen(address: str) -> dict:
    host, port = address.split(':')
    return {'host': host, 'port': int(port)}
