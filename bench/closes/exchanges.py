"""What a caller does on its connection, one exchange after the other."""

import asyncio
from collections.abc import Awaitable, Callable
from enum import StrEnum

from .callers import CallerConnection
from .review_bed import bed
from .testbed import ClosesTestbed

ROUTES = (
    ('/read/', 'safe', 'work', {'TimeoutMs': 15_000}),
    ('/write/', 'unsafe', 'work', {'TimeoutMs': 15_000}),
    # Requests may wait for an upstream until their deadline.
    (
        '/long/',
        'safe',
        'work',
        {'TimeoutMs': 20_000, 'TargetLatencyMs': 15_000},
    ),
)
DEADLINE_SECONDS = 12.0
LONG_DEADLINE_SECONDS = 18.0
DEEP_PIPELINE = 100
_BODY_PARTS = 6
_PART_BYTES = 1200
_PART_INTERVAL_SECONDS = 0.25
_CONTINUE_SECONDS = 0.3

Exchange = Callable[[ClosesTestbed, CallerConnection], Awaitable[None]]


class Framing(StrEnum):
    """How the length of a request's body is stated."""

    LENGTH = 'length'
    CHUNKED = 'chunked'


async def read_some(testbed: ClosesTestbed, connection) -> None:
    """Pipeline one to three safe requests."""
    work = testbed.random.uniform(0.05, 1)
    target = f'/read/x?work={work:.3f}&size=30000'
    count = testbed.random.choice((1, 1, 3))
    await testbed.send(
        connection, [target] * count, deadline_seconds=DEADLINE_SECONDS
    )


async def read_long(testbed: ClosesTestbed, connection) -> None:
    """Send a request that has more time than a whole shutdown."""
    work = testbed.random.uniform(0.5, 5)
    target = f'/long/x?work={work:.3f}&size=30000'
    await testbed.send(
        connection, [target], deadline_seconds=LONG_DEADLINE_SECONDS
    )


async def read_deeply(testbed: ClosesTestbed, connection) -> None:
    """Pipeline more requests than an instance reads at once."""
    targets = [
        f'/read/{number}?work={testbed.random.uniform(0.02, 0.2):.3f}&size=3000'
        for number in range(DEEP_PIPELINE)
    ]
    await testbed.send(connection, targets, deadline_seconds=DEADLINE_SECONDS)


async def read_parts(testbed: ClosesTestbed, connection) -> None:
    """Read an answer of unknown length, which arrives in parts."""
    form = testbed.random.choice(('unknown', 'chunked'))
    target = f'/read/x?work=0.1&size=30000&form={form}'
    await testbed.send(connection, [target], deadline_seconds=DEADLINE_SECONDS)


async def write_slowly(testbed: ClosesTestbed, connection) -> None:
    """Send a body in parts, after `100 Continue` or without waiting for it."""
    expects = testbed.random.random() < 0.5
    framing = testbed.random.choice(tuple(Framing))
    await _write(testbed, connection, 'plain', framing, expects=expects)


async def write_to_early_upstream(testbed: ClosesTestbed, connection) -> None:
    """Send a body that the upstream answers before it has all of it."""
    framing = testbed.random.choice(tuple(Framing))
    await _write(testbed, connection, 'early', framing, expects=False)


async def _write(
    testbed: ClosesTestbed,
    connection: CallerConnection,
    form: str,
    framing: Framing,
    *,
    expects: bool,
) -> None:
    target = f'/write/x?work=0.3&form={form}'
    request, _ = testbed.make_request(
        connection, target, 'POST', DEADLINE_SECONDS
    )
    if form == 'early':
        request.expected_bytes = None
    size = _BODY_PARTS * _PART_BYTES
    headers = [
        ('Host', bed.HOST),
        (bed.REQUEST_ID, request.id),
        (bed.DEADLINE, str(round(DEADLINE_SECONDS * 1000))),
        ('Content-Length', str(size))
        if framing is Framing.LENGTH
        else ('Transfer-Encoding', 'chunked'),
    ]
    if expects:
        headers.append(('Expect', '100-continue'))
    lines = [f'{name}: {text}' for name, text in headers]
    head = '\r\n'.join((f'POST {target} HTTP/1.1', *lines, '', ''))
    connection.expect(request)
    await connection.write(head.encode())
    if expects:
        await connection.wait_continue(_CONTINUE_SECONDS)
    await _write_body(connection, framing)
    if not connection.is_closed:
        request.sent_at = testbed.now()


async def _write_body(connection: CallerConnection, framing: Framing) -> None:
    for _ in range(_BODY_PARTS):
        if connection.is_closed:
            return
        part = bytes(_PART_BYTES)
        if framing is Framing.CHUNKED:
            part = b'%x\r\n%b\r\n' % (len(part), part)
        await connection.write(part)
        await asyncio.sleep(_PART_INTERVAL_SECONDS)
    if framing is Framing.CHUNKED:
        await connection.write(b'0\r\n\r\n')
