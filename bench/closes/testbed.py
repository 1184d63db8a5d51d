"""Instances of a checkout with upstreams and callers in this process."""

import asyncio
import json
import shutil
import signal
from collections.abc import Sequence
from pathlib import Path
from random import Random
from urllib.parse import parse_qsl, urlsplit

from .callers import CallerConnection
from .delayed_link import DelayedLink
from .ledger import GRACE_SECONDS, Ledger, Request
from .review_bed import bed
from .upstream import ANSWER_BYTES, Upstream

IDLE_TIMEOUT_MS = 15_000
SETTLE_SECONDS = 1.5
_EXIT_POLL_SECONDS = 0.02
_CLOSE_SECONDS = 0.2
#: Offset of the port for other instances from the bed's first port.
_INTERNAL_PORT = 10
_STALL_CHECK_SECONDS = 0.02
_NOTED_STALL_SECONDS = 0.1


class ClosesTestbed(bed.Bed):
    """The bed of the reviews with a ledger of all requests.

    ``routes`` are those of the configuration, ``services`` their services.
    Callers are ``delay_seconds`` away from the instances.
    """

    def __init__(
        self,
        folder: Path,
        zones: Sequence[str],
        routes: Sequence[tuple],
        random: Random,
        delay_seconds: float = 0,
    ) -> None:
        super().__init__(folder, zones, {})
        self.logs = folder
        self.routes = tuple(routes)
        self.services = tuple(sorted({route[2] for route in routes}))
        self.random = random
        self.ledger = Ledger()
        self.idle_timeout_ms = IDLE_TIMEOUT_MS
        self.delay_seconds = delay_seconds
        self.links: dict[str, DelayedLink] = {}
        #: Links on the way to the instances' ports for one another.
        self.peer_links: dict[str, bed.Link] = {}
        self.addresses = {one.name: one.front for one in self.instances}

    def now(self) -> float:
        return self.record.now()

    def configuration(self, more_routes: Sequence[tuple] = ()) -> dict:
        document = bed.config((*self.routes, *more_routes), self.services)
        document['Limits']['IdleTimeoutMs'] = self.idle_timeout_ms
        return document

    async def add_upstream(
        self, service: str, zone: str, resets: bool = False, **options
    ) -> Upstream:
        upstream = Upstream(
            self.ledger, self.store, self.record, service, zone, **options
        )
        upstream.resets = resets
        await upstream.start()
        self.servers.append(upstream)
        upstream.register()
        return upstream

    async def start_all(self) -> None:
        """Start the instances and wait until they are ready."""
        await self.start(self.configuration())
        if self.delay_seconds:
            for instance in self.instances:
                link = DelayedLink(
                    self.ledger, instance.front, self.delay_seconds
                )
                self.links[instance.name] = link
                self.addresses[instance.name] = await link.start()
        await self.wait_ready(40)
        await asyncio.sleep(SETTLE_SECONDS)
        self.tasks.append(asyncio.create_task(self._watch_stalls()))

    async def _watch_stalls(self) -> None:
        """Note for how long this process stood still, in the record too."""
        while True:
            due_at = self.now() + _STALL_CHECK_SECONDS
            await asyncio.sleep(_STALL_CHECK_SECONDS)
            stall = self.now() - due_at
            if stall > _NOTED_STALL_SECONDS:
                self.record.write(f'the callers stood still for {stall:.2f} s')
            self.ledger.longest_stall_seconds = max(
                self.ledger.longest_stall_seconds, stall
            )

    async def link_peers(self) -> None:
        """Put a link on the way to each instance's port for the others.

        Call it before the start. The tree must have `soak/linked_entry.py`.
        """
        path = self.folder / 'links.json'
        for instance in self.instances:
            target = f'{instance.ip}:{self.port + _INTERNAL_PORT}'
            self.peer_links[target] = await bed.Link(target).start()
        path.write_text(
            json.dumps(
                {
                    target: link.address
                    for target, link in self.peer_links.items()
                }
            )
        )
        self.role = self.role | {
            'run': f'python3 -S -m soak.linked_entry {path}'
        }

    def is_running(self, instance) -> bool:
        return instance.process is not None and instance.process.poll() is None

    def terminate(self, instance) -> None:
        self.ledger.stops[instance.name].append(self.now())
        self.ledger.events['SIGTERM'] += 1
        instance.send_signal(signal.SIGTERM)

    def reload(self, instance) -> None:
        """Write the instance's settings file again and send SIGHUP."""
        instance.write_settings()
        self.ledger.events['SIGHUP'] += 1
        instance.send_signal(signal.SIGHUP)

    async def wait_ended(self, instance) -> None:
        """Wait for the end after a SIGTERM; kill it at the end of the grace."""
        stopped_at = self.ledger.stops[instance.name][-1]
        while self.is_running(instance):
            if self.now() > stopped_at + GRACE_SECONDS:
                self.ledger.events['killed at the end of the grace'] += 1
                self.record.write(f'{instance.name} killed at GraceS')
                instance.end()
                return
            await asyncio.sleep(_EXIT_POLL_SECONDS)
        seconds = self.now() - stopped_at
        self.record.write(f'{instance.name} ended {seconds:.2f} s after')

    async def connect(self, instance, **options) -> CallerConnection:
        connection = CallerConnection(
            self.ledger, self.now, instance.name, **options
        )
        await connection.open(self.addresses[instance.name])
        return connection

    def make_request(
        self,
        connection: CallerConnection,
        target: str,
        method: str = 'GET',
        deadline_seconds: float = 10,
        body: bytes = b'',
        headers: Sequence[tuple[str, str]] = (),
    ) -> tuple[Request, bytes]:
        request = Request(
            self.new_id(),
            target,
            connection.instance,
            connection.number,
            deadline_seconds,
            expected_bytes=_size_of(target),
        )
        all_headers = (
            ('Host', bed.HOST),
            (bed.REQUEST_ID, request.id),
            (bed.DEADLINE, str(round(deadline_seconds * 1000))),
            *headers,
        )
        message = bed.message(f'{method} {target} HTTP/1.1', all_headers, body)
        return request, message

    async def send(
        self, connection: CallerConnection, targets: Sequence[str], **options
    ) -> None:
        made = [
            self.make_request(connection, one, **options) for one in targets
        ]
        await connection.send(*zip(*made, strict=True))

    async def stop(self) -> None:
        for task in self.tasks:
            task.cancel()
        for link in self.links.values():
            link.close()
        for instance in self.instances:
            if instance.log_path.exists():
                shutil.copy(instance.log_path, self.logs)
        self.write_losses()
        for server in self.servers:
            server.close()
        for instance in self.instances:
            instance.link.set_mode('reset')
        await super().stop()
        self.store.server.close()
        # The connections of this process end before its event loop.
        await asyncio.sleep(_CLOSE_SECONDS)

    def write_losses(self) -> None:
        """Write each loss to the record, with what is known of the request.

        Requests that ended unanswered, or that an instance answered itself,
        stand before them.
        """
        for request in self.ledger.requests.values():
            if request.end:
                self.record.write(f'ended unanswered: {request}')
            if request.status and not request.is_upstream_answer:
                self.record.write(f'own answer {request.status}: {request}')
        for request, loss in self.ledger.losses():
            self.record.write(f'LOST ({loss}): {request}')


def _size_of(target: str) -> int:
    """Return the length of the answer that a target asks of an upstream."""
    query = dict(parse_qsl(urlsplit(target).query))
    return int(query.get('size', ANSWER_BYTES))
