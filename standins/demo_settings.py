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
#: Short, so that callers switch to other homes within the demo.
LOCATE_VALIDITY = '1s'
OPERATOR = 'demo'
TOKEN = 'demo-token'


@dataclass(frozen=True)
class InstanceAddresses:
    """Addresses of an instance's programs, in the form IP:port."""

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
    """All addresses of one run."""

    platform: str
    instances: tuple[InstanceAddresses, ...]
    upstreams: tuple[UpstreamAddress, ...]


def new_layout(instances: int = 3, upstreams: int = 4) -> Layout:
    """Return a layout on loopback ports that are free at present."""
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
    """Return the configuration document that the operator publishes."""
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


def settings(layout: Layout, instance: InstanceAddresses) -> dict[str, dict]:
    """Return the settings of each program of ``instance``."""
    identity = {
        'name': instance.name,
        'failure_domain': instance.failure_domain,
    }
    peers = [other.config for other in layout.instances if other != instance]
    follower = {'instance': identity, 'feeds': [instance.config, *peers]}
    operator = {
        'name': OPERATOR,
        'token_sha256': hashlib.sha256(TOKEN.encode()).hexdigest(),
    }
    return {
        'crocus-config': {
            'instance': identity,
            'listen': _listen(instance.config),
            'platform': {'address': layout.platform},
            'peers': peers,
        },
        'crocus-proxy': follower
        | {
            'listen': _listen(instance.proxy),
            'admin': _listen(instance.proxy_admin),
            'platform': {'address': layout.platform},
            'locate_validity': LOCATE_VALIDITY,
        },
        'crocus-locator': follower
        | {
            'listen': _listen(instance.locator),
            'nearest': [
                name for name in DOMAINS if name != instance.failure_domain
            ],
            'locate_validity': LOCATE_VALIDITY,
        },
        'crocus-console': {
            'instance': identity,
            'listen': _listen(instance.console),
            'platform': {'address': layout.platform},
            'feeds': follower['feeds'],
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
