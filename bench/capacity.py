"""Slopes of processor time, memory and bytes, for docs/CAPACITY.md.

Each cost is measured at four or more sizes and fitted with a straight line.
The page multiplies the slopes by the sizes of the design. Run
``python -m bench.capacity``; it takes about a minute on one core.
"""

from datetime import timedelta
from random import Random

import fire
from prometheus_client import CollectorRegistry

from crocusproxy.clock import SystemClock
from crocusproxy.config.change import Change
from crocusproxy.config.model import Document, Service, Upstream
from crocusproxy.config.snapshot import make_snapshot
from crocusproxy.config.stream_state import (
    MAX_VERDICTS,
    StreamState,
    apply_record,
)
from crocusproxy.ledger.claim_table import ClaimTable
from crocusproxy.ledger.records import Batch
from crocusproxy.locator.addresses import AddressResolver
from crocusproxy.membership.homes import HomeTable, choose_homes
from crocusproxy.membership.view import InstanceView
from crocusproxy.protocol.codec import decode, encode
from crocusproxy.protocol.document_feed import (
    DocumentReply,
    apply_reply,
    reply_between,
)
from crocusproxy.protocol.view_feed import ViewReply, apply_view, view_between
from crocusproxy.proxy.core import ProxyCore
from crocusproxy.proxy.metrics import ProxyMetrics
from crocusproxy.proxy.settings import ProxySettings
from crocusproxy.routing.balancer import Balancer
from crocusproxy.routing.results import Answered, RequestInfo
from crocusproxy.settings import InstanceIdentity, Listen

from .capacity_inputs import (
    NOW,
    address,
    batch,
    change,
    document,
    view,
)
from .fitting import (
    Slope,
    cpu_us,
    measure,
    memory_bytes,
    print_table,
    write_json,
)

_UPSTREAMS = (1260, 2520, 5025, 10050)
_INSTANCES = (500, 1000, 2000, 4000)
_SERVICES = 670
_HOMES = 4


def config_slopes() -> list[Slope]:
    """Measure the costs of the configuration by number of upstreams."""
    costs = (
        ('a change read and folded', 'us', _apply_change_us),
        ('a change encoded for the feed', 'us', _encode_reply_us),
        ('a change from the feed applied', 'us', _apply_reply_us),
        ('document in memory', 'B', _document_bytes),
        ('whole document in the feed', 'B', _whole_document_bytes),
        ('snapshot in the stream', 'B', _snapshot_bytes),
        ('snapshot made', 'us', _snapshot_us),
        ('a change applied to the routes of a proxy', 'us', _apply_routes_us),
        ('routes of a proxy in memory', 'B', _routes_bytes),
    )
    return [
        measure(name, 'upstream', unit, _UPSTREAMS, cost)
        for name, unit, cost in costs
    ]


def view_slopes() -> list[Slope]:
    """Measure the costs of the instance view by number of instances."""
    costs = (
        ('view in memory', 'B', _view_bytes),
        ('whole view in the feed', 'B', _whole_view_bytes),
        ('an instance from the feed applied', 'us', _apply_view_us),
        ('full choice of the homes of a service', 'us', _choose_homes_us),
        (
            'homes of 670 services after a joined instance',
            'us',
            _update_homes_us,
        ),
    )
    return [
        measure(name, 'instance', unit, _INSTANCES, cost)
        for name, unit, cost in costs
    ]


def call_slopes() -> list[Slope]:
    """Measure the costs of locating, of choosing an upstream and of claims."""
    claims_per_record = (1, 5, 20, 50, 100)
    claims_in_memory = (1000, 2000, 4000, 8000)
    return [
        measure('locate answer', 'home', 'us', (1, 2, 4, 8), _locate_us),
        measure(
            'choice, start and finish of a request',
            'upstream of the service',
            'us',
            (5, 15, 30, 60, 120),
            _choice_us,
        ),
        measure(
            'record of claims', 'claim', 'B', claims_per_record, _record_bytes
        ),
        measure(
            'record of claims folded',
            'claim',
            'us',
            claims_per_record,
            _apply_claims_us,
        ),
        measure(
            'claims in memory', 'claim', 'B', claims_in_memory, _claims_bytes
        ),
    ]


def message_sizes() -> dict[str, int]:
    """Return the sizes in bytes of the messages that a change causes."""
    state = _state(150)
    new_document = apply_record(state, 0, change(1)).document
    old_view = view(100)
    return {
        'change record': len(encode(change(1))),
        'feed reply for a change': len(
            encode(reply_between(state.document, new_document))
        ),
        'view reply for an instance': len(
            encode(view_between(old_view, view(101)))
        ),
    }


def _state(upstreams: int) -> StreamState:
    return StreamState(document=document(upstreams))


def _apply_change_us(upstreams: int) -> float:
    state = _state(upstreams)
    # A long-running daemon keeps the maximum number of verdicts.
    for number in range(MAX_VERDICTS):
        state = apply_record(state, number, change(state.document.generation))
    raw = encode(change(state.document.generation))
    return cpu_us(
        lambda: apply_record(state, MAX_VERDICTS, decode(Change, raw)),
        calls=10,
    )


