"""Generated documents, views and records for the capacity benchmarks."""

from datetime import datetime, timedelta, timezone

from crocusproxy.config.change import Change, Put
from crocusproxy.config.model import Document, Service, Upstream
from crocusproxy.ledger.records import Batch, Claim
from crocusproxy.membership.view import Instance, InstanceView

NOW = datetime(2026, 1, 1, tzinfo=timezone.utc)
UPSTREAMS_PER_SERVICE = 15
_PORTS = (8000, 8001, 8002, 8003, 8004)


def address(number: int, port: int = 80) -> str:
    return f'10.{number // 62500}.{number // 250 % 250}.{number % 250}:{port}'


def document(upstreams: int) -> Document:
    """Return a document with 15 upstreams per service."""
    services = upstreams // UPSTREAMS_PER_SERVICE
    entries = [
        Upstream(
            f'u{number % UPSTREAMS_PER_SERVICE}',
            f's{number // UPSTREAMS_PER_SERVICE}',
            address(number),
            f'fd{number % 7}',
            2,
        )
        for number in range(services * UPSTREAMS_PER_SERVICE)
    ]
    names = [f's{number}' for number in range(services)]
    return Document(
        1,
        {name: Service(name) for name in names},
        {entry.key: entry for entry in entries},
    )


def change(base: int) -> Change:
    """Return a change of one upstream, a common edit of operators."""
    upstream = Upstream('u0', 's1', address(15), 'fd1', 2 + base % 3)
    edit = Put('upstream', upstream.key, upstream)
    return Change(f's{base:032}', base, (edit,), 'ana', NOW)


def view(instances: int, version: int = 1) -> InstanceView:
    return InstanceView(
        version,
        tuple(
            Instance(
                f'i{number:05}',
                f'fd{number % 7}',
                'live',
                *(address(number, port) for port in _PORTS),
            )
            for number in range(instances)
        ),
    )


def batch(first: int, count: int) -> Batch:
    """Return a record with ``count`` claims."""
    return Batch(
        claims=tuple(
            Claim(
                f's1/{number:032}',
                f'{number:032}',
                'd' * 64,
                NOW + timedelta(hours=1),
            )
            for number in range(first, first + count)
        )
    )