def _two_documents(upstreams: int) -> tuple[Document, Document]:
    state = _state(upstreams)
    return state.document, apply_record(state, 0, change(1)).document


def _encode_reply_us(upstreams: int) -> float:
    old, new = _two_documents(upstreams)
    return cpu_us(lambda: encode(reply_between(old, new)), calls=20)


def _apply_reply_us(upstreams: int) -> float:
    old, new = _two_documents(upstreams)
    body = encode(reply_between(old, new))
    return cpu_us(
        lambda: apply_reply(old, decode(DocumentReply, body)), calls=20
    )


def _document_bytes(upstreams: int) -> float:
    body = encode(reply_between(Document(), document(upstreams)))
    return memory_bytes(
        lambda: apply_reply(Document(), decode(DocumentReply, body))
    )


def _whole_document_bytes(upstreams: int) -> float:
    return len(encode(reply_between(Document(), document(upstreams))))


def _snapshot_bytes(upstreams: int) -> float:
    parts = make_snapshot(document(upstreams), {}, 1)
    return sum(len(encode(part)) for part in parts)


def _snapshot_us(upstreams: int) -> float:
    whole = document(upstreams)
    return cpu_us(
        lambda: [encode(part) for part in make_snapshot(whole, {}, 1)], calls=1
    )


def _core(first: Document) -> ProxyCore:
    listen = Listen('127.0.0.1', 0)
    settings = ProxySettings(
        InstanceIdentity('i1', 'fd1'), listen, listen, (address(1),)
    )
    clock = SystemClock()
    metrics = ProxyMetrics(clock, 'i1', CollectorRegistry())
    core = ProxyCore(settings, clock, Random(1), metrics)
    core.apply_document(first)
    return core


def _apply_routes_us(upstreams: int) -> float:
    documents = list(_two_documents(upstreams))
    core = _core(documents[0])

    def apply() -> None:
        documents.reverse()
        core.apply_document(documents[0])

    return cpu_us(apply, calls=4)


def _routes_bytes(upstreams: int) -> float:
    whole = document(upstreams)
    return memory_bytes(lambda: _core(whole))


def _view_bytes(instances: int) -> float:
    body = encode(view(instances))
    return memory_bytes(lambda: decode(InstanceView, body))


def _whole_view_bytes(instances: int) -> float:
    return len(encode(view_between(InstanceView(), view(instances))))


def _apply_view_us(instances: int) -> float:
    old = view(instances)
    body = encode(view_between(old, view(instances + 1, version=2)))
    return cpu_us(lambda: apply_view(old, decode(ViewReply, body)), calls=5)


def _choose_homes_us(instances: int) -> float:
    whole = view(instances)
    return cpu_us(lambda: choose_homes('s1', whole, _HOMES), calls=5)


def _update_homes_us(instances: int) -> float:
    old, new = view(instances), view(instances + 1, version=2)
    table = HomeTable(old)

    def join_and_leave() -> None:
        for changed in (new, old):
            table.apply_view(changed)
            for number in range(_SERVICES):
                table.homes(f's{number}', _HOMES)

    join_and_leave()
    return cpu_us(join_and_leave, calls=1) / 2


def _locate_us(homes: int) -> float:
    resolver = AddressResolver(('fd1', 'fd2'), timedelta(seconds=5))
    resolver.apply_document(Document(1, {'s1': Service('s1', homes=homes)}, {}))
    resolver.apply_view(view(100))
    return cpu_us(lambda: encode(resolver.locate('s1', 'c')), calls=200)


def _choice_us(count: int) -> float:
    clock = SystemClock()
    upstreams = tuple(
        Upstream(f'u{number}', 's', address(number), f'fd{number % 3}', 2)
        for number in range(count)
    )
    balancer = Balancer(Service('s'), upstreams, 'fd0', clock, Random(1))

    def serve() -> None:
        now = clock.monotonic()
        choice = balancer.choose(RequestInfo())
        balancer.started(choice.upstream, now)
        balancer.finished(
            choice.upstream, Answered(timedelta(milliseconds=10)), now
        )

    return cpu_us(serve, calls=300)


def _record_bytes(claims: int) -> float:
    return len(encode(batch(0, claims)))


def _claim_table() -> ClaimTable:
    return ClaimTable(timedelta(hours=24), timedelta(seconds=1))


def _apply_claims_us(claims: int) -> float:
    raw = encode(batch(0, claims))
    return cpu_us(
        lambda: _claim_table().apply(0, NOW, decode(Batch, raw)), calls=20
    )


def _claims_bytes(claims: int) -> float:
    records = [encode(batch(number, 1)) for number in range(claims)]

    def fill() -> ClaimTable:
        table = _claim_table()
        for offset, raw in enumerate(records):
            table.apply(offset, NOW, decode(Batch, raw))
        return table

    return memory_bytes(fill)


def main(json_file: str = '') -> None:
    """Print all slopes; write them to ``json_file`` if it is given."""
    slopes = [*config_slopes(), *view_slopes(), *call_slopes()]
    print_table(slopes)
    for name, size in message_sizes().items():
        print(f'{name}: {size} B')
    write_json(slopes, json_file)


if __name__ == '__main__':
    fire.Fire(main)
